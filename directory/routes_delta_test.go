package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/callgraph"
	. "github.com/smartystreets/goconvey/convey"
)

// poll makes a node ask another one for what it does not know.
func poll(to, from *Directory) {
	b, err := Encode(from.Since(to.Position()))
	So(err, ShouldBeNil)
	x, err := Decode(b)
	So(err, ShouldBeNil)
	to.ApplyDelta(x)
}

// holding returns a node that has loaded a version of the routes at a revision.
func holding(t *testing.T, v callgraph.Version, at Revision) *Directory {
	d := New(DefaultConfig(discardLog))
	d.Replace(Snapshot{Revision: at, Routes: testRoutes(t, v)})
	return d
}

func write(t *testing.T, d *Directory, v callgraph.Version, at Revision) {
	d.Apply([]Change{{Routes: testRoutes(t, v)}}, at)
}

// Guards against a follower that skips a version written between a reader's reads
// of the instances and of the routes.
func TestVersionWrittenDuringLoadReachesFollowers(t *testing.T) {
	Convey("The follower is at the revision of the reader's list", t, func() {
		follower, reader := holding(t, 3, 21), holding(t, 4, 21)
		write(t, reader, 4, 22)
		poll(follower, reader)
		So(follower.Revision(), ShouldEqual, 22)
		So(follower.View().Routes.Version, ShouldEqual, 4)
	})
}

// Guards against a restarted node that keeps the version of a backup after the
// operator wrote the newer one, which its readers have held all the time, again.
func TestVersionWrittenAgainAfterRestoreReachesFollowers(t *testing.T) {
	Convey("The reader holds the version from before the restore", t, func() {
		reader := holding(t, 5, testRevision(1, 30))
		reader.Replace(Snapshot{Revision: testRevision(2, 20), Routes: testRoutes(t, 4)})
		restarted := holding(t, 4, testRevision(2, 20))
		write(t, reader, 5, testRevision(2, 24))
		poll(restarted, reader)
		So(restarted.Revision(), ShouldEqual, testRevision(2, 24))
		So(restarted.View().Routes.Version, ShouldEqual, 5)
	})
}

// Guards against a follower that keeps an older version because its revision is
// not lower than that of the node that it asks.
func TestNewerVersionIsTakenAtAnyRevision(t *testing.T) {
	for _, at := range []Revision{20, 21, 22} {
		Convey("The follower is at revision "+at.String()+", the node asked at 0/21", t, func() {
			follower := holding(t, 3, at)
			poll(follower, holding(t, 4, 21))
			So(follower.View().Routes.Version, ShouldEqual, 4)
			Convey("And keeps it when one with an older version answers", func() {
				poll(follower, holding(t, 3, 23))
				So(follower.View().Routes.Version, ShouldEqual, 4)
				So(follower.Revision(), ShouldEqual, 23)
			})
		})
	}
}

// A node of the former version tells a reader of a revision without the routes that
// it covers. Guards against a reader whose watch begins after them.
func TestReaderWatchesForRoutesThatFormerNodeOmits(t *testing.T) {
	Convey("The reader has been told of revision 30 by a node that states no version", t, func() {
		d := holding(t, 3, 21)
		So(d.ApplyDelta(Delta{After: 21, Snapshot: Snapshot{Revision: 30}}), ShouldBeTrue)
		So(d.Revision(), ShouldEqual, 30)
		So(d.resumeRevision(), ShouldEqual, 21)
		Convey("It does not state a version to others, which would rely on it", func() {
			So(d.Since(Position{Revision: 21, Routes: 3}).RoutesVersion, ShouldEqual, 0)
		})
		Convey("What it watches covers the routes", func() {
			write(t, d, 4, 31)
			So(d.resumeRevision(), ShouldEqual, 31)
			So(d.Since(Position{Revision: 21, Routes: 3}).RoutesVersion, ShouldEqual, 4)
		})
		Convey("So does a node that states its version", func() {
			poll(d, holding(t, 4, 32))
			So(d.resumeRevision(), ShouldEqual, 32)
		})
	})
}

// Guards against nodes of the former version, which do not state theirs, that ask
// without pause or are not given the routes.
func TestAwaitWithoutVersionWaitsForRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := holding(t, 4, 21)
		Convey("The answer comes after the wait and contains the routes", t, func() {
			began := time.Now()
			x := d.Await(t.Context(), Position{Revision: 21}, time.Second)
			So(time.Since(began), ShouldEqual, time.Second)
			So(x.Routes, ShouldNotBeNil)
			Convey("A stated version that is older ends it at once", func() {
				began := time.Now()
				So(d.Await(t.Context(), Position{Revision: 21, Routes: 3}, time.Second).Routes, ShouldNotBeNil)
				So(time.Since(began), ShouldEqual, 0)
			})
		})
	})
}
