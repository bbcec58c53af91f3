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

// pipe returns a Conn over an in-memory connection, and the peer's end of it.
func pipe() (*Conn, net.Conn) {
	local, remote := net.Pipe()
	return NewConn(local, DialConfig{}), remote
}

// checkFor calls CheckKeepalive every CheckInterval until d has passed or c
// closes, and returns how long it was open.
func checkFor(c *Conn, d time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < d && c.Err() == nil {
		time.Sleep(CheckInterval)
		c.CheckKeepalive()
	}
	return time.Since(start)
}

// answerPings reads frames from peer, answers only pings and counts them.
func answerPings(peer net.Conn, pings *int) {
	dec, enc := msgpack.NewDecoder(bufio.NewReader(peer)), msgpack.NewEncoder(peer)
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

// A half-open connection accepts writes and delivers nothing. A pending call
// must end within KeepaliveTimeout instead of waiting until its deadline.
func TestSilentConnWithPendingCallIsClosed(t *testing.T) {
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
		open := checkFor(c, time.Minute)
		Convey("It is closed with ErrKeepaliveTimeout within KeepaliveTimeout and the call ends as unknown", t, func() {
			So(c.Err(), ShouldEqual, ErrKeepaliveTimeout)
			So(open, ShouldBeLessThanOrEqualTo, KeepaliveTimeout)
			So((<-got).Status, ShouldEqual, call.Unknown)
		})
	})
}

// When a peer goes silent, a call that may be sent to another instance (a read)
// must end within SuspicionTimeout. Other calls may be running and must stay
// pending while they can still be answered. A frame from the peer clears the
// suspicion.
func TestSilentPeerIsSuspectedBeforeClose(t *testing.T) {
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
		read, write := make(chan call.Answer, 1), make(chan call.Answer, 1)
		send := func(id call.RequestID, endOnSuspicion bool, ch chan call.Answer) Frame {
			go func() {
				a, _ := c.Call(context.Background(), call.Request{ID: id, EndOnSuspicion: endOnSuspicion}, 1)
				ch <- a
			}()
			return <-frames
		}
		start := time.Now()
		send("read", true, read)
		writeFrame := send("action", false, write)
		Convey("The read ends within SuspicionTimeout, the write when it is answered", t, func() {
			for !c.Suspected() {
				time.Sleep(CheckInterval)
				c.CheckKeepalive()
			}
			So(time.Since(start), ShouldBeLessThanOrEqualTo, SuspicionTimeout)
			So((<-read).Status, ShouldEqual, call.Unknown)
			So(c.Err(), ShouldBeNil)
			So(msgpack.NewEncoder(far).Encode(&Frame{Kind: KindAnswer, Stream: writeFrame.Stream, Answer: &call.Answer{ID: "action", Status: call.OK}}), ShouldBeNil)
			So((<-write).Status, ShouldEqual, call.OK)
			c.CheckKeepalive()
			So(c.Suspected(), ShouldBeFalse)
		})
		c.Close()
	})
}

// A half-open connection must be detected without pending calls too.
func TestSilentIdleConnIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, far := pipe()
		defer far.Close()
		go io.Copy(io.Discard, far)
		open := checkFor(c, time.Minute)
		Convey("It is closed with ErrKeepaliveTimeout within IdleKeepaliveTimeout", t, func() {
			So(c.Err(), ShouldEqual, ErrKeepaliveTimeout)
			So(open, ShouldBeLessThanOrEqualTo, IdleKeepaliveTimeout)
		})
	})
}

// A slow call and an idle connection must not be taken for silence while the
// peer answers pings. The idle connection is pinged at most every 5.5 s, which
// bounds the control traffic.
func TestSlowAndIdleConnsStayOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow, farSlow := pipe()
		idle, farIdle := pipe()
		var slowPings, idlePings int
		go answerPings(farSlow, &slowPings)
		go answerPings(farIdle, &idlePings)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		go slow.Call(ctx, call.Request{ID: "r"}, 1)
		for range int(30 * time.Second / CheckInterval) {
			time.Sleep(CheckInterval)
			slow.CheckKeepalive()
			idle.CheckKeepalive()
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

// If a peer stops reading, writes block once the socket buffer is full. The write
// must fail within writeTimeout and end all calls on the connection.
func TestStalledPeerDoesNotBlockCalls(t *testing.T) {
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
		Convey("All calls end without an answer at the write timeout", t, func() {
			for range 3 {
				So(<-ended, ShouldBeTrue)
			}
			So(time.Since(start), ShouldBeLessThanOrEqualTo, writeTimeout)
		})
	})
}

// A process that resumes after a pause must not close the connections whose
// pongs arrived during the pause.
func TestProcessPauseIsNotSilence(t *testing.T) {
	Convey("Silence is measured in checks, not in time", t, func() {
		var s probeState
		for range pendingPingChecks {
			s.tick(false, true) // the last one sends a ping
		}
		_, silent := s.tick(false, true) // the first check after the pause
		So(silent, ShouldBeFalse)
		_, silent = s.tick(true, true) // the pong has been read by now
		So(silent, ShouldBeFalse)
		So(s, ShouldResemble, probeState{ponged: true})
	})
}
