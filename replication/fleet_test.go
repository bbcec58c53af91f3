package replication

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/callgraph"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	// maxUnstableLag is the time within which a change is in force while the source
	// rejects some nodes: 2 s, and 5 s more since it is unstable.
	maxUnstableLag = 7 * time.Second
	// sourceReadsPerSecond is what the source serves at the planned size.
	sourceReadsPerSecond = 2000
)

var fleetSizes = []struct{ nodes, dcs int }{{15, 3}, {200, 5}, {1100, 6}}

// runInFleet runs f in a fleet that has had 20 s to converge.
func runInFleet(t *testing.T, nodes, dcs int, f func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(nodes, dcs)
		time.Sleep(20 * time.Second)
		f(t, fl)
		fl.close()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// propagate updates one instance and returns the time until 99 % of the nodes,
// and until all nodes, have the change. It gives up after timeout.
func (f *fleet) propagate(timeout time.Duration) (p99, all time.Duration) {
	began := time.Now()
	f.store.put(f.order[len(f.order)-1].in)
	for time.Since(began) < timeout {
		time.Sleep(10 * time.Millisecond)
		behind := len(f.lagging())
		if p99 == 0 && behind <= len(f.order)/100 {
			p99 = time.Since(began)
		}
		if behind == 0 {
			return p99, time.Since(began)
		}
	}
	return p99, timeout
}

// Guards the source against a call per node and change: only the readers may
// call it, and all nodes must still have the change in time.
func TestChangePropagatesWithFewSourceCalls(t *testing.T) {
	for _, s := range fleetSizes {
		runInFleet(t, s.nodes, s.dcs, func(t *testing.T, f *fleet) {
			Convey(fmt.Sprint("With ", s.nodes, " nodes"), t, func() {
				readers := 0
				for dc := range s.dcs {
					readers += len(f.readersOf(callgraph.DC(fmt.Sprint("dc-", dc))))
				}
				So(readers, ShouldBeLessThanOrEqualTo, max(2*s.dcs, s.nodes/nodesPerReader))
				calls, messages, bytes := f.store.calls.Load(), f.messages.Load(), f.bytes.Load()
				time.Sleep(30 * time.Second)
				calls, messages, bytes = f.store.calls.Load()-calls, f.messages.Load()-messages, f.bytes.Load()-bytes
				t.Logf("%d nodes, %d readers, idle: %.1f source calls/s, %.2f messages/s and %.0f B/s per node", s.nodes, readers,
					float64(calls)/30, float64(messages)/30/float64(s.nodes), float64(bytes)/30/float64(s.nodes))
				// With up to 60 readers, at most four watches in total time out
				// per second; with more, each reader's does every 15 s.
				So(float64(calls)/30, ShouldBeLessThan, 6.5)
				for range 3 {
					calls, messages, bytes = f.store.calls.Load(), f.messages.Load(), f.bytes.Load()
					p99, all := f.propagate(3 * time.Second)
					t.Logf("change: 99%% of nodes after %v, all after %v, %d source calls, %d messages, %d bytes", p99, all,
						f.store.calls.Load()-calls, f.messages.Load()-messages, f.bytes.Load()-bytes)
					So(p99, ShouldBeLessThan, 1500*time.Millisecond)
					So(all, ShouldBeLessThan, 1500*time.Millisecond)
					So(f.store.calls.Load()-calls, ShouldBeLessThan, 2*readers+1)
					time.Sleep(2 * time.Second)
				}
			})
		})
	}
}

// All nodes start at once. Guards the source against a load by every node: only
// the seeds may load it.
func TestFleetStartLoadsSourceFewTimes(t *testing.T) {
	for _, s := range fleetSizes {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(s.nodes, s.dcs)
			time.Sleep(bootstrapTimeout)
			Convey(fmt.Sprint("With ", s.nodes, " nodes all are up to date within bootstrapTimeout"), t, func() {
				So(f.lagging(), ShouldBeEmpty)
				t.Logf("%d nodes: %d source calls, %d of them loads", s.nodes, f.store.calls.Load(), f.store.loads.Load())
				So(f.store.loads.Load(), ShouldBeLessThanOrEqualTo, len(f.seeds))
			})
			f.close()
			time.Sleep(time.Minute)
			synctest.Wait()
		})
	}
}

