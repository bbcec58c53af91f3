package replication

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/modeltest"
	"pgregory.net/rapid"
)

const (
	checkInterval = 100 * time.Millisecond
	// maxLagOneFault is how long a node may be behind while one other node is
	// faulty.
	maxLagOneFault = 3 * time.Second
	// maxLagAfterRepair is how long a node may be behind after all faults have
	// ended: a pending call to the store plus the longest backoff.
	maxLagAfterRepair = sourceTimeout + maxPeerBackoff + 2*pollWait
)

// model is a fleet with injected faults. The history of the store is the
// oracle.
type model struct {
	*fleet
	t             *rapid.T
	known         map[*node]directory.Position // highest seen since the node's start
	faultsChanged time.Time                    // time of the latest change
	delayed       []delayedDelta
}

// delayedDelta is a delta that is delivered out of order to the run of a node that asked
// for it. One that has ended gets no answer, nor does the next.
type delayedDelta struct {
	node  *node
	asked *directory.Directory // of that run
	delta directory.Delta
	at    time.Time
}

func (m *model) node(t *rapid.T) *node { return rapid.SampledFrom(m.order).Draw(t, "node") }

func (m *model) changeFaults(f func()) {
	f()
	m.faultsChanged = time.Now()
}

// sendDelta makes a node poll any other, as it does when an answer shows it a
// newer revision. The reply may arrive late and twice.
func (m *model) sendDelta(t *rapid.T) {
	to, from := m.node(t), m.node(t)
	if !from.alive || !from.dir.HasSnapshot() {
		return
	}
	x := asFormer(from.dir.Since(to.dir.Position()), to, from, to.dir.Revision())
	for range rapid.IntRange(1, 2).Draw(t, "times") {
		after := time.Duration(rapid.IntRange(0, 50).Draw(t, "late")) * checkInterval
		m.delayed = append(m.delayed, delayedDelta{to, to.dir, x, time.Now().Add(after)})
	}
}

func (m *model) run(d time.Duration) {
	for range d / checkInterval {
		time.Sleep(checkInterval)
		kept := m.delayed[:0]
		for _, l := range m.delayed {
			if time.Now().Before(l.at) {
				kept = append(kept, l)
			} else if l.node.alive && l.node.dir == l.asked {
				l.asked.ApplyDelta(l.delta)
			}
		}
		m.delayed = kept
		m.check()
	}
}

// check fails if the revision or the version of a node decreased, its list differs
// from what the store listed at that revision, or its version is older. A node that
// has been told by one of the former version may have an older one for a while.
func (m *model) check() {
	for _, n := range m.order {
		if !n.alive || !n.dir.HasSnapshot() {
			continue
		}
		p, known := n.dir.Position(), m.known[n]
		if p.Revision < known.Revision || p.Routes < known.Routes {
			m.t.Fatalf("%s: decreased from %+v to %+v", n.addr, known, p)
		}
		m.known[n] = p
		if d := n.diff(); d != "" {
			m.t.Fatal(d)
		}
		if d := n.routesDiff(); d != "" && !m.hasFormer() {
			m.t.Fatal(d)
		}
	}
}

func (m *model) faultyNodes() int {
	count := 0
	for _, n := range m.order {
		if !n.alive || n.link.storeUnreachable.Load() || n.link.storeRejects.Load() || n.link.isolated.Load() {
			count++
		}
	}
	return count
}

// expectCaughtUp writes a change and a version, and fails if a running, reachable
// node does not have them after limit.
func (m *model) expectCaughtUp(limit time.Duration) {
	m.store.put(m.order[0].in)
	m.store.writeRoutes()
	rev := m.store.revision()
	m.run(limit)
	for _, n := range m.order {
		if n.alive && !n.link.isolated.Load() && n.dir.Revision() < rev {
			m.t.Fatalf("%s: at revision %d, want %d after %v; %d nodes faulty", n.addr, n.dir.Revision(), rev, limit, m.faultyNodes())
		}
	}
	m.expectNewestRoutes()
}

// expectNewestRoutes fails if a running, reachable node does not have the newest
// version that the operator wrote. Nodes of the former version may lack it.
func (m *model) expectNewestRoutes() {
	for _, n := range m.order {
		if n.alive && !n.former && !n.link.isolated.Load() && n.version() < m.store.written {
			m.t.Fatalf("%s: has version %d, want %d; reader %t, position %+v", n.addr, n.version(), m.store.written, n.IsReader(), n.dir.Position())
		}
	}
}

