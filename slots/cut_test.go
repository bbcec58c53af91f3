package slots

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/admit"
	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// views are reads that make calls to one target, one after the other, let in
// by the threshold that the target's node works out.
type views struct {
	gate    *Gate
	meter   *admit.Meter
	calls   int
	work    time.Duration // of a call
	timeout time.Duration // of a read

	finished, failed atomic.Int64
}

// offer sends reads at a rate for a time.
func (v *views) offer(perSecond int, d time.Duration) {
	for i := range int(d.Seconds()) * perSecond {
		level := admit.LevelOf(2, call.RequestID(strconv.Itoa(perSecond)+"-"+strconv.Itoa(i)))
		if level <= v.meter.Threshold() {
			go v.one(level)
		}
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

func (v *views) one(level call.Level) {
	end := time.Now().Add(v.timeout)
	for range v.calls {
		v.meter.Arrive(level, v.work, v.gate.Waiting())
		if _, err := v.gate.Enter(context.Background(), Ticket{Level: level, Begun: true, Deadline: end}); err != nil {
			v.meter.Refuse(level, v.work)
			v.failed.Add(1)
			return
		}
		time.Sleep(v.work)
		v.gate.Leave(v.work)
	}
	v.finished.Add(1)
}

// A data centre is cut off, and of three instances of the scarcest service the
// fastest is gone: demand is half over what the other two can do. Reads make
// eight calls there within 0.7 s. Those that die at their fifth call make no
// sixth, so the demand seen is what the slots can do, and half of the slots
// work for reads that fail.
func TestAfterACutFewChainsDieHalfWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Nearly all that is let in is finished, and the slots work for these", t, func() {
			// 60 slots and 8 x 30 ms a read: 250 reads a second.
			v := &views{gate: NewGate(60, Usual()), meter: admit.NewMeter(60), calls: 8, work: 30 * time.Millisecond, timeout: 700 * time.Millisecond}
			v.offer(180, 3*time.Second)
			time.Sleep(time.Second)
			So(v.failed.Load(), ShouldEqual, 0)
			v.finished.Store(0)
			v.offer(375, 6*time.Second)
			time.Sleep(time.Second)
			t.Logf("finished %d, failed %d", v.finished.Load(), v.failed.Load())
			So(v.finished.Load(), ShouldBeGreaterThan, 250*6*8/10)
			So(v.failed.Load(), ShouldBeLessThan, 250*6/5)
		})
	})
}
