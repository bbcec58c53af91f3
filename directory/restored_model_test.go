package directory

import (
	"maps"
	"testing"
	"time"

	"github.com/oatpin/oatpin/modeltest"
	"pgregory.net/rapid"
)

type (
	// restoreModel is a source that is restored from backups, its instances, and
	// a node that loads it. It records what the node has been told.
	restoreModel struct {
		d       *Directory
		rev     Revision
		entries map[InstanceID]Instance
		backup  map[InstanceID]Instance
		backed  uint64 // counter of the backup
		told    map[InstanceID]told
	}

	// told is the latest that a node was told of an instance by an entry written
	// by the instance itself.
	told struct {
		out        bool // it is leaving, or its entry was removed
		rev        Revision
		contraryAt time.Time // when a restored source first listed it as ready all the same; zero for never
	}
)

// inForce reports whether the instance is out and the node has to keep to that.
func (x told) inForce() bool {
	return x.out && (x.contraryAt.IsZero() || time.Since(x.contraryAt) < relistedGrace)
}

func (m *restoreModel) next() Revision {
	m.rev++
	return m.rev
}

// write puts an entry, as its instance does.
func (m *restoreModel) write(id InstanceID, leaving bool) {
	in := testInstance(id, m.next())
	in.Leaving = leaving
	m.entries[id] = in
}

func (m *restoreModel) remove(id InstanceID) {
	delete(m.entries, id)
	m.rev++
}

func (m *restoreModel) takeBackup() { m.backup, m.backed = maps.Clone(m.entries), m.rev.Counter() }

func (m *restoreModel) restore() {
	m.rev = testRevision(m.rev.Era()+1, m.backed)
	m.entries = map[InstanceID]Instance{}
	for id, in := range m.backup {
		in.Revision = testRevision(m.rev.Era(), in.Revision.Counter())
		m.entries[id] = in
	}
}

// load makes the node load everything and records what it was told.
func (m *restoreModel) load() {
	s := Snapshot{Revision: m.rev}
	for _, in := range m.entries {
		s.Instances = append(s.Instances, in)
	}
	for _, id := range []InstanceID{"a", "b", "c"} {
		m.recordTold(id)
	}
	m.d.Replace(s)
}

func (m *restoreModel) recordTold(id InstanceID) {
	old, known := m.told[id]
	old.out = old.inForce()
	in, listed := m.entries[id]
	switch {
	case !listed && known:
		m.told[id] = told{out: true, rev: m.rev}
	case !listed, known && in.Revision == old.rev:
	case known && old.out && !in.Leaving && in.Revision.Era() > old.rev.Era():
		m.told[id] = told{out: true, rev: in.Revision, contraryAt: time.Now()}
	default:
		m.told[id] = told{out: in.Leaving, rev: in.Revision}
	}
}

// check fails if an instance is used that the node was told not to use and that
// has not written its entry again, or if one is not used that has.
func (m *restoreModel) check(t *rapid.T) {
	for id, x := range m.told {
		in, listed := m.d.View().Find(id)
		used := listed && !in.Leaving && !in.Unconfirmed
		if used == x.inForce() {
			t.Fatalf("%s: used %t, but told %+v at %v", id, used, x, m.d.Revision())
		}
	}
}

// Guards against instances that a restored source brings back although the node
// was told that they leave or are gone, and against live ones that stay out.
func TestRestoresDoNotReviveInstances(t *testing.T) {
	modeltest.Check(t, func(t *rapid.T) {
		m := &restoreModel{d: New(Config{Log: discardLog}), rev: 1, entries: map[InstanceID]Instance{}, told: map[InstanceID]told{}}
		id := rapid.SampledFrom([]InstanceID{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"ready":   func(t *rapid.T) { m.write(id.Draw(t, "id"), false) },
			"leave":   func(t *rapid.T) { m.write(id.Draw(t, "id"), true) },
			"remove":  func(t *rapid.T) { m.remove(id.Draw(t, "id")) },
			"backup":  func(*rapid.T) { m.takeBackup() },
			"restore": func(*rapid.T) { m.restore() },
			"load":    func(*rapid.T) { m.load() },
			"wait": func(t *rapid.T) {
				time.Sleep(time.Duration(rapid.IntRange(1, 70).Draw(t, "tenths")) * 100 * time.Millisecond)
				m.d.ExpireUnlisted()
			},
			"": m.check,
		})
	})
}
