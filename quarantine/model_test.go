package quarantine

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

type (
	// known is the oracle's idea of one node: everything it was ever told.
	known map[Fingerprint]*facts

	facts struct {
		ends  map[EndID]End
		last  time.Time // when the last of them was
		sound map[Caller]bool
	}

	// fleet is some nodes' Books beside what each should know.
	fleet struct {
		books   []*Book
		told    [][]Cursor // by asker and asked
		oracles []known
		ids     EndID
	}
)

// bubbleTB is a test without the deadline, which synctest does not allow to be
// asked for.
type bubbleTB struct{ *testing.T }

// Deadline reports none.
func (bubbleTB) Deadline() (time.Time, bool) { return time.Time{}, false }

func (k known) of(f Fingerprint) *facts {
	if k[f] == nil {
		k[f] = &facts{ends: map[EndID]End{}, sound: map[Caller]bool{}}
	}
	return k[f]
}

func (k known) learn(other known) {
	for f, x := range other {
		own := k.of(f)
		for id, e := range x.ends {
			had := own.ends[id]
			e.Alone, e.Cleared = e.Alone || had.Alone, e.Cleared || had.Cleared
			own.ends[id] = e
		}
		if x.last.After(own.last) {
			own.last = x.last
		}
		maps.Copy(own.sound, x.sound)
	}
}

// explained reports whether another request that ran at an end has ended an
// instance where this one was not.
func (k known) explained(f Fingerprint, id EndID) bool {
	for o, x := range k {
		if _, ok := x.ends[id]; !ok || o == f {
			continue
		}
		for other, e := range x.ends {
			if own, ok := k.of(f).ends[other]; e.Alone && !e.Cleared && (!ok || own.Cleared) {
				return true
			}
		}
	}
	return false
}

// othersEnd reports whether three instances or more ended where this request
// was not, nor another that ended one alone.
func (k known) othersEnd(f Fingerprint) bool {
	without := map[EndID]bool{}
	for _, x := range k {
		for id := range x.ends {
			own, ok := k.of(f).ends[id]
			without[id] = !ok || own.Cleared
		}
	}
	for _, x := range k {
		ends := false
		for _, e := range x.ends {
			ends = ends || (e.Alone && !e.Cleared)
		}
		for id := range x.ends {
			without[id] = without[id] && !ends
		}
	}
	n := 0
	for _, w := range without {
		if w {
			n++
		}
	}
	return n >= 3
}

// stage is the rule in other words: counted by hand from what is known.
func (k known) stage(f Fingerprint, c Caller) Stage {
	x := k.of(f)
	n, own, proofs := 0, 0, 0
	callers := map[Caller]bool{}
	for _, e := range x.ends {
		if e.Cleared || (x.sound[c] && e.Caller != c) {
			continue
		}
		n++
		callers[e.Caller] = true
		if e.Caller == c {
			own++
		}
		if e.Alone && !k.explained(f, e.ID) {
			proofs++
		}
	}
	switch {
	case n == 0:
		return Free
	case n == 1:
		return Suspect
	case n < 3 || proofs == 0 || (proofs == 1 && k.othersEnd(f)):
		return Isolated
	case proofs == 1 && own == 0 && len(callers) == 1 && time.Since(x.last) >= time.Minute:
		return Isolated
	}
	return Quarantined
}

func newFleet(n int) *fleet {
	f := &fleet{told: make([][]Cursor, n)}
	for i := range n {
		f.books, f.oracles = append(f.books, newTestBook()), append(f.oracles, known{})
		f.told[i] = make([]Cursor, n)
	}
	return f
}

// ask lets a node ask another for what it was not told before; the answer may
// get lost, or be taken over twice.
func (f *fleet) ask(by, whom int, answers int) {
	r := f.books[whom].Since(f.told[by][whom])
	for range answers {
		f.books[by].Learn(r)
		f.told[by][whom] = r.Next
		f.oracles[by].learn(f.oracles[whom])
	}
}

func (f *fleet) check(t *rapid.T) {
	time.Sleep(settleTime)
	for i, b := range f.books {
		for fp := range Fingerprint(3) {
			for _, c := range []Caller{"a", "b"} {
				if got, want := b.Stage(fp, c), f.oracles[i].stage(fp, c); got != want {
					t.Fatalf("node %d, request %d of %s: %s, want %s; knows %+v", i, fp, c, got, want, f.oracles[i].of(fp))
				}
			}
		}
	}
}

// TestNodesKnowWhatTheyWereTold drives the books of a few nodes, which see
// ends and answers, ask each other in any order with answers that get lost or
// come twice, and start anew with nothing, against sets of facts. In the end
// all ask all, and all agree.
func TestNodesKnowWhatTheyWereTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { rapid.Check(bubbleTB{t}, checkFleet) })
}

func checkFleet(t *rapid.T) {
	const nodes = 4
	f := newFleet(nodes)
	node := func() int { return rapid.IntRange(0, nodes-1).Draw(t, "node") }
	request := func() Fingerprint { return Fingerprint(rapid.IntRange(0, 2).Draw(t, "request")) }
	caller := func() Caller { return Caller(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller")) }
	t.Repeat(map[string]func(*rapid.T){
		"end": func(t *rapid.T) {
			if f.ids >= mostEnds {
				t.Skip("as many as are kept")
			}
			f.ids++
			i := node()
			for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 2), 1, 3, rapid.ID).Draw(t, "requests") {
				fp := Fingerprint(n)
				e := End{ID: f.ids, Caller: caller(), Alone: rapid.Bool().Draw(t, "alone")}
				f.books[i].Ended(fp, e)
				x := f.oracles[i].of(fp)
				x.ends[e.ID], x.last = e, time.Now()
				// Another node saw it too, and knows less of it.
				j := node()
				e.Alone = false
				f.books[j].Ended(fp, e)
				f.oracles[j].learn(known{fp: {ends: map[EndID]End{e.ID: e}, last: x.last}})
			}
		},
		"answer": func(t *rapid.T) {
			i, fp, c := node(), request(), caller()
			f.books[i].Answered(fp, c)
			if len(f.oracles[i].of(fp).ends) == 0 && len(f.oracles[i].of(fp).sound) == 0 {
				return // of no interest
			}
			x := f.oracles[i].of(fp)
			x.sound[c] = true
			for id, e := range x.ends {
				e.Cleared = e.Cleared || e.Caller == c
				x.ends[id] = e
			}
		},
		"ask": func(t *rapid.T) {
			f.ask(node(), node(), rapid.IntRange(0, 2).Draw(t, "answers"))
		},
		"restart": func(t *rapid.T) {
			i := node()
			f.books[i], f.oracles[i], f.told[i] = newTestBook(), known{}, make([]Cursor, nodes)
		},
		"": f.check,
	})
	for range nodes {
		for i := range nodes {
			for j := range nodes {
				f.ask(i, j, 1)
			}
		}
	}
	f.check(t)
	for i := range nodes {
		for j := range nodes {
			for fp := range Fingerprint(3) {
				if f.books[i].Stage(fp, "a") != f.books[j].Stage(fp, "a") {
					t.Fatalf("nodes %d and %d do not agree on request %d", i, j, fp)
				}
			}
		}
	}
}
