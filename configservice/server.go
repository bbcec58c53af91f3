package configservice

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/callgraph"
	"golang.org/x/time/rate"
)

// Response modes of the configuration service.
const (
	ModeUp    Mode = "up"
	ModeDown  Mode = "down"  // every read fails
	ModeStale Mode = "stale" // reads return the previous configuration
)

const (
	// DefaultReadRate is the default rate limit for all readers together, in
	// reads per second.
	DefaultReadRate = 2000
	maxConfigBytes  = 1 << 20
	maxWait         = time.Minute
)

type (
	// Mode is a response mode of the configuration service.
	Mode string

	// Config is the configuration of a Server.
	Config struct {
		InitialConfig []byte        // nil for none
		VMListDelay   time.Duration // time until readers see a change of the VM list
		Log           log.Interface
		ReadRate      float64 // rate limit in reads per second; 0 for DefaultReadRate
	}

	// Server is a simulated configuration service. It is safe for concurrent
	// use.
	Server struct {
		cfg     Config
		log     log.Interface
		limiter *rate.Limiter
		era     string // identifies this run of the service, which keeps nothing; random

		mu       sync.Mutex
		current  *callgraph.Graph
		previous *callgraph.Graph
		mode     Mode
		changed  chan struct{} // closed and replaced on each change of the configuration or VM list
		vms      []vmChange
	}
)

// New returns a Server. The error wraps callgraph.ErrInvalid if
// cfg.InitialConfig is invalid.
func New(cfg Config) (*Server, error) {
	if cfg.ReadRate == 0 {
		cfg.ReadRate = DefaultReadRate
	}
	s := &Server{cfg: cfg, log: cfg.Log, era: strconv.FormatUint(rand.Uint64(), 36), mode: ModeUp, changed: make(chan struct{}),
		limiter: rate.NewLimiter(rate.Limit(cfg.ReadRate), int(cfg.ReadRate/10)+1)}
	if s.log == nil {
		s.log = log.Log
	}
	if cfg.InitialConfig != nil {
		if _, err := s.Submit(cfg.InitialConfig); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Submit makes a configuration current if it is valid and newer than the
// current one; otherwise the error wraps callgraph.ErrInvalid or
// callgraph.ErrStale.
func (s *Server) Submit(text []byte) (callgraph.Version, error) {
	g, err := callgraph.Parse(text)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && g.Version <= s.current.Version {
		return 0, callgraph.ErrStale
	}
	g.AcceptedAt = time.Now()
	s.previous, s.current = s.current, g
	close(s.changed)
	s.changed = make(chan struct{})
	s.log.WithField("version", g.Version).Info("config_accepted")
	return g.Version, nil
}

// SetMode switches the response mode.
func (s *Server) SetMode(m Mode) {
	s.mu.Lock()
	s.mode = m
	s.mu.Unlock()
	s.log.WithField("mode", m).Info("platform_mode")
}

// Handler returns the HTTP API of the service.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", s.handleConfig)
	mux.HandleFunc("GET /v1/vms", s.handleVMs)
	mux.HandleFunc("POST /admin/config", s.handleSubmit)
	mux.HandleFunc("POST /admin/mode", func(w http.ResponseWriter, r *http.Request) { s.SetMode(Mode(r.URL.Query().Get("mode"))) })
	mux.HandleFunc("POST /admin/leaving", func(w http.ResponseWriter, r *http.Request) { s.SetLeaving(r.URL.Query().Get("instance")) })
	return mux
}

// handleConfig serves a configuration newer than the version in after=. It
// blocks up to wait= for one and then responds with 304.
func (s *Server) handleConfig(w http.ResponseWriter, r *http.Request) {
	after, wait, ok := s.admitWatch(w, r)
	if !ok {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		g, mode, changed := s.view()
		if mode == ModeDown {
			http.Error(w, "configuration service down", http.StatusServiceUnavailable)
			return
		}
		if g != nil && uint64(g.Version) > after {
			w.Header().Set("Oatpin-Config-Version", strconv.FormatUint(uint64(g.Version), 10))
			w.Header().Set("Last-Modified", g.AcceptedAt.UTC().Format(http.TimeFormat))
			w.Write(g.Text)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// admitWatch applies the rate limit to a read or watch and parses its
// parameters. Over the limit it responds with 429 and ok is false.
func (s *Server) admitWatch(w http.ResponseWriter, r *http.Request) (after uint64, wait time.Duration, ok bool) {
	if !s.limiter.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "read rate exceeded", http.StatusTooManyRequests)
		return 0, 0, false
	}
	after, _ = strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ = time.ParseDuration(r.URL.Query().Get("wait"))
	return after, min(wait, maxWait), true
}

// view returns the configuration to serve, the mode and the channel that is
// closed on a change.
func (s *Server) view() (*callgraph.Graph, Mode, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode == ModeStale {
		return s.previous, s.mode, s.changed
	}
	return s.current, s.mode, s.changed
}

func (s *Server) handleSubmit(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	v, err := s.Submit(text)
	switch {
	case errors.Is(err, callgraph.ErrStale):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
	default:
		w.Write([]byte("accepted version " + strconv.FormatUint(uint64(v), 10) + "\n"))
	}
}
