package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/modeltest"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// runModel is one instance that restarts under its ID, and a node that lists its
// runs late or never. It knows which run gave each answer.
type runModel struct {
	d       *Directory
	rev     Revision
	starts  []UnixMilli // of the runs, in order
	leaving []bool      // the run stated that it leaves
	listed  int         // index of the listed run
}

// startRun starts another run, which is not listed yet.
func (m *runModel) startRun() {
	time.Sleep(5 * time.Millisecond)
	m.starts, m.leaving = append(m.starts, UnixMilli(time.Now().UnixMilli())), append(m.leaving, false)
	time.Sleep(5 * time.Millisecond)
}

// list writes the entry of a run.
func (m *runModel) list(run int) {
	m.rev++
	in := testInstance("a", m.rev)
	in.Started = m.starts[run]
	m.d.Apply([]Change{{Instance: &in}}, m.rev)
	m.listed = max(m.listed, run)
}

// stateLeaving lets a run state that it leaves, on a connection opened some time
// after its start and before the start of the next run.
func (m *runModel) stateLeaving(run int, after time.Duration) {
	at := min(m.starts[run]+UnixMilli(after.Milliseconds()), UnixMilli(time.Now().UnixMilli()))
	if run+1 < len(m.starts) {
		at = min(at, m.starts[run+1]-1)
	}
	m.leaving[run] = true
	m.d.MarkLeaving(Sighting{ID: "a", At: at})
}

// left reports whether the listed run, or one after it, has stated that it leaves.
func (m *runModel) left() bool {
	for _, leaving := range m.leaving[m.listed:] {
		if leaving {
			return true
		}
	}
	return false
}

// Guards against what a run states being taken for the word of the run before or
// after it, whenever the runs are listed and in whatever order answers arrive.
func TestStatementsAreOfTheRunThatAnswered(t *testing.T) {
	routes := testRoutes(t, 1)
	modeltest.Check(t, func(t *rapid.T) {
		m := &runModel{d: New(DefaultConfig(discardLog)), rev: 1}
		m.d.Replace(Snapshot{Revision: 1, Routes: routes})
		m.startRun()
		m.list(0)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			run := rapid.IntRange(0, len(m.starts)-1).Draw(t, "run")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				m.startRun()
			case 1:
				m.list(run)
			default:
				m.stateLeaving(run, time.Duration(rapid.IntRange(0, 20).Draw(t, "after_ms"))*time.Millisecond)
			}
			in, ok := m.d.View().Find("a")
			if !ok || in.Leaving != m.left() {
				t.Fatalf("run %d of %d is in use as leaving: %v, stated by run: %v", m.listed, len(m.starts), in.Leaving, m.leaving)
			}
		}
	})
}

// Guards against a run that gets no requests for good because it seems to have
// started before the one that left: the clock of its VM was set back in between.
func TestRunTakenForTheOneThatLeftIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("It counts as leaving for a limited time, the run that was listed for good", t, func() {
			for _, c := range []struct {
				name   string
				listed bool // when it was stated
			}{{"listed then", true}, {"listed later", false}} {
				Convey(c.name, func() {
					d := New(DefaultConfig(discardLog))
					d.Replace(Snapshot{Revision: 1, Routes: testRoutes(t, 1)})
					in := testInstance("a", 2)
					in.Started = UnixMilli(time.Now().UnixMilli())
					if c.listed {
						d.Apply([]Change{{Instance: &in}}, 2)
					}
					d.MarkLeaving(Sighting{ID: "a", At: in.Started + 20})
					in.Revision = 3
					d.Apply([]Change{{Instance: &in}}, 3)
					leaving := func() bool {
						d.ExpireUnlisted()
						used, _ := d.View().Find("a")
						return used.Leaving
					}
					So(leaving(), ShouldBeTrue)
					time.Sleep(unlistedLeavingTTL - time.Millisecond)
					So(leaving(), ShouldBeTrue)
					time.Sleep(time.Millisecond)
					So(leaving(), ShouldEqual, c.listed)
				})
			}
		})
	})
}
