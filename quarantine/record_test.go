package quarantine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/smartystreets/goconvey/convey"
)

const fatal = Fingerprint(7)

func newTestBook() *Book {
	return NewBook(Config{Log: &log.Logger{Handler: discard.New()}})
}

func end(id EndID, c Caller) End { return End{ID: id, Caller: c} }

func alone(id EndID, c Caller) End { return End{ID: id, Caller: c, Alone: true} }

// One request after the other ends an instance. The second time it was there
// it runs isolated, and after the third it runs no more.
func TestTheThirdEndIsTheLast(t *testing.T) {
	Convey("Free, suspect, isolated, quarantined", t, func() {
		b := newTestBook()
		So(b.Stage(fatal, "a"), ShouldEqual, Free)
		So(b.Ended(fatal, end(1, "a")), ShouldBeTrue)
		So(b.Stage(fatal, "a"), ShouldEqual, Suspect)
		b.Ended(fatal, end(2, "a"))
		So(b.Stage(fatal, "a"), ShouldEqual, Isolated)
		b.Ended(fatal, alone(3, "a"))
		So(b.Stage(fatal, "a"), ShouldEqual, Quarantined)
		So(b.Left(fatal, "a"), ShouldBeBetween, Term-time.Second, Term+1)
		So(b.Count(Quarantined), ShouldEqual, 1)
	})
	Convey("The same end told twice, by the nodes at both sides of it, is one", t, func() {
		b := newTestBook()
		b.Ended(fatal, end(1, "a"))
		So(b.Ended(fatal, end(1, "a")), ShouldBeFalse)
		So(b.Stage(fatal, "a"), ShouldEqual, Suspect)
	})
	Convey("With the policy off it runs on", t, func() {
		b := NewBook(Config{Off: true, Log: &log.Logger{Handler: discard.New()}})
		for i := range 5 {
			b.Ended(fatal, alone(EndID(i+1), "a"))
		}
		So(b.Stage(fatal, "a"), ShouldEqual, Free)
	})
}

// A rack loses power, and the same popular page was being read at five of its
// instances. It has ended none of them.
func TestManyEndsAtOnceAreNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The page is kept back shortly, and isolated until it has been answered once", t, func() {
			b := newTestBook()
			for i := range 5 {
				b.Ended(fatal, end(EndID(i+1), "a"))
			}
			So(b.Stage(fatal, "a"), ShouldEqual, Quarantined)
			So(b.Left(fatal, "a"), ShouldEqual, settleTime)
			time.Sleep(settleTime)
			So(b.Stage(fatal, "a"), ShouldEqual, Isolated)
			So(b.Answered(fatal, "a"), ShouldBeTrue)
			So(b.Stage(fatal, "a"), ShouldEqual, Free)
			So(b.Answered(fatal, "a"), ShouldBeFalse)
			// Ends after that count anew.
			b.Ended(fatal, end(11, "a"))
			So(b.Stage(fatal, "a"), ShouldEqual, Suspect)
			b.Ended(fatal, end(12, "a"))
			b.Ended(fatal, alone(13, "a"))
			time.Sleep(settleTime)
			So(b.Stage(fatal, "a"), ShouldEqual, Quarantined)
		})
	})
}

// Callers of one service send what ends instances; those of another send the
// same. Which of them is the same sender at another VM, the service does not
// say: it is kept out for a minute, then runs isolated, and is answered or ends
// one more instance, the last.
func TestTheSameContentFromAnotherCaller(t *testing.T) {
	quarantined := func() *Book {
		b := newTestBook()
		b.Ended(fatal, end(1, "a"))
		b.Ended(fatal, end(2, "a"))
		b.Ended(fatal, alone(3, "a"))
		time.Sleep(settleTime)
		return b
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("Another caller's runs isolated after a minute, and free when it is answered; that clears nobody else's", t, func() {
			b := quarantined()
			So(b.Stage(fatal, "b"), ShouldEqual, Quarantined)
			So(b.Left(fatal, "b"), ShouldEqual, time.Minute-settleTime)
			So(b.Left(fatal, "a"), ShouldEqual, Term-settleTime)
			time.Sleep(time.Minute)
			So(b.Stage(fatal, "b"), ShouldEqual, Isolated)
			b.Answered(fatal, "b")
			So(b.Stage(fatal, "b"), ShouldEqual, Free)
			So(b.Stage(fatal, "a"), ShouldEqual, Quarantined)
			So(b.Stage(fatal, "c"), ShouldEqual, Isolated)
		})
		Convey("If it ends one more, nobody's runs", t, func() {
			b := quarantined()
			time.Sleep(time.Minute)
			b.Ended(fatal, alone(4, "b"))
			time.Sleep(Term)
			So(b.Stage(fatal, "b"), ShouldEqual, Quarantined)
			So(b.Stage(fatal, "c"), ShouldEqual, Quarantined)
		})
		Convey("Who has been answered before is not kept out", t, func() {
			b := newTestBook()
			b.Ended(fatal, end(1, "a"))
			b.Answered(fatal, "b")
			b.Ended(fatal, end(2, "a"))
			b.Ended(fatal, alone(3, "a"))
			So(b.Stage(fatal, "b"), ShouldEqual, Free)
			So(b.Stage(fatal, "a"), ShouldEqual, Quarantined)
		})
	})
}

