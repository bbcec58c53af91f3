package directory

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A node that asks each second gets what changed and no more: a whole list at
// each change would be 100 KB to each of a thousand nodes.
func TestADeltaHasWhatChangedAndNoMore(t *testing.T) {
	Convey("From a revision on", t, func() {
		d := New(Usual(quiet))
		d.Replace(Snapshot{Revision: 9, Routes: routesOf(t, 3), Instances: []Instance{instance("a", 3), instance("b", 4), instance("c", 5)}})
		b := instance("b", 11)
		d.Apply([]Change{{Instance: &b}, {Gone: "c", GoneAt: 12}}, 12)
		x := d.Since(10)
		So(x.Routes, ShouldBeNil)
		So(x.Instances, ShouldHaveLength, 1)
		So(x.Instances[0].ID, ShouldEqual, InstanceID("b"))
		So(x.Gone, ShouldResemble, []Removal{{ID: "c", At: 12}})
		Convey("Nothing for one that knows more", func() {
			x := d.Since(13)
			So(x.Instances, ShouldBeEmpty)
			So(x.Gone, ShouldBeEmpty)
		})
		Convey("The routes for one that lacks them, everything for one that knows nothing", func() {
			So(d.Since(8).Routes, ShouldNotBeNil)
			So(d.Since(0).Instances, ShouldHaveLength, 2)
		})
		Convey("Everything for one that lacks more removals than are kept", func() {
			for i := range goneKept + 2 {
				d.Apply([]Change{{Gone: InstanceID(fmt.Sprint("x", i)), GoneAt: Revision(20 + i)}}, Revision(20+i))
			}
			So(d.Since(12).After, ShouldEqual, 0)
			So(d.Since(100).After, ShouldEqual, 100)
		})
	})
}

// A delta that begins beyond what a node knows would leave a hole in its list
// that nothing fills: it would say that it knows everything up to there.
func TestADeltaThatLeavesAGapIsNotTakenOver(t *testing.T) {
	Convey("It changes nothing", t, func() {
		d := New(Usual(quiet))
		d.Replace(Snapshot{Revision: 5, Instances: []Instance{instance("a", 3)}})
		x := Delta{After: 7, Snapshot: Snapshot{Revision: 9, Instances: []Instance{instance("b", 9)}}}
		So(d.Learn(x), ShouldBeFalse)
		So(d.Revision(), ShouldEqual, 5)
		So(d.View().All(), ShouldHaveLength, 1)
	})
}

// The store is away for all readers, drops every instance that could not
// report, and comes back. A node that learns from them must hold the missing
// entries as the readers do, and know that its own instance may have lapsed.
func TestWhoLearnsFromOthersKnowsOfAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Usual(quiet))
		tell := func(age time.Duration, s Snapshot) { d.Learn(Delta{Snapshot: s, Age: age}) }
		tell(0, Snapshot{Revision: 2, Instances: []Instance{instance("a", 1), instance("b", 2)}})
		Convey("It takes the source for away after a while", t, func() {
			So(d.SourceAway(), ShouldBeFalse)
			for age := range 6 {
				time.Sleep(time.Second)
				tell(time.Duration(age+1)*time.Second, Snapshot{Revision: 2})
			}
			So(d.SourceAway(), ShouldBeTrue)
			So(d.SourceLost(), ShouldEqual, time.Now())
			Convey("And keeps what is missing afterwards as doubtful", func() {
				tell(0, Snapshot{Revision: 4})
				So(d.SourceAway(), ShouldBeFalse)
				time.Sleep(2 * time.Second)
				d.Settle()
				So(d.View().Instances("archiv"), ShouldHaveLength, 2)
				So(d.View().Instances("archiv")[0].Doubtful, ShouldBeTrue)
			})
		})
	})
}

// A reader's own calls fail while another node goes on telling it what the
// store tells that one. Nothing is away then.
func TestAReaderThatIsTurnedAwayGoesByWhatOthersTell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Usual(quiet))
		d.Back()
		d.Replace(Snapshot{Revision: 2})
		Convey("Away until told", t, func() {
			d.Away(time.Now(), errors.New("turned away"))
			So(d.SourceAway(), ShouldBeTrue)
			time.Sleep(300 * time.Millisecond)
			d.Learn(Delta{After: 2, Snapshot: Snapshot{Revision: 2}})
			So(d.SourceAway(), ShouldBeFalse)
			So(d.Age(), ShouldEqual, 0)
			time.Sleep(staleAfter + time.Millisecond)
			So(d.SourceAway(), ShouldBeTrue)
		})
	})
}

// A question that waits is answered in the moment something is known.
func TestAwaitAnswersWithTheFirstChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Usual(quiet))
		d.Replace(Snapshot{Revision: 2})
		go func() {
			time.Sleep(200 * time.Millisecond)
			in := instance("a", 3)
			d.Apply([]Change{{Instance: &in}}, 3)
		}()
		began := time.Now()
		x := d.Await(context.Background(), 2, time.Second)
		Convey("Or when its time is up", t, func() {
			So(time.Since(began), ShouldEqual, 200*time.Millisecond)
			So(x.Instances, ShouldHaveLength, 1)
			began := time.Now()
			So(d.Await(context.Background(), 3, time.Second).Instances, ShouldBeEmpty)
			So(time.Since(began), ShouldEqual, time.Second)
		})
	})
}

// A reader starts, and reads everything after an instance was removed, so it
// never knew that one. A node that still lists it asks the reader for what it
// lacks: without the removal it would send requests to the address for ever.
func TestWhoReadEverythingTellsOfRemovalsThatItNeverSaw(t *testing.T) {
	Convey("By telling everything", t, func() {
		behind := New(Usual(quiet))
		leaving := instance("a", 3)
		leaving.Leaving = true
		behind.Replace(Snapshot{Revision: 5, Instances: []Instance{leaving, instance("b", 4)}})
		reader := New(Usual(quiet))
		reader.Replace(Snapshot{Revision: 9, Instances: []Instance{instance("b", 4)}})
		So(behind.Learn(reader.Since(5)), ShouldBeTrue)
		_, listed := behind.View().Find("a")
		So(listed, ShouldBeFalse)
		So(reader.Since(9).After, ShouldEqual, 9)
	})
}
