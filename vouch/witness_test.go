package vouch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/directory"
	. "github.com/smartystreets/goconvey/convey"
)

var errAway = errors.New("no answer")

// world is the source and the target as one node finds them.
type world struct {
	listed   bool
	answers  bool // the source, to this node
	fit      Fitness
	lost     time.Time // as the node's other questions told
	asked    int       // of the source
	takes    time.Duration
	instance directory.Instance
}

func (w *world) witness() *Witness {
	wt := NewWitness(Config{
		Listed: func(ctx context.Context, _ directory.InstanceID) (bool, error) {
			w.asked++
			if !w.answers {
				return false, errAway
			}
			select {
			case <-time.After(w.takes):
				return w.listed, nil
			case <-ctx.Done():
				return false, ctx.Err()
			}
		},
		Probe:      func(context.Context, directory.Instance) Fitness { return w.fit },
		SourceLost: func() time.Time { return w.lost },
	})
	wt.See(w.instance)
	return wt
}

func calm() *world {
	return &world{listed: true, answers: true, fit: Fit, instance: directory.Instance{ID: "i", Started: 1000, Service: "s", Slots: 4}}
}

func (w *world) start() directory.Start { return w.instance.Start() }

// Entries go for several reasons, and all look the same to other nodes: a VM
// cut off from the store, a VM that the store turns away, an instance that
// leaves without a word, a crash, a restart.
func TestANodeVouchesOnlyWithGrounds(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(*world)
		want bool
	}{
		{"listed after all", func(*world) {}, true},
		{"removed while the source answers", func(w *world) { w.listed = false }, false},
		{"the source is out of reach", func(w *world) { w.answers, w.listed = false, false }, true},
		{"the source is too slow to tell", func(w *world) { w.takes = time.Minute }, true},
		{"out of reach, and the instance drains", func(w *world) { w.answers, w.fit = false, Unfit }, false},
		{"out of reach, and the instance does not say", func(w *world) { w.answers, w.fit = false, Unknown }, false},
		{"back in reach just now", func(w *world) { w.listed, w.lost = false, time.Now().Add(-time.Second) }, true},
		{"back in reach, and the instance drains", func(w *world) { w.listed, w.fit, w.lost = false, Unfit, time.Now() }, false},
		{"back in reach long enough to be listed", func(w *world) { w.listed, w.lost = false, time.Now().Add(-relistTime) }, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey(c.name, t, func() {
				w := calm()
				c.set(w)
				So(w.witness().Vouch(t.Context(), w.start()), ShouldEqual, c.want)
			})
		})
	}
}

func TestANodeVouchesForNothingItHasNotSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Nor for another start, nor for one that leaves", t, func() {
			w := calm()
			So(NewWitness(Config{}).Vouch(t.Context(), w.start()), ShouldBeFalse)
			wt := w.witness()
			So(wt.Vouch(t.Context(), directory.Start{ID: "other", At: 1000}), ShouldBeFalse)
			So(wt.Vouch(t.Context(), directory.Start{ID: "i", At: 500}), ShouldBeFalse)
			So(wt.Vouch(t.Context(), w.start()), ShouldBeTrue)
			w.instance.Leaving = true
			wt.See(w.instance)
			So(wt.Vouch(t.Context(), w.start()), ShouldBeFalse)
		})
	})
}

// An entry lapses, and every node that uses the instance asks in the same
// moment and again each half second. The source and the target must not pay
// for each of them.
func TestAllThatAskShareOneLook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A hundred nodes for two seconds are five looks at most", t, func() {
			w := calm()
			w.takes = 100 * time.Millisecond
			wt := w.witness()
			for range 4 {
				for range 100 {
					go wt.Vouch(t.Context(), w.start())
				}
				time.Sleep(RenewEvery)
			}
			So(w.asked, ShouldBeLessThanOrEqualTo, 5)
		})
	})
}
