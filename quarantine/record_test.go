package quarantine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/smartystreets/goconvey/convey"
)

const poison = Fingerprint(7)

func newTestTracker() *Tracker {
	return NewTracker(Config{Log: &log.Logger{Handler: discard.New()}})
}

func newEnd(id EndID, c Caller) End { return End{ID: id, Caller: c} }

func newIsolatedEnd(id EndID, c Caller) End { return End{ID: id, Caller: c, Isolated: true} }

// A request that ends instances is suspect after the first end, isolated after
// the second and quarantined after the third.
func TestQuarantineAfterThreeEnds(t *testing.T) {
	Convey("Free, suspect, isolated, quarantined", t, func() {
		tracker := newTestTracker()
		So(tracker.Stage(poison, "a"), ShouldEqual, Free)
		So(tracker.RecordEnd(poison, newEnd(1, "a")), ShouldBeTrue)
		So(tracker.Stage(poison, "a"), ShouldEqual, Suspect)
		tracker.RecordEnd(poison, newEnd(2, "a"))
		So(tracker.Stage(poison, "a"), ShouldEqual, Isolated)
		tracker.RecordEnd(poison, newIsolatedEnd(3, "a"))
		So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
		So(tracker.Remaining(poison, "a"), ShouldBeBetween, Term-time.Second, Term+1)
		So(tracker.Count(Quarantined), ShouldEqual, 1)
	})
	Convey("An end recorded twice, by the nodes at both sides of a call, counts once", t, func() {
		tracker := newTestTracker()
		tracker.RecordEnd(poison, newEnd(1, "a"))
		So(tracker.RecordEnd(poison, newEnd(1, "a")), ShouldBeFalse)
		So(tracker.Stage(poison, "a"), ShouldEqual, Suspect)
	})
	Convey("If quarantine is off, the request remains free", t, func() {
		tracker := NewTracker(Config{Disabled: true, Log: &log.Logger{Handler: discard.New()}})
		for i := range 5 {
			tracker.RecordEnd(poison, newIsolatedEnd(EndID(i+1), "a"))
		}
		So(tracker.Stage(poison, "a"), ShouldEqual, Free)
	})
}

// Five instances lose power while they run the same harmless request, which must
// not stay quarantined.
func TestSimultaneousEndsQuarantineBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The request is quarantined for provisionalTerm, then isolated until it is answered", t, func() {
			tracker := newTestTracker()
			for i := range 5 {
				tracker.RecordEnd(poison, newEnd(EndID(i+1), "a"))
			}
			So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
			So(tracker.Remaining(poison, "a"), ShouldEqual, provisionalTerm)
			time.Sleep(provisionalTerm)
			So(tracker.Stage(poison, "a"), ShouldEqual, Isolated)
			So(tracker.RecordAnswer(poison, "a"), ShouldBeTrue)
			So(tracker.Stage(poison, "a"), ShouldEqual, Free)
			So(tracker.RecordAnswer(poison, "a"), ShouldBeFalse)
			// Ends after the answer count from zero.
			tracker.RecordEnd(poison, newEnd(11, "a"))
			So(tracker.Stage(poison, "a"), ShouldEqual, Suspect)
			tracker.RecordEnd(poison, newEnd(12, "a"))
			tracker.RecordEnd(poison, newIsolatedEnd(13, "a"))
			time.Sleep(provisionalTerm)
			So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
		})
	})
}

// A caller's quarantine applies to the same request from another caller for a
// minute. Then it runs isolated, and is cleared or quarantined for all callers.
func TestSameRequestFromAnotherCaller(t *testing.T) {
	quarantinedTracker := func() *Tracker {
		tracker := newTestTracker()
		tracker.RecordEnd(poison, newEnd(1, "a"))
		tracker.RecordEnd(poison, newEnd(2, "a"))
		tracker.RecordEnd(poison, newIsolatedEnd(3, "a"))
		time.Sleep(provisionalTerm)
		return tracker
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("Another caller's request runs isolated after a minute and is free once answered; other callers' requests are not cleared", t, func() {
			tracker := quarantinedTracker()
			So(tracker.Stage(poison, "b"), ShouldEqual, Quarantined)
			So(tracker.Remaining(poison, "b"), ShouldEqual, time.Minute-provisionalTerm)
			So(tracker.Remaining(poison, "a"), ShouldEqual, Term-provisionalTerm)
			time.Sleep(time.Minute)
			So(tracker.Stage(poison, "b"), ShouldEqual, Isolated)
			tracker.RecordAnswer(poison, "b")
			So(tracker.Stage(poison, "b"), ShouldEqual, Free)
			So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
			So(tracker.Stage(poison, "c"), ShouldEqual, Isolated)
		})
		Convey("If it ends one more instance, it is quarantined for all callers", t, func() {
			tracker := quarantinedTracker()
			time.Sleep(time.Minute)
			tracker.RecordEnd(poison, newIsolatedEnd(4, "b"))
			time.Sleep(Term)
			So(tracker.Stage(poison, "b"), ShouldEqual, Quarantined)
			So(tracker.Stage(poison, "c"), ShouldEqual, Quarantined)
		})
		Convey("A caller that was answered before is not affected", t, func() {
			tracker := newTestTracker()
			tracker.RecordEnd(poison, newEnd(1, "a"))
			tracker.RecordAnswer(poison, "b")
			tracker.RecordEnd(poison, newEnd(2, "a"))
			tracker.RecordEnd(poison, newIsolatedEnd(3, "a"))
			So(tracker.Stage(poison, "b"), ShouldEqual, Free)
			So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
		})
	})
}

