package account

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A limit is lowered while a report is under way. Guards against a node that then
// applies the quota by the limit before.
func TestQuotaIsAppliedByLimitOfItsArrival(t *testing.T) {
	registry := func(limit float64) *Registry {
		r, err := NewRegistry([]Account{{Name: "a", Rate: limit, Burst: limit}})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	synctest.Test(t, func(t *testing.T) {
		var current atomic.Pointer[Registry]
		current.Store(registry(1000))
		lowered := registry(10)
		limiter := NewLimiter(DefaultTolerance())
		x := NewExchange(ExchangeConfig{Self: "node", DC: "dc", Registry: current.Load,
			Collectors: func() ([]Source, [][]Source, int) { return []Source{"collector"}, nil, 2 },
			Send: func(context.Context, Source, Report) ([]Quota, error) {
				if current.Swap(lowered) != lowered {
					limiter.SetRegistry(lowered)
				}
				return []Quota{{Account: "a", Tokens: 1000, Share: 1, Unrestricted: true}}, nil
			}, OnError: func(Source, error) {}}, limiter)
		ctx, stop := context.WithCancel(context.Background())
		go x.Run(ctx)
		limiter.Allow(current.Load().ByName("a"))
		for current.Load() != lowered {
			time.Sleep(time.Millisecond)
			synctest.Wait()
		}
		allowed := 0
		for range 1000 {
			if ok, _ := limiter.Allow(lowered.ByName("a")); ok {
				allowed++
			}
		}
		stop()
		synctest.Wait()
		Convey("The node admits no more than the lower limit and its burst", t, func() {
			So(allowed, ShouldBeLessThanOrEqualTo, 20)
		})
	})
}
