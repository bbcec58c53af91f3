package filter

import (
	"testing"

	"github.com/oatpin/oatpin/call"
	"pgregory.net/rapid"
)

// admissionModel drives Admission with random arrivals and departures of
// both classes and checks each decision against a simple oracle.
type admissionModel struct {
	a        *Admission
	slots    int
	inflight int
	shedding bool // a critical call was refused, and most slots have been busy since
}

func (m *admissionModel) Arrive(t *rapid.T) {
	class := rapid.SampledFrom([]call.Class{call.Critical, call.Sheddable}).Draw(t, "class")
	_, ok := m.a.admit(class)
	_, shedWouldPass := m.peekSheddable()
	if !ok && class == call.Critical && shedWouldPass {
		t.Fatalf("critical call refused at %d of %d slots while a sheddable one would pass", m.inflight, m.slots)
	}
	if ok && class == call.Sheddable && m.shedding {
		t.Fatalf("sheddable call let in at %d of %d slots while critical ones are being refused", m.inflight, m.slots)
	}
	if !ok && class == call.Critical {
		m.shedding = true
	}
	if ok {
		m.inflight++
	}
	if m.inflight > m.slots {
		t.Fatalf("%d calls in flight over %d slots", m.inflight, m.slots)
	}
}

func (m *admissionModel) Leave(t *rapid.T) {
	if m.inflight == 0 {
		t.Skip("nothing in flight")
	}
	m.a.release(0)
	m.inflight--
	if 10*m.inflight < 8*m.slots {
		m.shedding = false
	}
}

func (m *admissionModel) Check(t *rapid.T) {
	if got := m.a.InFlight(); got != m.inflight {
		t.Fatalf("admission counts %d in flight, oracle %d", got, m.inflight)
	}
}

// peekSheddable asks whether a sheddable call would be let in now, without
// letting it in.
func (m *admissionModel) peekSheddable() (struct{}, bool) {
	_, ok := m.a.admit(call.Sheddable)
	if ok {
		m.a.release(0)
	}
	return struct{}{}, ok
}

// Under shedding, approvals and publications must be refused only after
// every browsing and ranking read is: a member's find log refused while a
// ranking read still passes would lose the find for a read nobody needs.
// Random arrivals and departures of both classes never show a critical
// call refused while a sheddable one would still pass, nor a sheddable one
// let in after a critical one was refused until a fifth of the slots is free.
func TestAdmissionRefusesSheddableFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 200).Draw(t, "slots")
		m := &admissionModel{a: NewAdmission(slots), slots: slots}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// A target with a single slot serves reads too: a share of one slot that is
// rounded down to none would refuse every browsing read for good.
func TestAdmissionLetsReadsIntoOneSlot(t *testing.T) {
	a := NewAdmission(1)
	if _, ok := a.admit(call.Sheddable); !ok {
		t.Fatal("a read was refused by an idle target")
	}
}