// Three instances ended by themselves, and a harmless request was at two other
// ends and ran isolated at a third. One more end alone keeps it out; an answer
// lets it run free.
func TestOneProofIsTooFewWhereInstancesEndByThemselves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		restless := func(elsewhere int) *Book {
			b := newTestBook()
			for i := range elsewhere {
				b.Ended(Fingerprint(100+i), end(EndID(100+i), "a"))
			}
			b.Ended(fatal, end(1, "a"))
			b.Ended(fatal, end(2, "a"))
			b.Ended(fatal, alone(3, "a"))
			time.Sleep(settleTime)
			return b
		}
		Convey("Two elsewhere are few", t, func() {
			So(restless(2).Stage(fatal, "a"), ShouldEqual, Quarantined)
		})
		Convey("Three are not: it runs isolated again, and a second proof keeps it out", t, func() {
			b := restless(3)
			So(b.Stage(fatal, "a"), ShouldEqual, Isolated)
			b.Ended(fatal, alone(4, "a"))
			time.Sleep(settleTime)
			So(b.Stage(fatal, "a"), ShouldEqual, Quarantined)
		})
		Convey("Or is answered, and runs free", t, func() {
			b := restless(3)
			b.Answered(fatal, "a")
			So(b.Stage(fatal, "a"), ShouldEqual, Free)
		})
		Convey("Ends under a request that is known to end instances do not count", t, func() {
			b := restless(3)
			for i := range 3 {
				b.Ended(9, alone(EndID(100+i), "a"))
			}
			So(b.Stage(fatal, "a"), ShouldEqual, Quarantined)
		})
	})
}

// A harmless request came where two instances ended, and ran isolated where a
// third did: what ended that one had just begun there, and nobody knew it. When
// that has ended another instance alone, the harmless one runs again.
func TestAnEndIsAnothersDoing(t *testing.T) {
	const harmless = Fingerprint(8)
	synctest.Test(t, func(t *testing.T) {
		beside := func() *Book {
			b := newTestBook()
			b.Ended(harmless, end(1, "a"))
			b.Ended(harmless, end(2, "a"))
			b.Ended(harmless, alone(3, "a"))
			b.Ended(fatal, end(3, "a"))
			time.Sleep(settleTime)
			return b
		}
		Convey("It runs isolated as soon as the other one is known, and that one does not", t, func() {
			b := beside()
			So(b.Stage(harmless, "a"), ShouldEqual, Quarantined)
			b.Ended(fatal, end(4, "a"))
			b.Ended(fatal, alone(5, "a"))
			time.Sleep(settleTime)
			So(b.Stage(harmless, "a"), ShouldEqual, Isolated)
			So(b.Stage(fatal, "a"), ShouldEqual, Quarantined)
		})
		Convey("Not if the other one has run to an answer since", t, func() {
			b := beside()
			b.Ended(fatal, alone(5, "a"))
			b.Answered(fatal, "a")
			So(b.Stage(harmless, "a"), ShouldEqual, Quarantined)
		})
	})
}

