package configservice

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/callgraph"
	"golang.org/x/time/rate"
)

// Modes the configuration service can be switched to.
const (
	ModeUp    Mode = "up"
	ModeDown  Mode = "down"  // every read fails
	ModeStale Mode = "stale" // reads answer with the text before the newest
)

const (
	// ReadsPerSecond is the read rate across all readers past which reads
	// are refused.
	ReadsPerSecond = 2000
	maxText        = 1 << 20
	maxWait        = time.Minute
)

type (
	// Mode is how the configuration service answers now.
	Mode string

	// Config is what a Platform is built from.
	Config struct {
		Text  []byte        // first text; nil for none
		VMLag time.Duration // how far the VM list lags behind
		Log   log.Interface
		Reads float64 // reads a second; 0 for ReadsPerSecond
	}

	// Platform is one running stand-in.
	Platform struct {
		cfg     Config
		log     log.Interface
		limiter *rate.Limiter

		mu      sync.Mutex
		current *callgraph.Graph
		before  *callgraph.Graph
		mode    Mode
		changed chan struct{} // closed and replaced on each accepted text
		vms     []vmChange
	}
)

// New builds a Platform; an invalid cfg.Text is an error wrapping
// callgraph.ErrInvalid.
func New(cfg Config) (*Platform, error) {
	if cfg.Reads == 0 {
		cfg.Reads = ReadsPerSecond
	}
	p := &Platform{cfg: cfg, log: cfg.Log, mode: ModeUp, changed: make(chan struct{}),
		limiter: rate.NewLimiter(rate.Limit(cfg.Reads), int(cfg.Reads/10)+1)}
	if p.log == nil {
		p.log = log.Log
	}
	if cfg.Text != nil {
		if _, err := p.Submit(cfg.Text); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// Submit accepts a new text if it is valid and newer than the one held.
// It returns an error wrapping callgraph.ErrInvalid or callgraph.ErrStale.
func (p *Platform) Submit(text []byte) (callgraph.Version, error) {
	g, err := callgraph.Parse(text)
	if err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil && g.Version <= p.current.Version {
		return 0, callgraph.ErrStale
	}
	g.Accepted = time.Now()
	p.before, p.current = p.current, g
	close(p.changed)
	p.changed = make(chan struct{})
	p.log.WithField("version", g.Version).Info("config_accepted")
	return g.Version, nil
}

// SetMode switches how the configuration service answers.
func (p *Platform) SetMode(m Mode) {
	p.mu.Lock()
	p.mode = m
	p.mu.Unlock()
	p.log.WithField("mode", m).Info("platform_mode")
}

// Handler returns the platform's HTTP API.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", p.handleConfig)
	mux.HandleFunc("GET /v1/vms", p.handleVMs)
	mux.HandleFunc("POST /admin/config", p.handleSubmit)
	mux.HandleFunc("POST /admin/mode", func(w http.ResponseWriter, r *http.Request) { p.SetMode(Mode(r.URL.Query().Get("mode"))) })
	mux.HandleFunc("POST /admin/leaving", func(w http.ResponseWriter, r *http.Request) { p.SetLeaving(r.URL.Query().Get("instance")) })
	return mux
}

// handleConfig answers a read, or a watch when after= names the version the
// reader holds: it waits up to wait= for a newer one and answers 304 if none
// came.
func (p *Platform) handleConfig(w http.ResponseWriter, r *http.Request) {
	after, wait, ok := p.admitWatch(w, r)
	if !ok {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		g, mode, changed := p.view()
		if mode == ModeDown {
			http.Error(w, "configuration service down", http.StatusServiceUnavailable)
			return
		}
		if g != nil && uint64(g.Version) > after {
			w.Header().Set("Oatpin-Config-Version", strconv.FormatUint(uint64(g.Version), 10))
			w.Header().Set("Last-Modified", g.Accepted.UTC().Format(http.TimeFormat))
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

// admitWatch counts a read or watch against the rate and reads its
// parameters; over the rate it answers 429 itself.
func (p *Platform) admitWatch(w http.ResponseWriter, r *http.Request) (after uint64, wait time.Duration, ok bool) {
	if !p.limiter.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "read rate exceeded", http.StatusTooManyRequests)
		return 0, 0, false
	}
	after, _ = strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ = time.ParseDuration(r.URL.Query().Get("wait"))
	return after, min(wait, maxWait), true
}

func (p *Platform) view() (*callgraph.Graph, Mode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == ModeStale {
		return p.before, p.mode, p.changed
	}
	return p.current, p.mode, p.changed
}

func (p *Platform) handleSubmit(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxText))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	v, err := p.Submit(text)
	switch {
	case errors.Is(err, callgraph.ErrStale):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
	default:
		w.Write([]byte("accepted version " + strconv.FormatUint(uint64(v), 10) + "\n"))
	}
}