func (m *model) hasFormer() bool {
	return slices.ContainsFunc(m.order, func(n *node) bool { return n.former })
}

// Guards against nodes that list what the store did not list at their revision,
// whose revision or version decreases or that stay behind, under crashes, restarts,
// partitions, rejected calls, slow loads, lost histories, restores, changes of
// instances and routes, and late or duplicate deltas.
func TestNodesMatchStoreHistory(t *testing.T) {
	checkModel(t, func(*rapid.T, *node) bool { return false })
}

// Guards against nodes that stay behind beside nodes of the former version.
func TestNodesCatchUpBesideFormerVersion(t *testing.T) {
	checkModel(t, func(t *rapid.T, _ *node) bool { return rapid.Bool().Draw(t, "former") })
}

func checkModel(t *testing.T, former func(*rapid.T, *node) bool) {
	modeltest.Check(t, func(t *rapid.T) {
		m := &model{fleet: newFleet(12, 3), t: t, known: map[*node]directory.Position{}, faultsChanged: time.Now()}
		for _, n := range m.order {
			n.former = former(t, n)
		}
		m.run(5 * time.Second)
		toggle := func(t *rapid.T, f func(*node)) { m.changeFaults(func() { f(m.node(t)) }) }
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) { m.store.put(m.node(t).in) },
			"write":  func(*rapid.T) { m.store.writeRoutes() },
			"remove": func(t *rapid.T) { m.store.remove(m.node(t).in.ID) },
			// The store loses its latest changes; some are written again.
			"restore": func(t *rapid.T) {
				m.changeFaults(func() { m.store.restore(rapid.IntRange(0, 8).Draw(t, "lost")) })
				for range rapid.IntRange(0, 8).Draw(t, "rewritten") {
					m.store.put(m.node(t).in)
				}
				if rapid.Bool().Draw(t, "routes rewritten") {
					m.store.rewriteRoutes()
				}
			},
			"rewrite": func(*rapid.T) { m.store.rewriteRoutes() },
			"forget":  func(t *rapid.T) { m.store.forget(m.node(t).in) },
			"load slowly": func(t *rapid.T) {
				m.store.setLoadGap(time.Duration(rapid.IntRange(0, 15).Draw(t, "gap")) * checkInterval)
			},
			"kill": func(t *rapid.T) {
				toggle(t, func(n *node) {
					if n.alive {
						n.kill()
					}
				})
			},
			"start": func(t *rapid.T) {
				toggle(t, func(n *node) {
					if !n.alive {
						delete(m.known, n)
						n.start()
					}
				})
			},
			"silent": func(t *rapid.T) {
				toggle(t, func(n *node) { n.link.storeUnreachable.Store(!n.link.storeUnreachable.Load()) })
			},
			"turned": func(t *rapid.T) { toggle(t, func(n *node) { n.link.storeRejects.Store(!n.link.storeRejects.Load()) }) },
			"cut":    func(t *rapid.T) { toggle(t, func(n *node) { n.link.isolated.Store(!n.link.isolated.Load()) }) },
			"hear":   m.sendDelta,
			"mend": func(*rapid.T) {
				m.repair()
				m.run(maxLagAfterRepair)
				m.expectNewestRoutes()
				m.expectCaughtUp(maxLagOneFault)
			},
			"": func(t *rapid.T) {
				m.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * checkInterval)
			},
		})
		m.repair()
		m.run(maxLagAfterRepair)
		m.expectNewestRoutes()
		// With one faulty node all others must stay current.
		faulty := m.node(t)
		rapid.SampledFrom([]func(){
			func() { faulty.link.storeUnreachable.Store(true) }, func() { faulty.link.storeRejects.Store(true) },
			func() { faulty.link.isolated.Store(true) }, faulty.kill,
		}).Draw(t, "fault")()
		m.run(time.Duration(rapid.IntRange(0, 40).Draw(t, "ticks")) * checkInterval)
		m.expectCaughtUp(maxLagOneFault)
		m.repair()
		m.close()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// repair ends all faults and restarts killed nodes. The operator writes its newest
// version again if the store has lost it.
func (m *model) repair() {
	m.store.setLoadGap(sourceLatency)
	m.changeFaults(func() {
		m.store.rewriteRoutes()
		for _, n := range m.order {
			n.link.storeUnreachable.Store(false)
			n.link.storeRejects.Store(false)
			n.link.isolated.Store(false)
			if !n.alive {
				delete(m.known, n)
				n.start()
			}
			m.store.put(n.in)
		}
	})
}
