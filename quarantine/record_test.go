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

func newExit(id ExitID, c Caller) Exit { return Exit{ID: id, Caller: c} }

func newIsolatedExit(id ExitID, c Caller) Exit { return Exit{ID: id, Caller: c, Isolated: true} }

// A request that crashes instances is suspect after the first exit, isolated
// after the second and quarantined after the third.
func TestQuarantineAfterThreeExits(t *testing.T) {
	Convey("Free, suspect, isolated, quarantined", t, func() {
		tracker := newTestTracker()
		So(tracker.Stage(poison, "a"), ShouldEqual, Free)
		So(tracker.RecordExit(poison, newExit(1, "a")), ShouldBeTrue)
		So(tracker.Stage(poison, "a"), ShouldEqual, Suspect)
		tracker.RecordExit(poison, newExit(2, "a"))
		So(tracker.Stage(poison, "a"), ShouldEqual, Isolated)
		tracker.RecordExit(poison, newIsolatedExit(3, "a"))
		So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
		So(tracker.Remaining(poison, "a"), ShouldBeBetween, Term-time.Second, Term+1)
		So(tracker.Count(Quarantined), ShouldEqual, 1)
	})
	Convey("An exit recorded twice, by the nodes at both sides of a call, counts once", t, func() {
		tracker := newTestTracker()
		tracker.RecordExit(poison, newExit(1, "a"))
		So(tracker.RecordExit(poison, newExit(1, "a")), ShouldBeFalse)
		So(tracker.Stage(poison, "a"), ShouldEqual, Suspect)
	})
	Convey("If quarantine is off, the request remains free", t, func() {
		tracker := NewTracker(Config{Disabled: true, Log: &log.Logger{Handler: discard.New()}})
		for i := range 5 {
			tracker.RecordExit(poison, newIsolatedExit(ExitID(i+1), "a"))
		}
		So(tracker.Stage(poison, "a"), ShouldEqual, Free)
	})
}

// Five instances lose power while they run the same harmless request, which must
// not stay quarantined.
func TestSimultaneousExitsQuarantineBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The request is quarantined for provisionalTerm, then isolated until it is answered", t, func() {
			tracker := newTestTracker()
			for i := range 5 {
				tracker.RecordExit(poison, newExit(ExitID(i+1), "a"))
			}
			So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
			So(tracker.Remaining(poison, "a"), ShouldEqual, provisionalTerm)
			time.Sleep(provisionalTerm)
			So(tracker.Stage(poison, "a"), ShouldEqual, Isolated)
			So(tracker.RecordAnswer(poison, "a"), ShouldBeTrue)
			So(tracker.Stage(poison, "a"), ShouldEqual, Free)
			So(tracker.RecordAnswer(poison, "a"), ShouldBeFalse)
			// Exits after the answer count from zero.
			tracker.RecordExit(poison, newExit(11, "a"))
			So(tracker.Stage(poison, "a"), ShouldEqual, Suspect)
			tracker.RecordExit(poison, newExit(12, "a"))
			tracker.RecordExit(poison, newIsolatedExit(13, "a"))
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
		tracker.RecordExit(poison, newExit(1, "a"))
		tracker.RecordExit(poison, newExit(2, "a"))
		tracker.RecordExit(poison, newIsolatedExit(3, "a"))
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
		Convey("If it crashes one more instance, it is quarantined for all callers", t, func() {
			tracker := quarantinedTracker()
			time.Sleep(time.Minute)
			tracker.RecordExit(poison, newIsolatedExit(4, "b"))
			time.Sleep(Term)
			So(tracker.Stage(poison, "b"), ShouldEqual, Quarantined)
			So(tracker.Stage(poison, "c"), ShouldEqual, Quarantined)
		})
		Convey("A caller that was answered before is not affected", t, func() {
			tracker := newTestTracker()
			tracker.RecordExit(poison, newExit(1, "a"))
			tracker.RecordAnswer(poison, "b")
			tracker.RecordExit(poison, newExit(2, "a"))
			tracker.RecordExit(poison, newIsolatedExit(3, "a"))
			So(tracker.Stage(poison, "b"), ShouldEqual, Free)
			So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
		})
	})
}

