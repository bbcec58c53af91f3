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
		ends     map[EndID]End
		lastEnd  time.Time
		answered map[Caller]bool
	}

	// fleet holds the Trackers of several nodes and the oracle's model of
	// each.
	fleet struct {
		trackers []*Tracker
		cursors  [][]Cursor // by requesting and answering node
		oracles  []knowledge
		lastID   EndID
	}
)

// synctestTB hides T.Deadline, which must not be called within synctest.
type synctestTB struct{ *testing.T }

func (synctestTB) Deadline() (time.Time, bool) { return time.Time{}, false }

func (k knowledge) factsFor(f Fingerprint) *requestFacts {
	if k[f] == nil {
		k[f] = &requestFacts{ends: map[EndID]End{}, answered: map[Caller]bool{}}
	}
	return k[f]
}

func (k knowledge) merge(other knowledge) {
	for f, x := range other {
		own := k.factsFor(f)
		for id, e := range x.ends {
			had := own.ends[id]
			e.Isolated, e.Answered = e.Isolated || had.Isolated, e.Answered || had.Answered
			own.ends[id] = e
		}
		if x.lastEnd.After(own.lastEnd) {
			own.lastEnd = x.lastEnd
		}
		maps.Copy(own.answered, x.answered)
	}
}

// attributed reports whether another request that ran at the end has also ended
// an instance without this one.
func (k knowledge) attributed(f Fingerprint, id EndID) bool {
	for otherRequest, otherFacts := range k {
		if _, ok := otherFacts.ends[id]; !ok || otherRequest == f {
			continue
		}
		for otherID, e := range otherFacts.ends {
			if own, ok := k.factsFor(f).ends[otherID]; e.Isolated && !e.Answered && (!ok || own.Answered) {
				return true
			}
		}
	}
	return false
}

// hasUnrelatedEnds reports whether three or more instances ended without this
// request and without one that ended an instance while isolated.
func (k knowledge) hasUnrelatedEnds(f Fingerprint) bool {
	unrelated := map[EndID]bool{}
	for _, x := range k {
		for id := range x.ends {
			own, ok := k.factsFor(f).ends[id]
			unrelated[id] = !ok || own.Answered
		}
	}
	for _, x := range k {
		crashed := false
		for _, e := range x.ends {
			crashed = crashed || (e.Isolated && !e.Answered)
		}
		for id := range x.ends {
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
	n, ownEnds, conclusiveEnds := 0, 0, 0
	callers := map[Caller]bool{}
	for _, e := range x.ends {
		if e.Answered || (x.answered[c] && e.Caller != c) {
			continue
		}
		n++
		callers[e.Caller] = true
		if e.Caller == c {
			ownEnds++
		}
		if e.Isolated && !k.attributed(f, e.ID) {
			conclusiveEnds++
		}
	}
	switch {
	case n == 0:
		return Free
	case n == 1:
		return Suspect
	case n < 3 || conclusiveEnds == 0 || (conclusiveEnds == 1 && k.hasUnrelatedEnds(f)):
		return Isolated
	case conclusiveEnds == 1 && ownEnds == 0 && len(callers) == 1 && time.Since(x.lastEnd) >= time.Minute:
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

// TestNodesConverge compares Trackers with the oracle while nodes record ends
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
			if f.lastID >= maxEnds {
				t.Skip("maxEnds reached")
			}
			f.lastID++
			i := node()
			for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 2), 1, 3, rapid.ID).Draw(t, "requests") {
				fp := Fingerprint(n)
				e := End{ID: f.lastID, Caller: caller(), Isolated: rapid.Bool().Draw(t, "alone")}
				f.trackers[i].RecordEnd(fp, e)
				x := f.oracles[i].factsFor(fp)
				x.ends[e.ID], x.lastEnd = e, time.Now()
				// Another node records the same end with less information.
				j := node()
				e.Isolated = false
				f.trackers[j].RecordEnd(fp, e)
				f.oracles[j].merge(knowledge{fp: {ends: map[EndID]End{e.ID: e}, lastEnd: x.lastEnd}})
			}
		},
		"answer": func(t *rapid.T) {
			i, fp, c := node(), request(), caller()
			f.trackers[i].RecordAnswer(fp, c)
			if len(f.oracles[i].factsFor(fp).ends) == 0 && len(f.oracles[i].factsFor(fp).answered) == 0 {
				return // not recorded
			}
			x := f.oracles[i].factsFor(fp)
			x.answered[c] = true
			for id, e := range x.ends {
				e.Answered = e.Answered || e.Caller == c
				x.ends[id] = e
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