// Three instances ended spontaneously, and a harmless request was isolated at
// one other end. Only a second such end may quarantine it for the full term.
func TestUnrelatedEndsRequireSecondConclusiveEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		trackerWithUnrelatedEnds := func(unrelated int) *Tracker {
			tracker := newTestTracker()
			for i := range unrelated {
				tracker.RecordEnd(Fingerprint(100+i), newEnd(EndID(100+i), "a"))
			}
			tracker.RecordEnd(poison, newEnd(1, "a"))
			tracker.RecordEnd(poison, newEnd(2, "a"))
			tracker.RecordEnd(poison, newIsolatedEnd(3, "a"))
			time.Sleep(provisionalTerm)
			return tracker
		}
		Convey("With two unrelated ends, one conclusive end is enough", t, func() {
			So(trackerWithUnrelatedEnds(2).Stage(poison, "a"), ShouldEqual, Quarantined)
		})
		Convey("With three, the request runs isolated again until a second conclusive end", t, func() {
			tracker := trackerWithUnrelatedEnds(3)
			So(tracker.Stage(poison, "a"), ShouldEqual, Isolated)
			tracker.RecordEnd(poison, newIsolatedEnd(4, "a"))
			time.Sleep(provisionalTerm)
			So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
		})
		Convey("With three, an answer clears the request", t, func() {
			tracker := trackerWithUnrelatedEnds(3)
			tracker.RecordAnswer(poison, "a")
			So(tracker.Stage(poison, "a"), ShouldEqual, Free)
		})
		Convey("Ends attributed to another request are not unrelated", t, func() {
			tracker := trackerWithUnrelatedEnds(3)
			for i := range 3 {
				tracker.RecordEnd(9, newIsolatedEnd(EndID(100+i), "a"))
			}
			So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
		})
	})
}

// A harmless request was isolated at an end caused by a request not yet known to
// be harmful. It must run again once that one has ended another instance while
// isolated.
func TestEndCausedByAnotherRequest(t *testing.T) {
	const harmless = Fingerprint(8)
	synctest.Test(t, func(t *testing.T) {
		trackerWithSharedEnd := func() *Tracker {
			tracker := newTestTracker()
			tracker.RecordEnd(harmless, newEnd(1, "a"))
			tracker.RecordEnd(harmless, newEnd(2, "a"))
			tracker.RecordEnd(harmless, newIsolatedEnd(3, "a"))
			tracker.RecordEnd(poison, newEnd(3, "a"))
			time.Sleep(provisionalTerm)
			return tracker
		}
		Convey("Once the other request is known, it is quarantined and the harmless one runs isolated", t, func() {
			tracker := trackerWithSharedEnd()
			So(tracker.Stage(harmless, "a"), ShouldEqual, Quarantined)
			tracker.RecordEnd(poison, newEnd(4, "a"))
			tracker.RecordEnd(poison, newIsolatedEnd(5, "a"))
			time.Sleep(provisionalTerm)
			So(tracker.Stage(harmless, "a"), ShouldEqual, Isolated)
			So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
		})
		Convey("Not if the other request has since been answered", t, func() {
			tracker := trackerWithSharedEnd()
			tracker.RecordEnd(poison, newIsolatedEnd(5, "a"))
			tracker.RecordAnswer(poison, "a")
			So(tracker.Stage(harmless, "a"), ShouldEqual, Quarantined)
		})
	})
}

