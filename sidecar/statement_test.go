package sidecar

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/slots"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a malformed rate limit that is taken for a number, and against
// a limit of zero that would never be lifted.
func TestRateLimitOfTargetIsDecoded(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   statement
	}{
		{nil, statement{}},
		{[]string{"17"}, statement{rateLimit: 17}},
		{[]string{"15.3"}, statement{rateLimit: 15.3}},
		{[]string{"0.5"}, statement{rateLimit: 0.5}},
		{[]string{"0"}, statement{rateLimit: minRateLimit}},
		{[]string{"-3"}, statement{invalid: true}},
		{[]string{"NaN"}, statement{invalid: true}},
		{[]string{"Inf"}, statement{invalid: true}},
		{[]string{"many"}, statement{invalid: true}},
		{[]string{""}, statement{invalid: true}},
		{[]string{"3 per s"}, statement{invalid: true}},
		{[]string{"3", "5"}, statement{invalid: true}},
	} {
		Convey(fmt.Sprintf("Values %q", c.values), t, func() {
			got, err := parseStatement(http.Header{testHeaders.RateLimit: c.values}, testHeaders)
			So(got, ShouldResemble, c.want)
			So(errors.Is(err, errInvalidRateLimit), ShouldEqual, c.want.invalid)
		})
	}
	Convey("Only the value 1 means that the target is leaving", t, func() {
		for value, want := range map[string]bool{"1": true, "0": false, "true": false, "": false} {
			got, err := parseStatement(http.Header{testHeaders.Leaving: {value}}, testHeaders)
			So(err, ShouldBeNil)
			So(got.leaving, ShouldEqual, want)
		}
	})
}

// Guards against a rate limit that ends by an answer which the target sent
// before it stated the limit, and against one that outlasts its target.
func TestRateLimitEndsByLaterAnswerOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An answer without a limit counts if its request was sent after the last answer with one", t, func() {
			s := targetRate{gate: slots.NewGate(10, slots.DefaultQueueOrder())}
			run, next := directory.Sighting{ID: "i", At: 1}, directory.Sighting{ID: "i", At: 2}
			s.begin(directory.Incarnation(run))
			early := time.Now()
			time.Sleep(time.Second)
			_, got := s.record(run, statement{rateLimit: 5}, early)
			So(got, ShouldEqual, 5)
			_, got = s.record(run, statement{}, early)
			So(got, ShouldEqual, 5)
			time.Sleep(time.Second)
			_, got = s.record(run, statement{rateLimit: 3}, time.Now())
			So(got, ShouldEqual, 3)
			time.Sleep(time.Second)
			_, got = s.record(run, statement{invalid: true}, time.Now())
			So(got, ShouldEqual, 3)
			time.Sleep(time.Second)
			_, got = s.record(run, statement{}, time.Now())
			So(got, ShouldEqual, 0)
			s.record(run, statement{rateLimit: 3}, time.Now())
			s.begin(directory.Incarnation(next))
			So(s.get(), ShouldEqual, 0)
			_, got = s.record(next, statement{}, time.Now())
			So(got, ShouldEqual, 0)
			_, got = s.record(run, statement{rateLimit: 3}, time.Now())
			So(got, ShouldEqual, 0)
		})
		Convey("A limit that was stated before the directory listed the target stays in force", t, func() {
			s := targetRate{gate: slots.NewGate(10, slots.DefaultQueueOrder())}
			s.record(directory.Sighting{ID: "i", At: 7}, statement{rateLimit: 3}, time.Now())
			s.begin(directory.Incarnation{ID: "i", At: 7})
			So(s.get(), ShouldEqual, 3)
			s.begin(directory.Incarnation{ID: "i", At: 8})
			So(s.get(), ShouldEqual, 0)
		})
	})
}

// Guards against a target that gets requests without bound because it states the
// same rate limit as the one that it replaces.
func TestSameRateLimitOfNextRunIsApplied(t *testing.T) {
	Convey("The gate is limited, whether the target or a peer says so", t, func() {
		gate := slots.NewGate(10, slots.DefaultQueueOrder())
		s := targetRate{gate: gate}
		s.record(directory.Sighting{ID: "a"}, statement{rateLimit: 3}, time.Now())
		So(gate.RateBound(), ShouldBeTrue)
		_, got := s.record(directory.Sighting{ID: "b"}, statement{rateLimit: 3}, time.Now())
		So(got, ShouldEqual, 3)
		So(gate.RateBound(), ShouldBeTrue)
		_, got = s.adopt(directory.Sighting{ID: "c"}, 5)
		So(got, ShouldEqual, 5)
		So(gate.RateBound(), ShouldBeTrue)
	})
}

// Guards against a restarted node that takes a malformed rate limit of its target
// for none, and no longer heeds what other nodes know.
func TestMalformedRateLimitIsNoAnswerToWhatPeersKnow(t *testing.T) {
	Convey("What a peer knows holds until the target states a limit or none", t, func() {
		s := targetRate{gate: slots.NewGate(10, slots.DefaultQueueOrder())}
		run := directory.Sighting{ID: "i"}
		_, got := s.record(run, statement{invalid: true}, time.Now())
		So(got, ShouldEqual, 0)
		_, got = s.adopt(run, 3)
		So(got, ShouldEqual, 3)
		_, got = s.adopt(run, 2)
		So(got, ShouldEqual, 2)
		_, got = s.adopt(run, 5)
		So(got, ShouldEqual, 2)
		_, got = s.record(run, statement{invalid: true}, time.Now())
		So(got, ShouldEqual, 2)
		_, got = s.record(run, statement{}, time.Now())
		So(got, ShouldEqual, 0)
		_, got = s.adopt(run, 2)
		So(got, ShouldEqual, 0)
	})
}

// Guards against a limit that no log line or metric shows.
func TestStatementsOfTargetAreShown(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	Convey("What the target states is in its node's metrics", t, func() {
		v := m.vms[1]
		v.target.handleWith(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(testHeaders.RateLimit, "7.5")
			w.Header().Set(testHeaders.Leaving, "1")
			writeSigned(w, r, http.StatusOK, "")
		})
		_, got := m.get(m.vms[0], "/read/x")
		So(got.code, ShouldEqual, http.StatusOK)
		So(v.node.targetRate.get(), ShouldEqual, 7.5)
		text := readMetrics(v)
		So(metricLine(text, "oatpin_target_rate_limit"), ShouldEndWith, " 7.5")
		So(metricLine(text, "oatpin_target_leaving"), ShouldEndWith, " 1")
		So(metricLine(text, "oatpin_target_requests_total"), ShouldEndWith, " 1")
	})
}
