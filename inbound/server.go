package inbound

import (
	"context"
	stdlog "log"
	"math"
	"net"
	"net/http"
	"time"
)

const (
	// DefaultUnusedTime is the Config.UnusedTime of a server of many connections.
	DefaultUnusedTime = time.Second
	// DefaultHeadBytes is the memory for the heads of a server without an account.
	DefaultHeadBytes = 8 << 20
)

type (
	// Config is the configuration of a Server.
	Config struct {
		Handler  http.Handler
		MaxConns int // 0 for MaxClients
		// UnusedTime is how long a connection must have carried nothing to be closed for
		// another one at once; 0 for DefaultUnusedTime.
		UnusedTime time.Duration
		// Limits returns the limits in force; nil for DefaultLimits.
		Limits func() Limits
		Heads  *Heads // memory of heads; nil for DefaultHeadBytes
		// OnRefused, if not nil, is called for each head that is refused.
		OnRefused func(Cause)
		ErrorLog  *stdlog.Logger
	}

	// Server is an http.Server whose connections are bounded. NewServer builds one.
	Server struct {
		http.Server
		cfg   Config
		conns *connSet
	}

	// connKey is the key of a request's connection in its context.
	connKey struct{}
)

// NewServer returns a Server that is not listening yet.
func NewServer(cfg Config) *Server {
	if cfg.Limits == nil {
		cfg.Limits = func() Limits { return DefaultLimits }
	}
	if cfg.Heads == nil {
		cfg.Heads = &Heads{}
		cfg.Heads.SetLimit(DefaultHeadBytes)
	}
	if cfg.MaxConns == 0 {
		cfg.MaxConns = MaxClients()
	}
	if cfg.UnusedTime == 0 {
		cfg.UnusedTime = DefaultUnusedTime
	}
	s := &Server{cfg: cfg, conns: newConnSet(cfg.MaxConns, cfg.UnusedTime)}
	// Each connection replaces these timeouts by those in force and counts its heads.
	s.Server = http.Server{Handler: http.HandlerFunc(s.serveHTTP), ReadHeaderTimeout: DefaultLimits.HeadTimeout, IdleTimeout: DefaultLimits.IdleTimeout,
		MaxHeaderBytes: math.MaxInt32, ConnState: s.track, ConnContext: withConn, ErrorLog: cfg.ErrorLog}
	return s
}

// Serve accepts connections on l until Shutdown. The error is that of
// http.Server.Serve.
func (s *Server) Serve(l net.Listener) error { return s.Server.Serve(listener{l, s}) }

// MaxConns returns how many connections may be open.
func (s *Server) MaxConns() int { return s.cfg.MaxConns }

// CloseUnused closes the connections that have carried no request yet.
func (s *Server) CloseUnused() { s.conns.closeUnused() }

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// track is the ConnState hook.
func (s *Server) track(nc net.Conn, state http.ConnState) {
	s.conns.track(nc, state)
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.awaitHead()
	case http.StateClosed, http.StateHijacked:
		s.cfg.Heads.release(c)
	}
}

// serveHTTP serves a request whose head has been read. One whose connection was closed
// for another must not run, because its answer cannot be delivered.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		s.cfg.Handler.ServeHTTP(w, r)
		return
	}
	if s.conns.isClosing(c) {
		panic(http.ErrAbortHandler)
	}
	switch c.endHead(r) {
	case Evicted:
		panic(http.ErrAbortHandler)
	case NoMemory:
		s.refused(NoMemory)
		w.Header().Set("Retry-After", noMemoryRetryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		s.cfg.Handler.ServeHTTP(w, r)
	}
}

func (s *Server) refused(why Cause) {
	if s.cfg.OnRefused != nil {
		s.cfg.OnRefused(why)
	}
}
