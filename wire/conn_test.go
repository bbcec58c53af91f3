package wire

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// serveShuffled reads n request frames, then answers them in the order given by
// perm. It sends each answer twice, and before it an answer on the same stream
// with the ID of another request.
func serveShuffled(t *rapid.T, l net.Listener, n int, perm []int) {
	nc, err := l.Accept()
	if err != nil {
		return
	}
	defer nc.Close()
	dec := msgpack.NewDecoder(bufio.NewReader(nc))
	var got []Frame
	for len(got) < n {
		var f Frame
		if err := dec.Decode(&f); err != nil {
			return
		}
		got = append(got, f)
	}
	w := bufio.NewWriter(nc)
	enc := msgpack.NewEncoder(w)
	for _, i := range perm {
		f := got[i]
		wrong := call.Answer{ID: "someone-else", Status: call.OK, Body: []byte("not yours")}
		enc.Encode(&Frame{Kind: KindAnswer, Stream: f.Stream, Answer: &wrong})
		a := call.Answer{ID: f.Request.ID, Status: call.OK, Body: []byte("whole answer to " + string(f.Request.ID))}
		enc.Encode(&Frame{Kind: KindAnswer, Stream: f.Stream, Answer: &a})
		enc.Encode(&Frame{Kind: KindAnswer, Stream: f.Stream, Answer: &a})
	}
	w.Flush()
	time.Sleep(50 * time.Millisecond)
}

// Each call must get its own complete answer, even if the peer sends answers out
// of order, twice, or with the ID of another request on the call's stream.
func TestCallsReceiveOnlyTheirOwnAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(t, "calls")
		perm := rapid.Permutation(sequence(n)).Draw(t, "order")
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go serveShuffled(t, l, n, perm)
		c, err := Dial(context.Background(), l.Addr().String(), DialConfig{})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		var wg sync.WaitGroup
		answers := make([]call.Answer, n)
		for i := range n {
			wg.Add(1)
			go func() {
				defer wg.Done()
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				r := call.Request{ID: call.RequestID(fmt.Sprintf("req-%d", i))}
				answers[i], _ = c.Call(ctx, r, 1)
			}()
		}
		wg.Wait()
		for i, a := range answers {
			want := fmt.Sprintf("req-%d", i)
			if a.Status != call.OK || string(a.ID) != want || string(a.Body) != "whole answer to "+want {
				t.Fatalf("caller %s got %+v", want, a)
			}
		}
	})
}

func sequence(n int) []int {
	s := make([]int, n)
	for i := range s {
		s[i] = i
	}
	return s
}

func TestServerAnswersCalls(t *testing.T) {
	Convey("A Server answers calls and pings on one connection", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		s := &Server{Handler: func(_ context.Context, r call.Request) call.Answer {
			return call.Answer{ID: r.ID, Status: call.OK, Body: r.Body}
		}, Version: func() uint64 { return 7 }}
		go s.Serve(l)
		defer l.Close()
		var seen uint64
		c, err := Dial(context.Background(), l.Addr().String(), DialConfig{OnVersion: func(v uint64) { seen = v }})
		So(err, ShouldBeNil)
		defer c.Close()
		a, err := c.Call(context.Background(), call.Request{ID: "r1", Body: []byte("hi")}, 1)
		So(err, ShouldBeNil)
		So(string(a.Body), ShouldEqual, "hi")
		So(seen, ShouldEqual, 7)
	})
}
