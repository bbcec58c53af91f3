package directory

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// testRevision returns a revision that is known to be in range.
func testRevision(era Era, counter uint64) Revision {
	r, err := NewRevision(era, counter)
	if err != nil {
		panic(err)
	}
	return r
}

// Guards against revisions of a restored source that compare as older than the
// ones before it, and against counters that spill into the era.
func TestRevisionsOrderByEra(t *testing.T) {
	Convey("A later era is higher, whatever the counters", t, func() {
		So(testRevision(2, 1), ShouldBeGreaterThan, testRevision(1, 1<<counterBits-1))
		So(testRevision(1, 9), ShouldBeGreaterThan, testRevision(1, 8))
		So(testRevision(0, 7), ShouldEqual, Revision(7))
		r := testRevision(3, 60)
		So(r.Era(), ShouldEqual, Era(3))
		So(r.Counter(), ShouldEqual, 60)
		b, err := json.Marshal(r)
		So(err, ShouldBeNil)
		So(string(b), ShouldEqual, `"3/60"`)
	})
	Convey("An era or counter out of range is an error", t, func() {
		_, err := NewRevision(1<<20, 1)
		So(errors.Is(err, ErrRevisionRange), ShouldBeTrue)
		_, err = NewRevision(1, 1<<counterBits)
		So(errors.Is(err, ErrRevisionRange), ShouldBeTrue)
	})
}

// Guards against a watch that takes the counter of a lost revision for the one
// that the restored source assigned again, and so skips what came before it.
func TestWatchAnsweredInLaterEraTriggersLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &fakeSource{snap: Snapshot{Revision: testRevision(1, 9), Routes: testRoutes(t, 1)}}
		src.watch = func(context.Context, Revision, time.Duration) ([]Change, Revision, error) {
			return nil, testRevision(2, 12), nil
		}
		d := New(DefaultConfig(discardLog))
		r := d.NewReader(src, nil)
		Convey("Everything is loaded and watched in the later era", t, func() {
			So(r.Step(t.Context()), ShouldBeNil)
			src.set(Snapshot{Revision: testRevision(2, 10), Routes: testRoutes(t, 2), Instances: []Instance{testInstance("a", testRevision(2, 4))}}, nil)
			So(r.Step(t.Context()), ShouldBeNil)
			So(d.Revision(), ShouldEqual, testRevision(1, 9))
			So(r.Step(t.Context()), ShouldBeNil)
			So(d.Revision(), ShouldEqual, testRevision(2, 10))
			So(d.View().Routes.Version, ShouldEqual, 2)
			So(d.View().All(), ShouldHaveLength, 1)
			So(r.Step(t.Context()), ShouldBeNil)
			So(d.Revision(), ShouldEqual, testRevision(2, 12))
			So(r.Counts().Loads, ShouldEqual, 2)
		})
	})
}

// Guards against a late response, or a replica that was not restored, that
// replaces the state of a later era.
func TestResponsesOfEarlierEraAreErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &fakeSource{snap: Snapshot{Revision: testRevision(2, 5), Instances: []Instance{testInstance("a", testRevision(2, 5))}}}
		d := New(DefaultConfig(discardLog))
		r := d.NewReader(src, nil)
		Convey("They change nothing", t, func() {
			So(r.Step(t.Context()), ShouldBeNil)
			src.watch = func(context.Context, Revision, time.Duration) ([]Change, Revision, error) {
				return []Change{{Removed: "a", RemovedAt: testRevision(1, 90)}}, testRevision(1, 90), nil
			}
			So(errors.Is(r.Step(t.Context()), ErrEarlierEra), ShouldBeTrue)
			r.reload = true
			src.set(Snapshot{Revision: testRevision(1, 90)}, nil)
			So(errors.Is(r.Step(t.Context()), ErrEarlierEra), ShouldBeTrue)
			So(d.Revision(), ShouldEqual, testRevision(2, 5))
			So(d.View().All(), ShouldHaveLength, 1)
		})
	})
}

// Guards against followers that keep the state of an earlier era because their
// revision has the higher counter.
func TestFollowerTakesWholeStateOfLaterEra(t *testing.T) {
	Convey("A delta across a restore is complete", t, func() {
		follower, reader := New(DefaultConfig(discardLog)), New(DefaultConfig(discardLog))
		old := Snapshot{Revision: testRevision(1, 90), Routes: testRoutes(t, 3), Instances: []Instance{testInstance("a", testRevision(1, 4))}}
		follower.Replace(old)
		reader.Replace(old)
		leaving := testInstance("a", testRevision(2, 23))
		leaving.Leaving = true
		reader.Replace(Snapshot{Revision: testRevision(2, 23), Routes: testRoutes(t, 4), Instances: []Instance{leaving}})
		x := reader.Since(follower.Position())
		So(x.After, ShouldEqual, 0)
		So(follower.ApplyDelta(x), ShouldBeTrue)
		So(follower.View().Routes.Version, ShouldEqual, 4)
		So(follower.View().Instances("archiv")[0].Leaving, ShouldBeTrue)
		Convey("And one of the earlier era changes nothing", func() {
			So(follower.ApplyDelta(Delta{Snapshot: Snapshot{Revision: testRevision(1, 95)}}), ShouldBeFalse)
			So(follower.View().All(), ShouldHaveLength, 1)
		})
	})
}