// Whoever sends it may have mended it, or the service may have been.
func TestAQuarantineHasATerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("It runs isolated after its term, and one more end doubles that", t, func() {
			b := newTestBook()
			b.Ended(fatal, end(1, "a"))
			b.Ended(fatal, end(2, "a"))
			b.Ended(fatal, alone(3, "a"))
			time.Sleep(Term - time.Second)
			So(b.Stage(fatal, "a"), ShouldEqual, Quarantined)
			time.Sleep(2 * time.Second)
			So(b.Stage(fatal, "a"), ShouldEqual, Isolated)
			b.Ended(fatal, alone(4, "a"))
			time.Sleep(2*Term - time.Second)
			So(b.Stage(fatal, "a"), ShouldEqual, Quarantined)
			time.Sleep(2 * time.Second)
			So(b.Stage(fatal, "a"), ShouldEqual, Isolated)
			time.Sleep(forgetAfter)
			b.Ended(1, end(5, "a"))
			So(b.Stage(fatal, "a"), ShouldEqual, Free)
			So(len(b.records), ShouldEqual, 1)
		})
	})
}

// Two nodes tell each other the same again and again. That must not keep it
// alive.
func TestWhatIsToldAgainAndAgainIsForgottenInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Nobody holds it when its time is over", t, func() {
			a, b := newTestBook(), newTestBook()
			a.Ended(fatal, end(1, "a"))
			for range 60 {
				b.Learn(a.Since(Cursor{}))
				a.Learn(b.Since(Cursor{}))
				time.Sleep(forgetAfter / 50)
			}
			a.sweep()
			b.sweep()
			So(len(a.records)+len(b.records), ShouldEqual, 0)
		})
	})
}

// Hundreds of instances end over the day, each with what was in progress.
func TestABookIsBounded(t *testing.T) {
	Convey("What is quarantined stays when there is too much", t, func() {
		b := newTestBook()
		for i := range 3 {
			b.Ended(fatal, alone(EndID(i+1), "a"))
		}
		for i := range 2 * mostRecords {
			b.Ended(Fingerprint(100+i), end(EndID(100+i), "a"))
		}
		So(len(b.records), ShouldBeLessThanOrEqualTo, mostRecords)
		So(b.Stage(fatal, "a"), ShouldEqual, Quarantined)
	})
	Convey("Of one request, what counts stays", t, func() {
		b := newTestBook()
		for i := range 3 * mostEnds {
			b.Ended(fatal, end(EndID(i+1), "a"))
			b.Answered(fatal, "a")
		}
		for i := range 3 {
			b.Ended(fatal, alone(EndID(1000+i), "a"))
		}
		So(len(b.records[fatal].Ends), ShouldBeLessThanOrEqualTo, mostEnds)
		So(b.Stage(fatal, "a"), ShouldEqual, Quarantined)
	})
}

// An isolated request is to be the only suspect at its instance, so that an end
// says which it was.
func TestAnIsolatedRequestRunsBesideNoSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Suspects run beside each other, and wait for an isolated one as it does for them", t, func() {
			l := NewLane()
			enter := func(s Stage) (leave func(), waited time.Duration, ok bool) {
				began := time.Now()
				leave, ok = l.Enter(t.Context(), s, time.Second)
				return leave, time.Since(began), ok
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
			leave, waited, ok := enter(Isolated)
			So(ok, ShouldBeTrue)
			So(waited, ShouldEqual, time.Second/2)
			_, _, ok = enter(Suspect)
			So(ok, ShouldBeFalse)
			_, _, ok = enter(Isolated)
			So(ok, ShouldBeFalse)
			_, waited, ok = enter(Free)
			So(ok, ShouldBeTrue)
			So(waited, ShouldEqual, 0)
			leave()
			_, _, ok = enter(Suspect)
			So(ok, ShouldBeTrue)
		})
	})
}

func TestAHomeIsTheSameForAll(t *testing.T) {
	Convey("Whatever the order; and only what lived at a lost place moves", t, func() {
		self := func(s string) string { return s }
		moved := 0
		for f := range Fingerprint(300) {
			home := Home(f, []string{"a", "b", "c"}, self)
			So(Home(f, []string{"c", "a", "b"}, self), ShouldResemble, home)
			rest := Home(f, []string{"b", "c"}, self)
			if home[0] == "a" {
				moved++
			} else {
				So(rest, ShouldResemble, home)
			}
		}
		So(moved, ShouldBeBetween, 60, 140)
		So(Home(1, nil, self), ShouldBeEmpty)
	})
}
