package wire

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/oatpin/oatpin/call"
	"github.com/vmihailenco/msgpack/v5"
)

type (
	// Handler serves one call that arrived from a peer.
	Handler func(ctx context.Context, r call.Request) call.Answer

	// Server is the answering side of node-to-node connections.
	Server struct {
		Handler Handler
		Version func() uint64 // text version in force, sent with every answer
		// OnVersion, if not nil, is told the sender and text version of
		// each request.
		OnVersion func(from string, v uint64)

		inFlight atomic.Int64

		mu    sync.Mutex
		conns map[net.Conn]struct{}
	}
)

// Serve accepts connections on l until l is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		s.track(nc, true)
		go s.serveConn(nc)
	}
}

// InFlight returns how many calls have not been answered yet.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// CloseConns closes every open connection.
func (s *Server) CloseConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for nc := range s.conns {
		nc.Close()
	}
}

func (s *Server) track(nc net.Conn, add bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[net.Conn]struct{}{}
	}
	if add {
		s.conns[nc] = struct{}{}
	} else {
		delete(s.conns, nc)
	}
}

func (s *Server) serveConn(nc net.Conn) {
	defer s.track(nc, false)
	defer nc.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	in := &inbound{server: s, nc: nc, out: newFrameWriter(nc), calls: map[Stream]context.CancelFunc{}}
	dec := msgpack.NewDecoder(bufio.NewReader(nc))
	for {
		var f Frame
		if err := dec.Decode(&f); err != nil {
			return
		}
		switch f.Kind {
		case KindPing:
			in.send(Frame{Kind: KindPong, Stream: f.Stream})
		case KindRequest:
			if f.Request != nil {
				in.begin(ctx, f)
			}
		case KindCancel:
			in.end(f.Stream)
		}
	}
}

// inbound is one connection on the answering side.
type inbound struct {
	server *Server
	nc     net.Conn
	out    *frameWriter

	mu    sync.Mutex
	calls map[Stream]context.CancelFunc // in flight
}

// begin serves one request on a goroutine of its own.
func (in *inbound) begin(ctx context.Context, f Frame) {
	s := in.server
	if s.OnVersion != nil && f.From != "" {
		s.OnVersion(f.From, f.Config)
	}
	ctx, cancel := context.WithCancel(ctx)
	in.mu.Lock()
	in.calls[f.Stream] = cancel
	in.mu.Unlock()
	s.inFlight.Add(1)
	go func() {
		defer s.inFlight.Add(-1)
		a := s.Handler(ctx, *f.Request)
		in.end(f.Stream)
		in.send(Frame{Kind: KindAnswer, Stream: f.Stream, Answer: &a})
	}()
}

// end cancels the call with a stream, if it is in flight, and forgets it.
func (in *inbound) end(s Stream) {
	in.mu.Lock()
	cancel, ok := in.calls[s]
	delete(in.calls, s)
	in.mu.Unlock()
	if ok {
		cancel()
	}
}

func (in *inbound) send(f Frame) {
	f.Config = in.server.version()
	if in.out.write(f) != nil {
		in.nc.Close()
	}
}

func (s *Server) version() uint64 {
	if s.Version == nil {
		return 0
	}
	return s.Version()
}
