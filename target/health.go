package target

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

type (
	// Health is what GET /health answers.
	Health struct {
		InFlight int64 `json:"in_flight"`
		Draining bool  `json:"draining"`
	}

	// lagging shows a value as it was up to lag ago, as health and load
	// endpoints do.
	lagging[T any] struct {
		lag time.Duration

		mu    sync.Mutex
		value T
		taken time.Time
	}
)

// get returns the value last taken, taking it anew if that was lag ago.
func (l *lagging[T]) get(take func() T) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.taken.IsZero() || now.Sub(l.taken) >= l.lag {
		l.value, l.taken = take(), now
	}
	return l.value
}

func (t *Target) handleHealth(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(t.health.get(func() Health {
		return Health{InFlight: t.inflight.Load(), Draining: t.draining.Load()}
	}))
}
