package quarantine

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

type (
	// knowledge is the oracle's model of one node: everything it has been told.
	knowledge map[Fingerprint]*requestFacts

	requestFacts struct {
		exits    map[ExitID]Exit
		lastExit time.Time
		answered map[Caller]bool
	}

	// fleet holds the Trackers of several nodes and the oracle's model of
	// each.
	fleet struct {
		trackers []*Tracker
		cursors  [][]Cursor // by requesting and answering node
		oracles  []knowledge
		lastID   ExitID
	}
)

// synctestTB hides T.Deadline, which must not be called within synctest.
type synctestTB struct{ *testing.T }

func (synctestTB) Deadline() (time.Time, bool) { return time.Time{}, false }

func (k knowledge) factsFor(f Fingerprint) *requestFacts {
	if k[f] == nil {
		k[f] = &requestFacts{exits: map[ExitID]Exit{}, answered: map[Caller]bool{}}
	}
	return k[f]
}

func (k knowledge) merge(other knowledge) {
	for f, x := range other {
		own := k.factsFor(f)
		for id, e := range x.exits {
			had := own.exits[id]
			e.Isolated, e.Answered = e.Isolated || had.Isolated, e.Answered || had.Answered
			own.exits[id] = e
		}
		if x.lastExit.After(own.lastExit) {
			own.lastExit = x.lastExit
		}
		maps.Copy(own.answered, x.answered)
	}
}

// attributed reports whether another request that ran at the exit has also
// crashed an instance without this one.
func (k knowledge) attributed(f Fingerprint, id ExitID) bool {
	for otherRequest, otherFacts := range k {
		if _, ok := otherFacts.exits[id]; !ok || otherRequest == f {
			continue
		}
		for otherID, e := range otherFacts.exits {
			if own, ok := k.factsFor(f).exits[otherID]; e.Isolated && !e.Answered && (!ok || own.Answered) {
				return true
			}
		}
	}
	return false
}

// hasUnrelatedExits reports whether three or more instances exited without this
// request and without one that crashed an instance while isolated.
func (k knowledge) hasUnrelatedExits(f Fingerprint) bool {
	unrelated := map[ExitID]bool{}
	for _, x := range k {
		for id := range x.exits {
			own, ok := k.factsFor(f).exits[id]
			unrelated[id] = !ok || own.Answered
		}
	}
	for _, x := range k {
		crashed := false
		for _, e := range x.exits {
			crashed = crashed || (e.Isolated && !e.Answered)
		}
		for id := range x.exits {
			unrelated[id] = unrelated[id] && !crashed
		}
	}
	n := 0
	for _, w := range unrelated {
		if w {
			n++
		}
	}
	return n >= 3
}

// stage is an independent implementation of the rule in Record.stage.
func (k knowledge) stage(f Fingerprint, c Caller) Stage {
	x := k.factsFor(f)
	n, ownExits, conclusiveExits := 0, 0, 0
	callers := map[Caller]bool{}
	for _, e := range x.exits {
		if e.Answered || (x.answered[c] && e.Caller != c) {
			continue
		}
		n++
		callers[e.Caller] = true
		if e.Caller == c {
			ownExits++
		}
		if e.Isolated && !k.attributed(f, e.ID) {
			conclusiveExits++
		}
	}
	switch {
	case n == 0:
		return Free
	case n == 1:
		return Suspect
	case n < 3 || conclusiveExits == 0 || (conclusiveExits == 1 && k.hasUnrelatedExits(f)):
		return Isolated
	case conclusiveExits == 1 && ownExits == 0 && len(callers) == 1 && time.Since(x.lastExit) >= time.Minute:
		return Isolated
	}
	return Quarantined
}

func newFleet(n int) *fleet {
	f := &fleet{cursors: make([][]Cursor, n)}
	for i := range n {
		f.trackers, f.oracles = append(f.trackers, newTestTracker()), append(f.oracles, knowledge{})
		f.cursors[i] = make([]Cursor, n)
	}
	return f
}

