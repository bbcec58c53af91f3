package account

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// limitWindow is the window of the default tolerance.
	limitWindow = 5 * time.Second

	networkDelay   = 2 * time.Millisecond
	partitionDelay = 700 * time.Millisecond
	tickInterval   = 10 * time.Millisecond
	surgeFactor    = 7.5 // times an account's base rate
)

var errPartitioned = errors.New("network partition")

type (
	// fleet simulates the nodes of several data centres and the callers of
	// several accounts. The callers run in the goroutine of the test.
	fleet struct {
		rng           *rand.Rand
		tolerance     Tolerance
		accounts      atomic.Pointer[Registry]
		nodes         []*node
		dcs           int
		partitionedDC atomic.Int64     // index of the disconnected data centre; -1 for none
		baseRate      map[Name]float64 // requests per second
		load          map[Name]float64 // current multiple of baseRate
		entryNodes    map[Name][]int   // nodes that receive an account's requests
		admitted      map[Name][]time.Time
		requested     map[Name]int // excluding requests at partitioned nodes
		refused       map[Name]int // of the requested
		messages      atomic.Int64
		bytes         atomic.Int64 // of message bodies
	}

	node struct {
		f           *fleet
		i, dc       int
		limiter     *Limiter
		x           atomic.Pointer[Exchange]
		stop        context.CancelFunc
		alive       atomic.Bool
		partitioned atomic.Bool // disconnected from all other nodes
	}
)

// newFleet creates accounts whose base rates follow a Zipf distribution. Each
// limit is 1.6 times the account's base rate.
func newFleet(t testing.TB, tolerance Tolerance, seed uint64, nodes, dcs, accounts int, totalRate float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 7)), tolerance: tolerance, dcs: dcs, baseRate: map[Name]float64{}, load: map[Name]float64{},
		entryNodes: map[Name][]int{}, admitted: map[Name][]time.Time{}, requested: map[Name]int{}, refused: map[Name]int{}}
	var sum float64
	for i := range accounts {
		sum += 1 / float64(i+1)
	}
	var all []Account
	for i := range accounts {
		a := Account{Name: Name("a" + strconv.Itoa(i))}
		f.baseRate[a.Name] = totalRate / sum / float64(i+1)
		a.Rate = max(1, math.Round(1.6*f.baseRate[a.Name]))
		a.Burst = a.Rate
		all = append(all, a)
		for range max(1, min(nodes, nodes*8/(i+1))) {
			f.entryNodes[a.Name] = append(f.entryNodes[a.Name], f.rng.IntN(nodes))
		}
	}
	f.partitionedDC.Store(-1)
	f.setAccounts(t, all)
	for i := range nodes {
		f.nodes = append(f.nodes, &node{f: f, i: i, dc: i % dcs})
	}
	for _, n := range f.nodes {
		n.start()
	}
	return f
}

func (f *fleet) registry() *Registry { return f.accounts.Load() }

func (f *fleet) setAccounts(t testing.TB, all []Account) {
	r, err := NewRegistry(all)
	if err != nil {
		t.Fatal(err)
	}
	f.accounts.Store(r)
}

func (n *node) source() Source { return Source(strconv.Itoa(n.i)) }

func (n *node) start() {
	ctx, stop := context.WithCancel(context.Background())
	n.limiter, n.stop = NewLimiter(n.f.tolerance), stop
	x := NewExchange(ExchangeConfig{Self: n.source(), DC: Source(fmt.Sprint("dc", n.dc)), Registry: n.f.registry,
		Collectors: n.collectors, Send: n.send, OnError: func(Source, error) {}}, n.limiter)
	n.x.Store(x)
	n.alive.Store(true)
	go x.Run(ctx)
}

func (n *node) kill() {
	n.alive.Store(false)
	n.stop()
}

// collectors returns the first two nodes of each data centre.
func (n *node) collectors() (own []Source, others [][]Source, total int) {
	collectorsOf := func(dc int) []Source { return []Source{n.f.nodes[dc].source(), n.f.nodes[dc+n.f.dcs].source()} }
	for dc := range n.f.dcs {
		if dc != n.dc {
			others = append(others, collectorsOf(dc))
		}
	}
	return collectorsOf(n.dc), others, len(n.f.nodes)
}

