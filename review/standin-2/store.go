package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// baseDelay is how long an answer of the store takes on average; single answers
// take half as long to half as long again.
const baseDelay = 4 * time.Millisecond

type (
	// store is a stand-in of the platform's metadata store. Requests are
	// evaluated when they arrive and answered after a delay.
	store struct {
		mu      sync.Mutex
		rev     int64
		oldest  int64 // watches from before it are answered with 410
		items   map[string]entry
		history []event
		delay   time.Duration // mean
		muted   bool          // watches hear nothing
		away    bool          // all calls are refused
		era     int           // rises when the store comes back from a copy
		copied  *copied       // nil for none
		changed chan struct{} // closed on a change of the state
		cut     chan struct{} // closed to break off the watches that wait
	}

	entry struct {
		Key      string
		Value    string // base64
		Revision int64
		Created  int64
		Lease    int64
	}

	event struct {
		entry
		Deleted bool `json:",omitempty"`
	}

	// copied is the state of the store at an earlier time.
	copied struct {
		rev   int64
		items map[string]entry
	}

	keyAnswer struct {
		entry
		CurrentRev int64
	}

	rangeAnswer struct {
		Items      []entry `json:"items"`
		HasMore    bool
		CurrentRev int64
	}

	watchAnswer struct {
		Events     []event `json:"events"`
		CurrentRev int64
	}
)

func newStore() *store {
	return &store{items: map[string]entry{}, delay: baseDelay, changed: make(chan struct{}), cut: make(chan struct{})}
}

// put writes a key and returns the revision, which acknowledges it.
func (s *store) put(key string, value any) int64 {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	e := entry{Key: key, Value: base64.StdEncoding.EncodeToString(b), Revision: s.rev, Created: s.rev}
	if old, ok := s.items[key]; ok {
		e.Created = old.Created
	}
	s.items[key] = e
	s.history = append(s.history, event{entry: e})
	s.wake()
	return s.rev
}

// setDelay changes how long an answer takes.
func (s *store) setDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// drawDelay returns how long the next answer takes. s.mu must be held.
func (s *store) drawDelay() time.Duration { return s.delay/2 + rand.N(s.delay) }

// mute keeps changes from the watches until forget.
func (s *store) mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = true
}

// forget discards the history and breaks off the watches that wait.
func (s *store) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted, s.oldest, s.history = false, s.rev, nil
	close(s.cut)
	s.cut = make(chan struct{})
	s.wake()
}

// copyState takes the copy from which the store comes back.
func (s *store) copyState() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = &copied{rev: s.rev, items: maps.Clone(s.items)}
}

// goAway refuses all calls and breaks off the watches that wait.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.cut)
	s.cut = make(chan struct{})
}

// comeBack answers again, from the copy and in a new era. Watches from a
// revision that the copy does not have are answered with 410.
func (s *store) comeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.rev, s.items, s.oldest, s.history = false, s.copied.rev, maps.Clone(s.copied.items), s.copied.rev, nil
	s.era++
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away := s.away
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
	}
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/oatpin/kv-key":
		s.serveKey(w, q.Get("Key"))
	case "/oatpin/kv-range":
		s.serveRange(w, q.Get("Prefix"), q.Get("after"))
	case "/oatpin/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	e, ok := s.items[key]
	a, d := keyAnswer{entry: e, CurrentRev: s.rev}, s.drawDelay()
	s.mu.Unlock()
	time.Sleep(d)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, a)
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	a, d := rangeAnswer{Items: []entry{}, CurrentRev: s.rev}, s.drawDelay()
	for k, e := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			a.Items = append(a.Items, e)
		}
	}
	s.mu.Unlock()
	time.Sleep(d)
	writeJSON(w, a)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, err2 := strconv.Atoi(q.Get("WaitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	for {
		s.mu.Lock()
		a, gone, d, changed := s.since(q.Get("Prefix"), after), after < s.oldest || after > s.rev, s.drawDelay(), s.changed
		s.mu.Unlock()
		if gone {
			time.Sleep(d)
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(a.Events) > 0 {
			time.Sleep(d)
			writeJSON(w, a)
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-timer.C:
			time.Sleep(d)
			writeJSON(w, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes after a revision; none while the watches hear
// nothing. s.mu must be held.
func (s *store) since(prefix string, after int64) watchAnswer {
	if s.muted {
		return watchAnswer{Events: []event{}, CurrentRev: after}
	}
	a := watchAnswer{Events: []event{}, CurrentRev: s.rev}
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			a.Events = append(a.Events, e)
		}
	}
	return a
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The client sees a truncated answer itself.
	_ = json.NewEncoder(w).Encode(v)
}
