package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/oatpin/oatpin/platform"
	. "github.com/smartystreets/goconvey/convey"
)

// endlessRegressionSeeds are seeds that failed before, each with the cause.
var endlessRegressionSeeds = []uint64{
	7209, // an instance that had failed was not tried again while others had room
}

const (
	readersPerNode = 30
	// slowReaderRate is how many bytes a second a slow caller reads, and largeAnswer
	// the size of the answers that it reads.
	slowReaderRate = 200 << 10
	largeAnswer    = 8 << 20
	readingTime    = 2 * time.Second
)

// Guards against nodes that are killed for their memory, or give wrong answers,
// because an instance answers without end beside all other faults.
func TestInvariantsUnderAnswersWithoutEnd(t *testing.T) {
	bin := buildBinary(t)
	for _, seed := range seedsToRun(endlessRegressionSeeds) {
		Convey(fmt.Sprintf("Seed %d", seed), t, func() {
			withDeployment(t, startDeployment(t, bin, seed), func(d *deployment) {
				d.checkUnderFaults(seed, *durationFlag, d.answerWithoutEnd)
				So(d.largestMemory(), ShouldBeLessThan, memoryMB)
				t.Logf("seed %d: largest resident memory of a node %d MB", seed, d.largestMemory())
			})
		})
	}
}

// answerWithoutEnd lets one target after the other answer without end for a while.
func (d *deployment) answerWithoutEnd(r *rand.Rand, period time.Duration) {
	for deadline := time.Now().Add(period); time.Now().Before(deadline); time.Sleep(randomMillis(r, 200, 1000)) {
		t := d.vms[r.IntN(len(d.vms))].target
		t.SetEndless(&endlessAnswers[r.IntN(len(endlessAnswers))])
		time.Sleep(randomMillis(r, 200, 1500))
		t.SetEndless(nil)
	}
}

// Guards against nodes that take more memory than their settings allow, with no other
// fault beside: all instances answer without end, or callers read large answers slowly.
func TestMemoryUnderAnswersStaysWithinSettings(t *testing.T) {
	Convey("The largest resident memory of a node", t, func() {
		withDeployment(t, startDeployment(t, buildBinary(t), 1), func(d *deployment) {
			for i := range endlessAnswers {
				d.eachTarget(func(target *Target) { target.SetEndless(&endlessAnswers[i]) })
				d.readSlowly()
				t.Logf("%q...: %d MB", endlessAnswers[i].start, d.largestMemory())
				So(d.largestMemory(), ShouldBeLessThan, memoryMB)
			}
			d.eachTarget(func(target *Target) {
				target.SetEndless(nil)
				target.SetPadding(largeAnswer)
			})
			d.readSlowly()
			t.Logf("slow readers: %d MB", d.largestMemory())
			So(d.largestMemory(), ShouldBeLessThan, memoryMB)
			d.eachTarget(func(target *Target) { target.SetPadding(0) })
			d.stopCallers()
		})
	})
}

func (d *deployment) eachTarget(f func(*Target)) {
	for _, v := range d.vms {
		f(v.target)
	}
}

// readSlowly sends requests to all nodes for a while and reads the answers slowly.
func (d *deployment) readSlowly() {
	var readers sync.WaitGroup
	for _, v := range d.vms {
		for i := range readersPerNode {
			path := []string{"/read/", "/publish/"}[i%2]
			readers.Go(func() { d.readAnswers(v, path) })
		}
	}
	readers.Wait()
}

func (d *deployment) readAnswers(v *vm, path string) {
	for began := time.Now(); time.Since(began) < readingTime; {
		c, err := net.DialTimeout("tcp", d.callerAddr(v), requestTimeout)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\n%s: m%d\r\nContent-Length: 0\r\n\r\n", path, platform.Headers.RequestID, d.lastID.Add(1))
		for err == nil && time.Since(began) < readingTime {
			c.SetReadDeadline(time.Now().Add(requestTimeout))
			_, err = io.CopyN(io.Discard, c, slowReaderRate/10)
			time.Sleep(100 * time.Millisecond)
		}
		c.Close()
	}
}