func (n *node) send(ctx context.Context, to Source, r Report) ([]Quota, error) {
	i, err := strconv.Atoi(string(to))
	if err != nil {
		return nil, err
	}
	peer := n.f.nodes[i]
	n.f.messages.Add(2)
	wait := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	cutOff := int(n.f.partitionedDC.Load())
	if n.partitioned.Load() || peer.partitioned.Load() || (n.dc != peer.dc && (cutOff == n.dc || cutOff == peer.dc)) {
		wait(partitionDelay)
		return nil, errPartitioned
	}
	wait(networkDelay)
	if !peer.alive.Load() || !n.alive.Load() {
		return nil, errPartitioned
	}
	quotas := peer.x.Load().HandleReport(r)
	n.f.countBytes(r)
	n.f.countBytes(Quotas{Entries: quotas})
	wait(networkDelay)
	return quotas, ctx.Err()
}

func (f *fleet) countBytes(message any) {
	b, err := msgpack.Marshal(message)
	if err != nil {
		panic(err)
	}
	f.bytes.Add(int64(len(b)))
}

// run simulates requests for a duration.
func (f *fleet) run(d time.Duration) {
	for range d / tickInterval {
		for i := range f.registry().All() {
			a := &f.registry().All()[i]
			for range f.poisson(f.baseRate[a.Name] * max(f.load[a.Name], 1) * tickInterval.Seconds()) {
				n := f.nodes[f.entryNodes[a.Name][f.rng.IntN(len(f.entryNodes[a.Name]))]]
				if !n.alive.Load() {
					continue
				}
				if !n.partitioned.Load() {
					f.requested[a.Name]++
				}
				if ok, retryAfter := n.limiter.Allow(a); ok {
					f.admitted[a.Name] = append(f.admitted[a.Name], time.Now())
				} else {
					if !n.partitioned.Load() {
						f.refused[a.Name]++
					}
					if retryAfter <= 0 || retryAfter > maxRetryAfter {
						panic(retryAfter)
					}
				}
			}
		}
		time.Sleep(tickInterval)
	}
}

func (f *fleet) poisson(mean float64) int {
	n, p := 0, math.Exp(-mean)
	for u := f.rng.Float64(); u > p; u *= f.rng.Float64() {
		n++
	}
	return n
}

// worstWindow returns the largest ratio of admitted to allowed requests in any
// window, and the account it belongs to.
func (f *fleet) worstWindow() (Name, float64) {
	var worst Name
	var most float64
	for i := range f.registry().All() {
		a := &f.registry().All()[i]
		allowed := (a.Rate*f.tolerance.Window.Seconds()+a.Burst)*(1+f.tolerance.Overshoot) + f.tolerance.Slack
		times, from := f.admitted[a.Name], 0
		for to := range times {
			for times[to].Sub(times[from]) >= f.tolerance.Window {
				from++
			}
			if x := float64(to-from+1) / allowed; x > most {
				worst, most = a.Name, x
			}
		}
	}
	return worst, most
}

// refusedFraction returns the fraction of requests that were refused.
func (f *fleet) refusedFraction() float64 {
	requested, refused := 0, 0
	for name := range f.requested {
		requested, refused = requested+f.requested[name], refused+f.refused[name]
	}
	return float64(refused) / float64(max(requested, 1))
}

func (f *fleet) resetCounts() {
	clear(f.requested)
	clear(f.refused)
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.stop()
	}
}

type fleetSize struct {
	nodes, dcs, accounts int
	totalRate            float64 // requests per second
	seeds                uint64
}

var fleetSizes = []fleetSize{{16, 3, 30, 500, 2}, {78, 3, 81, 2400, 2}, {300, 5, 81, 8000, 1}}

// runOnFleets runs a scenario on fleets of several sizes and checks that every
// account stays within its limit.
func runOnFleets(t *testing.T, sizes []fleetSize, scenario func(t *testing.T, f *fleet)) {
	runWithTolerance(t, DefaultTolerance(), sizes, scenario)
}

