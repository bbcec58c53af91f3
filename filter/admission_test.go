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
}

func (m *admissionModel) Arrive(t *rapid.T) {
	class := rapid.SampledFrom([]call.Class{call.Critical, call.Sheddable}).Draw(t, "class")
	_, ok := m.a.admit(class)
	_, shedWouldPass := m.peekSheddable()
	if !ok && class == call.Critical && shedWouldPass {
		t.Fatalf("critical call refused at %d of %d slots while a sheddable one would pass", m.inflight, m.slots)
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
// call refused while a sheddable one would still pass.
func TestAdmissionRefusesSheddableFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 200).Draw(t, "slots")
		m := &admissionModel{a: NewAdmission(slots), slots: slots}
		t.Repeat(rapid.StateMachineActions(m))
	})
}
