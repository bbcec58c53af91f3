package filter

import (
	"testing"

	"github.com/oatpin/oatpin/call"
	"pgregory.net/rapid"
)

// admissionModel drives Admission with random arrivals and departures of both
// classes and checks each decision against a reference count.
type admissionModel struct {
	a        *Admission
	slots    int
	inFlight int
	shedding bool // a critical call was refused and at least 80% of the slots have been busy since
}

func (m *admissionModel) Arrive(t *rapid.T) {
	class := rapid.SampledFrom([]call.Class{call.Critical, call.Sheddable}).Draw(t, "class")
	_, ok := m.a.admit(class)
	_, sheddableAdmitted := m.peekSheddable()
	if !ok && class == call.Critical && sheddableAdmitted {
		t.Fatalf("critical call refused at %d of %d slots while a sheddable call would be admitted", m.inFlight, m.slots)
	}
	if ok && class == call.Sheddable && m.shedding {
		t.Fatalf("sheddable call admitted at %d of %d slots while critical calls are being refused", m.inFlight, m.slots)
	}
	if !ok && class == call.Critical {
		m.shedding = true
	}
	if ok {
		m.inFlight++
	}
	if m.inFlight > m.slots {
		t.Fatalf("%d calls in flight with %d slots", m.inFlight, m.slots)
	}
}

func (m *admissionModel) Leave(t *rapid.T) {
	if m.inFlight == 0 {
		t.Skip("nothing in flight")
	}
	m.a.release(0)
	m.inFlight--
	if 10*m.inFlight < 8*m.slots {
		m.shedding = false
	}
}

func (m *admissionModel) Check(t *rapid.T) {
	if got := m.a.InFlight(); got != m.inFlight {
		t.Fatalf("Admission reports %d calls in flight, want %d", got, m.inFlight)
	}
}

// peekSheddable reports whether a sheddable call would be admitted now,
// without admitting it.
func (m *admissionModel) peekSheddable() (struct{}, bool) {
	_, ok := m.a.admit(call.Sheddable)
	if ok {
		m.a.release(0)
	}
	return struct{}{}, ok
}

// Guards against priority inversion: a critical call refused while a
// sheddable one would be admitted, or a sheddable call admitted after a
// critical refusal while at least 80% of the slots are still busy.
func TestAdmissionRefusesSheddableFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 200).Draw(t, "slots")
		m := &admissionModel{a: NewAdmission(slots), slots: slots}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// Guards against the sheddable limit of a one-slot target rounding down to
// zero, which would refuse every sheddable call.
func TestAdmissionAdmitsSheddableWithOneSlot(t *testing.T) {
	a := NewAdmission(1)
	if _, ok := a.admit(call.Sheddable); !ok {
		t.Fatal("sheddable call refused by an idle target with one slot")
	}
}