// runWithTolerance is runOnFleets with a tolerance of limits.
func runWithTolerance(t *testing.T, tolerance Tolerance, sizes []fleetSize, scenario func(t *testing.T, f *fleet)) {
	for _, s := range sizes {
		for seed := range s.seeds {
			t.Run(fmt.Sprint(s.nodes, " nodes, seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, tolerance, seed, s.nodes, s.dcs, s.accounts, s.totalRate)
					scenario(t, f)
					name, worst := f.worstWindow()
					t.Logf("worst window: account %s at %.2f of the allowed requests; refused fraction %.4f; %d messages", name, worst, f.refusedFraction(), f.messages.Load())
					Convey("No window exceeds the allowed number of requests", t, func() { So(worst, ShouldBeLessThanOrEqualTo, 1) })
					f.close()
					time.Sleep(time.Minute)
				})
			})
		}
	}
}

// Accounts send at three fifths of their limits. Dividing a limit evenly by the
// number of nodes would refuse most requests of small accounts, which are
// spread unevenly.
func TestNoRefusalsBelowLimit(t *testing.T) {
	runOnFleets(t, fleetSizes, func(t *testing.T, f *fleet) {
		f.run(3 * time.Second)
		f.resetCounts()
		messages, bytes := f.messages.Load(), f.bytes.Load()
		f.run(20 * time.Second)
		t.Logf("per node: %.1f messages/s, %.0f B/s of message bodies", float64(f.messages.Load()-messages)/20/float64(len(f.nodes)), float64(f.bytes.Load()-bytes)/20/float64(len(f.nodes)))
		Convey("Fewer than one request in a thousand is refused", t, func() { So(f.refusedFraction(), ShouldBeLessThan, 0.001) })
	})
}

// An account sends almost five times its limit. All nodes must learn of the
// usage before a window's allowance is used up.
func TestSurgeIsHeldToLimit(t *testing.T) {
	for _, name := range []Name{"a0", "a3", "a20"} {
		runOnFleets(t, fleetSizes, func(t *testing.T, f *fleet) {
			f.run(4 * time.Second)
			f.load[name] = surgeFactor
			f.resetCounts()
			f.run(8 * time.Second)
			a := f.registry().ByName(name)
			got := f.requested[name] - f.refused[name]
			Convey("The account gets most of its limit, and other accounts are not refused", t, func() {
				So(float64(got), ShouldBeGreaterThan, 0.75*a.Rate*8)
				f.requested[name], f.refused[name] = 0, 0
				So(f.refusedFraction(), ShouldBeLessThan, 0.002)
			})
		})
	}
}

// All nodes are killed at once while an account is far over its limit. Requests
// admitted before the restart still count in the window.
func TestLimitHoldsAcrossFullRestart(t *testing.T) { runOnFleets(t, fleetSizes, restartAll) }

func restartAll(_ *testing.T, f *fleet) {
	f.run(4 * time.Second)
	f.load["a0"], f.load["a9"] = surgeFactor, surgeFactor
	f.run(1500 * time.Millisecond)
	for range 2 {
		for _, n := range f.nodes {
			n.kill()
		}
		f.run(time.Second)
		for _, n := range f.nodes {
			n.start()
		}
		f.run(2 * time.Second)
	}
	f.run(5 * time.Second)
}

// A data centre is disconnected before or during a surge. Both sides must
// continue with their shares only.
func TestLimitHoldsAcrossDCPartition(t *testing.T) {
	for _, before := range []time.Duration{0, 2 * time.Second} {
		runOnFleets(t, fleetSizes, func(t *testing.T, f *fleet) {
			f.partitionDC(before)
			f.load["a0"], f.load["a5"] = 1, 1
			f.run(4 * time.Second)
			f.resetCounts()
			f.run(20 * time.Second)
			Convey("Almost nothing is refused after the surge", t, func() { So(f.refusedFraction(), ShouldBeLessThan, 0.002) })
		})
	}
}