// Three instances exited spontaneously, and a harmless request was isolated at
// one other exit. Only a second such exit may quarantine it for the full term.
func TestUnrelatedExitsRequireSecondConclusiveExit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		trackerWithUnrelatedExits := func(unrelated int) *Tracker {
			tracker := newTestTracker()
			for i := range unrelated {
				tracker.RecordExit(Fingerprint(100+i), newExit(ExitID(100+i), "a"))
			}
			tracker.RecordExit(poison, newExit(1, "a"))
			tracker.RecordExit(poison, newExit(2, "a"))
			tracker.RecordExit(poison, newIsolatedExit(3, "a"))
			time.Sleep(provisionalTerm)
			return tracker
		}
		Convey("With two unrelated exits, one conclusive exit is enough", t, func() {
			So(trackerWithUnrelatedExits(2).Stage(poison, "a"), ShouldEqual, Quarantined)
		})
		Convey("With three, the request runs isolated again until a second conclusive exit", t, func() {
			tracker := trackerWithUnrelatedExits(3)
			So(tracker.Stage(poison, "a"), ShouldEqual, Isolated)
			tracker.RecordExit(poison, newIsolatedExit(4, "a"))
			time.Sleep(provisionalTerm)
			So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
		})
		Convey("With three, an answer clears the request", t, func() {
			tracker := trackerWithUnrelatedExits(3)
			tracker.RecordAnswer(poison, "a")
			So(tracker.Stage(poison, "a"), ShouldEqual, Free)
		})
		Convey("Exits attributed to another request are not unrelated", t, func() {
			tracker := trackerWithUnrelatedExits(3)
			for i := range 3 {
				tracker.RecordExit(9, newIsolatedExit(ExitID(100+i), "a"))
			}
			So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
		})
	})
}

// A harmless request was isolated at an exit caused by a request not yet known
// to be harmful. It must run again once that one has crashed another instance
// while isolated.
func TestExitCausedByAnotherRequest(t *testing.T) {
	const harmless = Fingerprint(8)
	synctest.Test(t, func(t *testing.T) {
		trackerWithSharedExit := func() *Tracker {
			tracker := newTestTracker()
			tracker.RecordExit(harmless, newExit(1, "a"))
			tracker.RecordExit(harmless, newExit(2, "a"))
			tracker.RecordExit(harmless, newIsolatedExit(3, "a"))
			tracker.RecordExit(poison, newExit(3, "a"))
			time.Sleep(provisionalTerm)
			return tracker
		}
		Convey("Once the other request is known, it is quarantined and the harmless one runs isolated", t, func() {
			tracker := trackerWithSharedExit()
			So(tracker.Stage(harmless, "a"), ShouldEqual, Quarantined)
			tracker.RecordExit(poison, newExit(4, "a"))
			tracker.RecordExit(poison, newIsolatedExit(5, "a"))
			time.Sleep(provisionalTerm)
			So(tracker.Stage(harmless, "a"), ShouldEqual, Isolated)
			So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
		})
		Convey("Not if the other request has since been answered", t, func() {
			tracker := trackerWithSharedExit()
			tracker.RecordExit(poison, newIsolatedExit(5, "a"))
			tracker.RecordAnswer(poison, "a")
			So(tracker.Stage(harmless, "a"), ShouldEqual, Quarantined)
		})
	})
}

// A request must not stay quarantined forever, since the request or the service
// may have been fixed.
func TestQuarantineExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The request runs isolated after its term, and a further exit doubles the term", t, func() {
			tracker := newTestTracker()
			tracker.RecordExit(poison, newExit(1, "a"))
			tracker.RecordExit(poison, newExit(2, "a"))
			tracker.RecordExit(poison, newIsolatedExit(3, "a"))
			time.Sleep(Term - time.Second)
			So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
			time.Sleep(2 * time.Second)
			So(tracker.Stage(poison, "a"), ShouldEqual, Isolated)
			tracker.RecordExit(poison, newIsolatedExit(4, "a"))
			time.Sleep(2*Term - time.Second)
			So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
			time.Sleep(2 * time.Second)
			So(tracker.Stage(poison, "a"), ShouldEqual, Isolated)
			time.Sleep(recordTTL)
			tracker.RecordExit(1, newExit(5, "a"))
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
			a.RecordExit(poison, newExit(1, "a"))
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

// Instances exit with many requests in progress. The records must stay bounded,
// and evictions must not release a quarantined request.
func TestRecordsAreBounded(t *testing.T) {
	Convey("Quarantined requests are evicted last", t, func() {
		tracker := newTestTracker()
		for i := range 3 {
			tracker.RecordExit(poison, newIsolatedExit(ExitID(i+1), "a"))
		}
		for i := range 2 * maxRecords {
			tracker.RecordExit(Fingerprint(100+i), newExit(ExitID(100+i), "a"))
		}
		So(len(tracker.records), ShouldBeLessThanOrEqualTo, maxRecords)
		So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
	})
	Convey("Answered exits of a request are replaced first", t, func() {
		tracker := newTestTracker()
		for i := range 3 * maxExits {
			tracker.RecordExit(poison, newExit(ExitID(i+1), "a"))
			tracker.RecordAnswer(poison, "a")
		}
		for i := range 3 {
			tracker.RecordExit(poison, newIsolatedExit(ExitID(1000+i), "a"))
		}
		So(len(tracker.records[poison].Exits), ShouldBeLessThanOrEqualTo, maxExits)
		So(tracker.Stage(poison, "a"), ShouldEqual, Quarantined)
	})
}

// An isolated request must be the only suspect at its instance, so that an exit
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
