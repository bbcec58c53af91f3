package wire

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/memory"
	"github.com/vmihailenco/msgpack/v5"
)

type (
	// Handler serves a request from a peer. ctx is cancelled when the caller
	// cancels the request or its connection closes.
	Handler func(ctx context.Context, r call.Request) call.Answer

	// Server is the server side of node-to-node connections. Its exported
	// fields must not change once Serve is called.
	Server struct {
		Handler Handler
		Version func() uint64 // active configuration version, sent with every answer; may be nil
		// OnVersion, if not nil, is called with the sender and configuration
		// version of each request.
		OnVersion func(from string, v uint64)
		Log       log.Interface // of handlers that panic
		// Memory counts the bodies of requests; nil for none.
		Memory *memory.Account
		// MaxSilentConns bounds the connections that have sent no frame yet: the one that
		// was opened first is closed before the next. 0 for no bound.
		MaxSilentConns int

		inFlight atomic.Int64

		mu     sync.Mutex
		conns  map[net.Conn]struct{}
		silent []silentConn // in the order in which they were opened
	}
)

// Serve accepts connections on l and returns nil once l is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		s.awaitRoom()
		nc, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		s.track(nc)
		go s.serveConn(nc)
	}
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// CloseConns closes every open connection.
func (s *Server) CloseConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for nc := range s.conns {
		nc.Close()
	}
}

func (s *Server) serveConn(nc net.Conn) {
	defer s.forget(nc)
	defer nc.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sc := &serverConn{server: s, nc: nc, out: newFrameWriter(nc), calls: map[Stream]context.CancelFunc{}}
	in := &frameReader{r: nc}
	dec := msgpack.NewDecoder(bufio.NewReader(in))
	memoryOf := func(Stream) *memory.Account { return s.Memory }
	for known := false; ; known = true {
		in.next()
		f := Frame{memoryOf: memoryOf}
		if err := dec.Decode(&f); err != nil {
			return
		}
		if !known && s.recognize(nc) != nil {
			f.release()
			return
		}
		switch f.Kind {
		case KindPing:
			sc.send(Frame{Kind: KindPong, Stream: f.Stream})
		case KindRequest:
			if f.Request != nil {
				sc.handleRequest(ctx, f)
			}
			continue
		case KindCancel:
			sc.cancelCall(f.Stream)
		}
		f.release()
	}
}

// serverConn is the server side of a connection.
type serverConn struct {
	server *Server
	nc     net.Conn
	out    *frameWriter

	mu    sync.Mutex
	calls map[Stream]context.CancelFunc // in flight
}

// handleRequest serves a request in a new goroutine.
func (sc *serverConn) handleRequest(ctx context.Context, f Frame) {
	s := sc.server
	if s.OnVersion != nil && f.From != "" {
		s.OnVersion(f.From, f.ConfigVersion)
	}
	ctx, cancel := context.WithCancel(ctx)
	sc.mu.Lock()
	sc.calls[f.Stream] = cancel
	sc.mu.Unlock()
	s.inFlight.Add(1)
	go func() {
		defer s.inFlight.Add(-1)
		a := s.handle(ctx, *f.Request)
		f.release()
		sc.cancelCall(f.Stream)
		sc.send(Frame{Kind: KindAnswer, Stream: f.Stream, Answer: &a})
		a.Held.Release()
	}()
}

// handle calls the handler. A panic ends the request, which may have run, and not
// the process with all its others.
func (s *Server) handle(ctx context.Context, r call.Request) (a call.Answer) {
	defer func() {
		if v := recover(); v != nil {
			s.Log.WithFields(log.Fields{"id": r.ID, "panic": fmt.Sprint(v), "stack": string(debug.Stack())}).Error("request_panicked")
			a = call.Answer{ID: r.ID, Status: call.Unknown, Reason: "the request ended in a panic"}
		}
	}()
	return s.Handler(ctx, r)
}

// cancelCall cancels the context of the call on stream s, if it is in flight.
func (sc *serverConn) cancelCall(s Stream) {
	sc.mu.Lock()
	cancel, ok := sc.calls[s]
	delete(sc.calls, s)
	sc.mu.Unlock()
	if ok {
		cancel()
	}
}

func (sc *serverConn) send(f Frame) {
	f.ConfigVersion = sc.server.version()
	if sc.out.write(f) != nil {
		sc.nc.Close()
	}
}

func (s *Server) version() uint64 {
	if s.Version == nil {
		return 0
	}
	return s.Version()
}