// partitionDC disconnects a data centre some time after a surge began.
func (f *fleet) partitionDC(after time.Duration) {
	f.run(4 * time.Second)
	f.load["a0"], f.load["a5"] = surgeFactor, surgeFactor
	f.run(after)
	f.partitionedDC.Store(1)
	f.run(6 * time.Second)
	f.partitionedDC.Store(-1)
	f.run(4 * time.Second)
}

// Guards against accounts that exceed their limits on deployments that tolerate
// less than others do, or judge it over another window.
func TestLimitHoldsWithinStatedTolerance(t *testing.T) {
	for _, tolerance := range []Tolerance{
		{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20},
		{Window: 5 * time.Second, Overshoot: 0.125, Slack: 10},
		{Window: 2500 * time.Millisecond, Overshoot: 0.25, Slack: 20},
		{Window: 10 * time.Second, Overshoot: 0.25, Slack: 20},
		{Window: 5 * time.Second, Overshoot: 0.5, Slack: 40},
	} {
		for name, scenario := range map[string]func(*testing.T, *fleet){
			"data centre cut off as a surge begins": func(_ *testing.T, f *fleet) { f.partitionDC(0) },
			"data centre cut off during a surge":    func(_ *testing.T, f *fleet) { f.partitionDC(2 * time.Second) },
			"nodes cut off during a surge":          partitionNodes,
			"all nodes killed during a surge":       restartAll,
		} {
			t.Run(fmt.Sprint(tolerance, " ", name), func(t *testing.T) { runWithTolerance(t, tolerance, fleetSizes, scenario) })
		}
	}
}

// A third of the nodes, collectors among them, are disconnected during a surge,
// and then a collector is killed. Neither may let an account exceed its limit.
func TestLimitHoldsWithPartitionedNodes(t *testing.T) { runOnFleets(t, fleetSizes, partitionNodes) }

func partitionNodes(_ *testing.T, f *fleet) {
	f.run(4 * time.Second)
	f.load["a0"], f.load["a5"] = surgeFactor, surgeFactor
	f.run(500 * time.Millisecond)
	for i, n := range f.nodes {
		n.partitioned.Store(i%3 == 1)
	}
	f.run(6 * time.Second)
	for _, n := range f.nodes {
		n.partitioned.Store(false)
	}
	f.nodes[0].kill()
	f.run(4 * time.Second)
	f.nodes[0].start()
	f.run(4 * time.Second)
}

// A third of the nodes, including all collectors of some data centres, are
// disconnected while accounts are just within their limits. The connected nodes
// must not fall back to an even share, nor may the usage behind the partition
// be deducted in full when it heals.
func TestPartitionDoesNotStarveConnectedNodes(t *testing.T) {
	runOnFleets(t, fleetSizes, func(t *testing.T, f *fleet) {
		for name := range f.baseRate {
			f.load[name] = 1.4
		}
		f.run(time.Second)
		for i, n := range f.nodes {
			n.partitioned.Store(i%20 >= 1 && i%20 < 8)
		}
		f.run(3 * time.Second)
		f.resetCounts()
		f.run(8 * time.Second)
		during := f.refusedFraction()
		for _, n := range f.nodes {
			n.partitioned.Store(false)
		}
		f.resetCounts()
		f.run(4 * time.Second)
		after := f.refusedFraction()
		t.Logf("refused fraction: %.3f during the partition, %.3f after it", during, after)
		Convey("Few requests are refused during and after the partition", t, func() {
			So(during, ShouldBeLessThan, 0.05)
			So(after, ShouldBeLessThan, 0.05)
		})
	})
}

// A lower limit takes effect during a surge. It must hold from one window
// later.
func TestLoweredLimitHolds(t *testing.T) {
	runOnFleets(t, fleetSizes, func(t *testing.T, f *fleet) {
		f.load["a0"] = surgeFactor
		f.run(4 * time.Second)
		all := slices.Clone(f.registry().All())
		all[0].Rate, all[0].Burst = all[0].Rate/4, all[0].Burst/4
		f.setAccounts(t, all)
		for _, n := range f.nodes {
			n.limiter.SetRegistry(f.registry())
		}
		f.run(limitWindow)
		clear(f.admitted)
		f.run(8 * time.Second)
	})
}