// One reader of each data centre fails. Its followers must have a new version
// of the routes within three seconds of the write.
func TestFailedReaderDoesNotDelayFollowers(t *testing.T) {
	faults := map[string]func(*node){
		"store unreachable without an error": func(n *node) { n.link.storeUnreachable.Store(true) },
		"rejected by the store":              func(n *node) { n.link.storeRejects.Store(true) },
		"frozen or isolated":                 func(n *node) { n.link.isolated.Store(true) },
		"killed":                             (*node).kill,
	}
	for name, fault := range faults {
		for _, s := range fleetSizes[:2] {
			runInFleet(t, s.nodes, s.dcs, func(t *testing.T, f *fleet) {
				for dc := range s.dcs {
					fault(f.readersOf(callgraph.DC(fmt.Sprint("dc-", dc)))[0])
				}
				Convey(fmt.Sprintf("%s, with %d nodes", name, s.nodes), t, func() {
					_, all := f.propagate(3 * time.Second)
					t.Logf("%s, %d nodes: all after %v", name, s.nodes, all)
					So(f.lagging(), ShouldBeEmpty)
					Convey("The next change also arrives in time", func() {
						time.Sleep(time.Second)
						_, all := f.propagate(3 * time.Second)
						t.Logf("next change: all after %v", all)
						So(f.lagging(), ShouldBeEmpty)
					})
				})
			})
		}
	}
}