// A request must not stay quarantined forever, since the request or the service
// may have been fixed.
func TestQuarantineExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The request runs isolated after its term, and a further end doubles the term", t, func() {
			tracker := newTestTracker()
			tracker.RecordEnd(poison, newEnd(1, "a"))
			tracker.RecordEnd(poison, newEnd(2, "a"))
			tracker.RecordEnd(poison, newIsolatedEnd(3, "a"))
			time.Sleep(Term - time.Second)
			So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
			time.Sleep(2 * time.Second)
			So(tracker.Stage(poison, "a"), ShouldEqual, Isolated)
			tracker.RecordEnd(poison, newIsolatedEnd(4, "a"))
			time.Sleep(2*Term - time.Second)
			So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
			time.Sleep(2 * time.Second)
			So(tracker.Stage(poison, "a"), ShouldEqual, Isolated)
			time.Sleep(recordTTL)
			tracker.RecordEnd(1, newEnd(5, "a"))
			So(tracker.Stage(poison, "a"), ShouldEqual, Free)
			So(len(tracker.records), ShouldEqual, 1)
		})
	})
}

// Two nodes that repeat the same record to each other must not keep it alive.
func TestRepeatedReportsDoNotExtendTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Both nodes drop the record after recordTTL", t, func() {
			a, b := newTestTracker(), newTestTracker()
			a.RecordEnd(poison, newEnd(1, "a"))
			for range 60 {
				b.Merge(a.ChangesSince(Cursor{}))
				a.Merge(b.ChangesSince(Cursor{}))
				time.Sleep(recordTTL / 50)
			}
			a.sweep()
			b.sweep()
			So(len(a.records)+len(b.records), ShouldEqual, 0)
		})
	})
}

// Instances end with many requests in progress. The records must stay bounded,
// and evictions must not release a quarantined request.
func TestRecordsAreBounded(t *testing.T) {
	Convey("Quarantined requests are evicted last", t, func() {
		tracker := newTestTracker()
		for i := range 3 {
			tracker.RecordEnd(poison, newIsolatedEnd(EndID(i+1), "a"))
		}
		for i := range 2 * maxRecords {
			tracker.RecordEnd(Fingerprint(100+i), newEnd(EndID(100+i), "a"))
		}
		So(len(tracker.records), ShouldBeLessThanOrEqualTo, maxRecords)
		So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
	})
	Convey("Answered ends of a request are replaced first", t, func() {
		tracker := newTestTracker()
		for i := range 3 * maxEnds {
			tracker.RecordEnd(poison, newEnd(EndID(i+1), "a"))
			tracker.RecordAnswer(poison, "a")
		}
		for i := range 3 {
			tracker.RecordEnd(poison, newIsolatedEnd(EndID(1000+i), "a"))
		}
		So(len(tracker.records[poison].Ends), ShouldBeLessThanOrEqualTo, maxEnds)
		So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
	})
}

// An isolated request must be the only suspect at its instance, so that an end
// can be attributed to it.
func TestIsolatedRequestExcludesSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Suspects run concurrently; suspect and isolated requests exclude each other", t, func() {
			l := NewIsolationLock()
			enter := func(s Stage) (release func(), waited time.Duration, ok bool) {
				start := time.Now()
				release, ok = l.Acquire(t.Context(), s, time.Second)
				return release, time.Since(start), ok
			}
			first, _, _ := enter(Suspect)
			second, waited, ok := enter(Suspect)
			So(ok, ShouldBeTrue)
			So(waited, ShouldEqual, 0)
			_, waited, ok = enter(Isolated)
			So(ok, ShouldBeFalse)
			So(waited, ShouldEqual, time.Second)
			second()
			time.AfterFunc(time.Second/2, first)
			release, waited, ok := enter(Isolated)
			So(ok, ShouldBeTrue)
			So(waited, ShouldEqual, time.Second/2)
			_, _, ok = enter(Suspect)
			So(ok, ShouldBeFalse)
			_, _, ok = enter(Isolated)
			So(ok, ShouldBeFalse)
			_, waited, ok = enter(Free)
			So(ok, ShouldBeTrue)
			So(waited, ShouldEqual, 0)
			release()
			_, _, ok = enter(Suspect)
			So(ok, ShouldBeTrue)
		})
	})
}

func TestIsolationInstanceIsConsistent(t *testing.T) {
	Convey("Order does not matter, and removing a candidate moves only its own requests", t, func() {
		identity := func(s string) string { return s }
		moved := 0
		for f := range Fingerprint(300) {
			selected := IsolationInstance(f, []string{"a", "b", "c"}, identity)
			So(IsolationInstance(f, []string{"c", "a", "b"}, identity), ShouldResemble, selected)
			rest := IsolationInstance(f, []string{"b", "c"}, identity)
			if selected[0] == "a" {
				moved++
			} else {
				So(rest, ShouldResemble, selected)
			}
		}
		So(moved, ShouldBeBetween, 60, 140)
		So(IsolationInstance(1, nil, identity), ShouldBeEmpty)
	})
}
