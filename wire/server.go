package wire

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"

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

		mu    sync.Mutex
		conns map[net.Conn]struct{}
		wg    sync.WaitGroup
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

// Wait blocks until every call in flight has been answered.
func (s *Server) Wait() { s.wg.Wait() }

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
	out := newFrameWriter(nc)
	send := func(f Frame) {
		f.Config = s.version()
		if out.write(f) != nil {
			nc.Close()
		}
	}
	dec := msgpack.NewDecoder(bufio.NewReader(nc))
	for {
		var f Frame
		if err := dec.Decode(&f); err != nil {
			return
		}
		switch f.Kind {
		case KindPing:
			send(Frame{Kind: KindPong, Stream: f.Stream})
		case KindRequest:
			if f.Request == nil {
				continue
			}
			if s.OnVersion != nil && f.From != "" {
				s.OnVersion(f.From, f.Config)
			}
			s.wg.Add(1)
			go func(f Frame) {
				defer s.wg.Done()
				a := s.Handler(ctx, *f.Request)
				send(Frame{Kind: KindAnswer, Stream: f.Stream, Answer: &a})
			}(f)
		}
	}
}

func (s *Server) version() uint64 {
	if s.Version == nil {
		return 0
	}
	return s.Version()
}
