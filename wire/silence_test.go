package wire

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

// pipe returns a Conn over an in-memory connection and the peer's end.
func pipe() (*Conn, net.Conn) {
	near, far := net.Pipe()
	return NewConn(near, DialConfig{}), far
}

// checked calls Check as a node does until d has passed or c closes, and
// returns how long it was open.
func checked(c *Conn, d time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < d && c.Err() == nil {
		time.Sleep(CheckEvery)
		c.Check()
	}
	return time.Since(start)
}

// answerPings reads frames from far and answers pings only, counting them.
func answerPings(far net.Conn, pings *int) {
	dec, enc := msgpack.NewDecoder(bufio.NewReader(far)), msgpack.NewEncoder(far)
	for {
		var f Frame
		if dec.Decode(&f) != nil {
			return
		}
		if f.Kind == KindPing {
			*pings++
			enc.Encode(&Frame{Kind: KindPong, Stream: f.Stream})
		}
	}
}

// A box between two nodes forgets a connection on which a call waits: it
// stays open, takes what is written and delivers nothing. The call would
// wait out its deadline of a minute. It must end within SilenceBound, so
// that its caller can go on over a new connection.
func TestSilentConnectionWithACallIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, far := pipe()
		defer far.Close()
		go io.Copy(io.Discard, far)
		got := make(chan call.Answer, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			a, _ := c.Call(ctx, call.Request{ID: "r"}, 1)
			got <- a
		}()
		open := checked(c, time.Minute)
		Convey("It is closed as silent within SilenceBound and the call is unknown", t, func() {
			So(c.Err(), ShouldEqual, ErrSilent)
			So(open, ShouldBeLessThanOrEqualTo, SilenceBound)
			So((<-got).Status, ShouldEqual, call.Unknown)
		})
	})
}

// The way to a peer's data centre is cut while calls wait. A read can still
// be made at another instance if that is known soon; an action has to wait,
// since it may be running, and must not be ended as long as it may be
// answered. When the cut heals, the connection is used again.
func TestASilentPeerIsSuspectedBeforeItIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, far := pipe()
		defer far.Close()
		frames := make(chan Frame, 10)
		go func() {
			dec := msgpack.NewDecoder(bufio.NewReader(far))
			for {
				var f Frame
				if dec.Decode(&f) != nil {
					close(frames)
					return
				}
				frames <- f
			}
		}()
		read, action := make(chan call.Answer, 1), make(chan call.Answer, 1)
		send := func(id call.RequestID, yields bool, ch chan call.Answer) Frame {
			go func() {
				a, _ := c.Call(context.Background(), call.Request{ID: id, Yields: yields}, 1)
				ch <- a
			}()
			return <-frames
		}
		start := time.Now()
		send("read", true, read)
		held := send("action", false, action)
		Convey("The read ends within SuspectBound, the action when it is answered", t, func() {
			for !c.Suspect() {
				time.Sleep(CheckEvery)
				c.Check()
			}
			So(time.Since(start), ShouldBeLessThanOrEqualTo, SuspectBound)
			So((<-read).Status, ShouldEqual, call.Unknown)
			So(c.Err(), ShouldBeNil)
			So(msgpack.NewEncoder(far).Encode(&Frame{Kind: KindAnswer, Stream: held.Stream, Answer: &call.Answer{ID: "action", Status: call.OK}}), ShouldBeNil)
			So((<-action).Status, ShouldEqual, call.OK)
			c.Check()
			So(c.Suspect(), ShouldBeFalse)
		})
		c.Close()
	})
}

// The same happens to a connection that carries no call at the time.
func TestSilentIdleConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, far := pipe()
		defer far.Close()
		go io.Copy(io.Discard, far)
		open := checked(c, time.Minute)
		Convey("It is closed as silent within IdleSilenceBound", t, func() {
			So(c.Err(), ShouldEqual, ErrSilent)
			So(open, ShouldBeLessThanOrEqualTo, IdleSilenceBound)
		})
	})
}

// A target takes half a minute over a call, and another connection carries
// none: both peers answer pings. Neither may be closed, or slowness would
// be taken for silence; the idle one is pinged every 5.5 s at most, which
// keeps pings within the control budget.
func TestSlowAndIdleConnectionsStayOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow, farSlow := pipe()
		idle, farIdle := pipe()
		var slowPings, idlePings int
		go answerPings(farSlow, &slowPings)
		go answerPings(farIdle, &idlePings)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		go slow.Call(ctx, call.Request{ID: "r"}, 1)
		for range int(30 * time.Second / CheckEvery) {
			time.Sleep(CheckEvery)
			slow.Check()
			idle.Check()
		}
		synctest.Wait()
		Convey("Both are open after 30 s", t, func() {
			So(slow.Err(), ShouldBeNil)
			So(idle.Err(), ShouldBeNil)
			So(slowPings, ShouldBeGreaterThan, 0)
			So(slowPings, ShouldBeLessThanOrEqualTo, 20)
			So(idlePings, ShouldBeLessThanOrEqualTo, 6)
		})
		slow.Close()
		idle.Close()
		farSlow.Close()
		farIdle.Close()
	})
}

// A peer stops reading until the socket is full: the next write blocks, and
// every call and ping would wait behind it for good. The write must fail
// within its timeout and end the calls with it.
func TestStalledPeerBlocksNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, far := pipe()
		defer far.Close()
		start := time.Now()
		ended := make(chan bool, 3)
		for range 3 {
			go func() {
				a, err := c.Call(context.Background(), call.Request{ID: "r"}, 1)
				ended <- err != nil || a.Status == call.Unknown
			}()
		}
		Convey("All calls end at the write timeout, unanswered", t, func() {
			for range 3 {
				So(<-ended, ShouldBeTrue)
			}
			So(time.Since(start), ShouldBeLessThanOrEqualTo, writeTimeout)
		})
	})
}

// A process is paused for an hour and wakes: its peers answered all the
// while. It must not close its connections for a silence that was its own.
func TestOwnPauseIsNotSilence(t *testing.T) {
	Convey("Silence counts checks, not time", t, func() {
		var s silence
		for range busyChecks {
			s.next(false, true) // a ping goes out with the last
		}
		_, silent := s.next(false, true) // the first check after the pause
		So(silent, ShouldBeFalse)
		_, silent = s.next(true, true) // the pong has been read by now
		So(silent, ShouldBeFalse)
		So(s, ShouldResemble, silence{answered: true})
	})
}