// Two writes follow each other and the store notifies its watches of the first
// only. The second must still reach all nodes in time.
func TestChangeMissedByWatchesReachesAllNodes(t *testing.T) {
	maxLag := map[int]time.Duration{15: 2 * time.Second, 200: 3 * time.Second, 1100: 9 * time.Second}
	for _, s := range fleetSizes {
		runInFleet(t, s.nodes, s.dcs, func(t *testing.T, f *fleet) {
			f.store.put(f.order[0].in)
			time.Sleep(time.Second)
			f.store.putWithoutNotify(f.order[1].in)
			began := time.Now()
			for len(f.lagging()) > 0 && time.Since(began) < maxLag[s.nodes] {
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("%d nodes: all after %v", s.nodes, time.Since(began))
			Convey(fmt.Sprint("With ", s.nodes, " nodes all have it in time"), t, func() {
				So(f.lagging(), ShouldBeEmpty)
			})
		})
	}
}

// All readers of one data centre are killed. The next nodes in rank order must
// take over, or the others would keep an old state for ever.
func TestLostReadersAreReplaced(t *testing.T) {
	runInFleet(t, 200, 5, func(t *testing.T, f *fleet) {
		killed := f.readersOf("dc-0")
		for _, n := range killed {
			n.kill()
		}
		Convey("A change still reaches all nodes", t, func() {
			_, all := f.propagate(3 * time.Second)
			t.Logf("all after %v", all)
			So(f.lagging(), ShouldBeEmpty)
			time.Sleep(5 * time.Second)
			now := f.readersOf("dc-0")
			So(len(now), ShouldBeBetween, 0, 4*len(killed))
			Convey("The former readers read again after a restart", func() {
				for _, n := range killed {
					n.start()
				}
				time.Sleep(2 * maxPeerBackoff)
				So(f.readersOf("dc-0"), ShouldHaveLength, len(killed))
				So(f.lagging(), ShouldBeEmpty)
			})
		})
	})
}

// Guards against a node that keeps old routes while it reaches no other node,
// although it reaches the source: it must not ask all others first.
func TestNodeCutOffFromOthersReadsSource(t *testing.T) {
	for _, s := range fleetSizes {
		runInFleet(t, s.nodes, s.dcs, func(t *testing.T, f *fleet) {
			r := f.order[0].currentRanking()
			for _, all := range r.nodes {
				f.nodes[all[len(all)-1]].link.peersUnreachable.Store(true)
			}
			time.Sleep(time.Second)
			Convey(fmt.Sprint("With ", s.nodes, " nodes a change reaches those that are cut off, and the next one"), t, func() {
				for range 2 {
					_, all := f.propagate(3 * time.Second)
					t.Logf("%d nodes: all after %v", s.nodes, all)
					So(f.lagging(), ShouldBeEmpty)
					time.Sleep(5 * time.Second)
				}
			})
		})
	}
}

// The store rejects all readers of one data centre. Its nodes must not consider
// the source unreachable while other data centres reach it, or they would
// answer 503 for paths without a route and keep removed entries.
func TestRejectedReadersLearnFromOtherDataCentres(t *testing.T) {
	runInFleet(t, 200, 5, func(t *testing.T, f *fleet) {
		for _, n := range f.order {
			n.link.storeRejects.Store(n.in.DC == "dc-1")
		}
		time.Sleep(5 * time.Second)
		Convey("The source is not reported as unreachable, and a change arrives in time", t, func() {
			for _, n := range f.order {
				So(n.dir.SourceUnreachable(), ShouldBeFalse)
			}
			_, all := f.propagate(3 * time.Second)
			t.Logf("all after %v", all)
			So(f.lagging(), ShouldBeEmpty)
		})
	})
}

// A data centre is partitioned from the others and from the store. Its nodes
// must report the source as unreachable, or they would answer 404 for a route
// added meanwhile, and must catch up within seconds of the repair.
func TestIsolatedDataCentreReportsSourceUnreachable(t *testing.T) {
	runInFleet(t, 200, 5, func(t *testing.T, f *fleet) {
		f.isolateDC("dc-1")
		time.Sleep(10 * time.Second)
		f.store.put(f.order[0].in)
		time.Sleep(time.Second)
		Convey("The source is unreachable for its nodes and for no others", t, func() {
			for _, n := range f.order {
				So(n.dir.SourceUnreachable(), ShouldEqual, n.in.DC == "dc-1")
			}
			So(f.lagging(), ShouldHaveLength, 40)
			Convey("They catch up after the partition ends", func() {
				f.isolateDC("")
				_, all := f.propagate(6 * time.Second)
				t.Logf("all after %v", all)
				So(f.lagging(), ShouldBeEmpty)
			})
		})
	})
}

// The store comes back from a backup and assigns the revisions since again.
// Guards against nodes that miss what is written next, and the source against a
// load per node or many per reader.
func TestRestoredStoreReachesAllNodes(t *testing.T) {
	for _, s := range fleetSizes {
		runInFleet(t, s.nodes, s.dcs, func(t *testing.T, f *fleet) {
			for range 3 {
				f.store.put(f.order[0].in)
			}
			time.Sleep(2 * time.Second)
			calls, loads, messages, bytes := f.store.calls.Load(), f.store.loads.Load(), f.messages.Load(), f.bytes.Load()
			f.store.restore(3)
			f.store.put(f.order[1].in)
			f.store.put(f.order[2].in)
			began := time.Now()
			for len(f.lagging()) > 0 && time.Since(began) < 2*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			took := time.Since(began)
			readers := 0
			for dc := range s.dcs {
				readers += len(f.readersOf(callgraph.DC(fmt.Sprint("dc-", dc))))
			}
			loads = f.store.loads.Load() - loads
			t.Logf("%d nodes: all after %v, %d source calls, %d of them loads, %d messages, %d bytes", s.nodes, took,
				f.store.calls.Load()-calls, loads, f.messages.Load()-messages, f.bytes.Load()-bytes)
			Convey(fmt.Sprint("With ", s.nodes, " nodes all have it within 2 s, from at most a load per reader"), t, func() {
				So(f.lagging(), ShouldBeEmpty)
				So(loads, ShouldBeLessThanOrEqualTo, readers)
				for _, n := range f.order {
					So(n.diff(), ShouldBeEmpty)
				}
			})
		})
	}
}

// The store rejects all readers and serves all other nodes. Guards against nodes
// that keep old routes because they ask readers that can't know of newer ones.
func TestChangeReachesNodesWhileAllReadersAreRejected(t *testing.T) {
	for _, s := range fleetSizes {
		runInFleet(t, s.nodes, s.dcs, func(t *testing.T, f *fleet) {
			for dc := range s.dcs {
				for _, n := range f.readersOf(callgraph.DC(fmt.Sprint("dc-", dc))) {
					n.link.storeRejects.Store(true)
				}
			}
			time.Sleep(time.Second)
			calls := f.store.calls.Load()
			Convey(fmt.Sprint("With ", s.nodes, " nodes a change reaches all, and the next one"), t, func() {
				for range 2 {
					_, all := f.propagate(maxUnstableLag)
					t.Logf("%d nodes: all after %v, %d source calls", s.nodes, all, f.store.calls.Load()-calls)
					So(f.lagging(), ShouldBeEmpty)
					time.Sleep(5 * time.Second)
				}
			})
		})
	}
}

// The store rejects all nodes for a while. Guards the source against a call of
// every node at once, and against nodes that stay behind when it is back.
func TestOutageOfSourceKeepsCallsBounded(t *testing.T) {
	const outage = 20 * time.Second
	for _, s := range fleetSizes {
		runInFleet(t, s.nodes, s.dcs, func(t *testing.T, f *fleet) {
			calls := f.store.calls.Load()
			for _, n := range f.order {
				n.link.storeRejects.Store(true)
			}
			time.Sleep(outage)
			rate := float64(f.store.calls.Load()-calls) / outage.Seconds()
			for _, n := range f.order {
				n.link.storeRejects.Store(false)
			}
			_, all := f.propagate(3 * time.Second)
			t.Logf("%d nodes: %.0f source calls/s, all after %v", s.nodes, rate, all)
			Convey(fmt.Sprint("With ", s.nodes, " nodes calls stay within half of what the source serves, and all have a change in time"), t, func() {
				So(rate, ShouldBeLessThan, sourceReadsPerSecond/2)
				So(f.lagging(), ShouldBeEmpty)
			})
		})
	}
}