// fetch requests the changes since the last fetch from another node and applies
// the answer the given number of times; 0 simulates a lost answer.
func (f *fleet) fetch(by, from int, answers int) {
	r := f.trackers[from].ChangesSince(f.cursors[by][from])
	for range answers {
		f.trackers[by].Merge(r)
		f.cursors[by][from] = r.Next
		f.oracles[by].merge(f.oracles[from])
	}
}

func (f *fleet) check(t *rapid.T) {
	time.Sleep(provisionalTerm)
	for i, tracker := range f.trackers {
		for fp := range Fingerprint(3) {
			for _, c := range []Caller{"a", "b"} {
				if got, want := tracker.Stage(fp, c), f.oracles[i].stage(fp, c); got != want {
					t.Fatalf("node %d, request %d of caller %s: stage %s, want %s; facts %+v", i, fp, c, got, want, f.oracles[i].factsFor(fp))
				}
			}
		}
	}
}

// TestNodesConverge compares Trackers with the oracle while nodes record exits
// and answers, exchange reports that are lost or duplicated, and restart
// without state. Once every node has fetched from every other, all must agree.
func TestNodesConverge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { rapid.Check(synctestTB{t}, checkFleet) })
}

func checkFleet(t *rapid.T) {
	const nodes = 4
	f := newFleet(nodes)
	node := func() int { return rapid.IntRange(0, nodes-1).Draw(t, "node") }
	request := func() Fingerprint { return Fingerprint(rapid.IntRange(0, 2).Draw(t, "request")) }
	caller := func() Caller { return Caller(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller")) }
	t.Repeat(map[string]func(*rapid.T){
		"end": func(t *rapid.T) {
			if f.lastID >= maxExits {
				t.Skip("maxExits reached")
			}
			f.lastID++
			i := node()
			for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 2), 1, 3, rapid.ID).Draw(t, "requests") {
				fp := Fingerprint(n)
				e := Exit{ID: f.lastID, Caller: caller(), Isolated: rapid.Bool().Draw(t, "alone")}
				f.trackers[i].RecordExit(fp, e)
				x := f.oracles[i].factsFor(fp)
				x.exits[e.ID], x.lastExit = e, time.Now()
				// Another node records the same exit with less information.
				j := node()
				e.Isolated = false
				f.trackers[j].RecordExit(fp, e)
				f.oracles[j].merge(knowledge{fp: {exits: map[ExitID]Exit{e.ID: e}, lastExit: x.lastExit}})
			}
		},
		"answer": func(t *rapid.T) {
			i, fp, c := node(), request(), caller()
			f.trackers[i].RecordAnswer(fp, c)
			if len(f.oracles[i].factsFor(fp).exits) == 0 && len(f.oracles[i].factsFor(fp).answered) == 0 {
				return // not recorded
			}
			x := f.oracles[i].factsFor(fp)
			x.answered[c] = true
			for id, e := range x.exits {
				e.Answered = e.Answered || e.Caller == c
				x.exits[id] = e
			}
		},
		"ask": func(t *rapid.T) {
			f.fetch(node(), node(), rapid.IntRange(0, 2).Draw(t, "answers"))
		},
		"restart": func(t *rapid.T) {
			i := node()
			f.trackers[i], f.oracles[i], f.cursors[i] = newTestTracker(), knowledge{}, make([]Cursor, nodes)
		},
		"": f.check,
	})
	for range nodes {
		for i := range nodes {
			for j := range nodes {
				f.fetch(i, j, 1)
			}
		}
	}
	f.check(t)
	for i := range nodes {
		for j := range nodes {
			for fp := range Fingerprint(3) {
				if f.trackers[i].Stage(fp, "a") != f.trackers[j].Stage(fp, "a") {
					t.Fatalf("nodes %d and %d disagree on the stage of request %d", i, j, fp)
				}
			}
		}
	}
}
