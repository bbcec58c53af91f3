package directory

import (
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// lockTimeout is how long a test waits for what a deadlock would hold up.
const lockTimeout = 10 * time.Second

func newTestDirectory() *Directory { return New(Config{Log: discardLog}) }

// Guards against a node that answers nothing any more because a callback waits
// for a lock whose holder asks the directory.
func TestCallbackMayWaitForHolderOfLock(t *testing.T) {
	Convey("The directory answers while a callback waits for another lock", t, func() {
		d := newTestDirectory()
		var other sync.Mutex
		called := make(chan struct{})
		d.OnChange(func(*View) {
			close(called)
			other.Lock()
			defer other.Unlock()
		})
		other.Lock()
		go d.Replace(Snapshot{Revision: 1})
		<-called
		answered := make(chan struct{})
		go func() {
			d.LastSourceFailure()
			other.Unlock()
			close(answered)
		}()
		select {
		case <-answered:
		case <-time.After(lockTimeout):
			So("no answer after "+lockTimeout.String(), ShouldBeEmpty)
		}
	})
}

// Guards against a node that waits for itself because a callback changes the
// directory.
func TestCallbackMayChangeDirectory(t *testing.T) {
	Convey("A change made by a callback is passed on after the one that caused it", t, func() {
		d := newTestDirectory()
		var seen []int
		d.OnChange(func(v *View) {
			seen = append(seen, len(v.All()))
			if len(seen) == 1 {
				d.Apply([]Change{{Instance: &Instance{ID: "b", Service: "s", Revision: 2}}}, 2)
			}
		})
		done := make(chan struct{})
		go func() {
			d.Replace(Snapshot{Revision: 1, Instances: []Instance{{ID: "a", Service: "s", Revision: 1}}})
			close(done)
		}()
		select {
		case <-done:
			So(seen, ShouldResemble, []int{1, 2})
		case <-time.After(lockTimeout):
			So("no end after "+lockTimeout.String(), ShouldBeEmpty)
		}
	})
}

// Guards against a node that keeps to an old state because a concurrent change
// was passed on out of order, twice or never.
func TestCallbacksGetEveryViewInOrder(t *testing.T) {
	Convey("Callbacks get each view once, in order, and the last one before the changes end", t, func() {
		const goroutines, changes = 8, 25
		d := newTestDirectory()
		var views []*View
		d.OnChange(func(v *View) { views = append(views, v) })
		var wg sync.WaitGroup
		for range goroutines {
			wg.Go(func() {
				for range changes {
					d.addOne()
				}
			})
		}
		wg.Wait()
		So(len(views), ShouldEqual, goroutines*changes)
		for i, v := range views {
			if len(v.All()) != i+1 {
				So(len(v.All()), ShouldEqual, i+1)
			}
		}
		So(views[len(views)-1], ShouldEqual, d.View())
	})
}

// addOne adds an instance at the next revision.
func (d *Directory) addOne() {
	d.mu.Lock()
	defer d.unlock()
	at := d.revision + 1
	id := InstanceID(at.String())
	d.applyLocked([]Change{{Instance: &Instance{ID: id, Service: "s", Revision: at}}}, at)
}

// Guards against a node that applies no change any more after a callback
// panicked in the request that made one.
func TestCallbacksGoOnAfterPanic(t *testing.T) {
	Convey("The change after a panic is passed on", t, func() {
		d := newTestDirectory()
		calls := 0
		d.OnChange(func(*View) {
			if calls++; calls == 1 {
				panic("first call")
			}
		})
		So(func() { d.Replace(Snapshot{Revision: 1}) }, ShouldPanic)
		d.Replace(Snapshot{Revision: 2})
		So(calls, ShouldEqual, 2)
	})
}
