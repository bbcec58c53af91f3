package sidecar

import (
	"github.com/apex/log"
	"github.com/oatpin/oatpin/admit"
	"github.com/oatpin/oatpin/balance"
	"github.com/oatpin/oatpin/budget"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/slots"
	"github.com/oatpin/oatpin/timeline"
)

// Policies are the features that an operator can disable one by one to
// measure their effect; docs/POLICY.md has results. Each is on by default.
type Policies struct {
	Thresholds     bool `ini:"thresholds"`   // refuse new requests at the entry node by the thresholds that targets report
	SuccessRates   bool `ini:"prospects"`    // also refuse routes whose requests nearly all fail
	Costs          bool `ini:"costs"`        // prefer routes of low cost when assigning admission levels
	QueueByLevel   bool `ini:"parts"`        // queue requests of equal rank by level instead of by arrival
	SlowdownCheck  bool `ini:"pace"`         // refuse requests that a slow target cannot finish before their deadline
	QueueWaitLimit bool `ini:"patience"`     // limit queueing of new requests to what their deadline allows
	RetryAfter     bool `ini:"come_back"`    // derive Retry-After from the caller's deadline
	Retries        bool `ini:"repeats"`      // retry on another instance
	ReportedHealth bool `ini:"told"`         // weigh the failure rates that nodes report for their instances
	Latency        bool `ini:"speed"`        // send less to slow instances
	ShortDeadline  bool `ini:"tight"`        // prefer fast instances for non-idempotent requests with short deadlines
	Explore        bool `ini:"explore"`      // occasionally try instances that are not the best choice
	Sample         bool `ini:"sample"`       // balance over a sample of instances instead of all
	Vouch          bool `ini:"vouch"`        // nodes vouch for instances whose directory entries have gone
	Quarantine     bool `ini:"quarantine"`   // isolate requests that crash instances
	OutageGrace    bool `ini:"doubt"`        // keep entries that are missing after a source outage for a while
	Suspicion      bool `ini:"suspicion"`    // skip peers that do not answer pings
	SpreadWatches  bool `ini:"spread"`       // spread directory watches after a change
	RateLimits     bool `ini:"limits"`       // enforce the rate limits of accounts
	Readers        bool `ini:"readers"`      // only a few nodes read the directory source, the others poll them
	ServePeers     bool `ini:"serve_peers"`  // a draining node serves peers for a while
	DecisionLog    bool `ini:"decision_log"` // log decisions on single requests
}

// DefaultPolicies returns the default policies, with all enabled.
func DefaultPolicies() Policies {
	return Policies{Thresholds: true, SuccessRates: true, Costs: true, QueueByLevel: true, SlowdownCheck: true, QueueWaitLimit: true, RetryAfter: true,
		Retries: true, ReportedHealth: true, Latency: true, ShortDeadline: true, Explore: true, Sample: true, Vouch: true, Quarantine: true, OutageGrace: true, Suspicion: true,
		SpreadWatches: true, RateLimits: true, Readers: true, ServePeers: true, DecisionLog: true}
}

// choose returns policy if on is set, and fallback otherwise.
func choose[P any](on bool, policy, fallback P) P {
	if on {
		return policy
	}
	return fallback
}

// DirectoryConfig returns the configuration of the directory for a Node with
// these policies.
func (p Policies) DirectoryConfig(l log.Interface) directory.Config {
	cfg := directory.DefaultConfig(l)
	cfg.UnlistedGrace = choose(p.Vouch, cfg.UnlistedGrace, 0)
	cfg.OutageGrace = choose(p.OutageGrace, cfg.OutageGrace, 0)
	cfg.SpreadWatches = p.SpreadWatches
	return cfg
}

func (p Policies) balancer(dc callgraph.DC) balance.Config {
	w := balance.DefaultWeights()
	w.ReportedHealth = choose(p.ReportedHealth, w.ReportedHealth, 0)
	w.Latency = choose(p.Latency, w.Latency, 0)
	w.ShortDeadline = choose(p.ShortDeadline, w.ShortDeadline, 0)
	w.ExploreOneIn = choose(p.Explore, w.ExploreOneIn, 0)
	w.SampleSize = choose(p.Sample, w.SampleSize, 0)
	return balance.Config{DC: dc, Weights: w}
}

func (p Policies) queueOrder() slots.QueueOrder {
	return slots.QueueOrder{ByLevel: p.QueueByLevel}
}

func (p Policies) admission(table *admit.ThresholdTable) admit.Admission {
	return choose[admit.Admission](p.Thresholds, table, admit.Unlimited{})
}

func (p Policies) levels(costs *admit.RouteCosts) admit.LevelAssigner {
	return choose[admit.LevelAssigner](p.Costs, costs, admit.UniformLevels{})
}

func (p Policies) queueWait() admit.WaitFunc {
	return choose(p.QueueWaitLimit, admit.RequestTiming.MaxQueueWait, admit.WaitUntilDeadline)
}

func (p Policies) retryAfter() admit.WaitFunc {
	return choose(p.RetryAfter, admit.RequestTiming.RetryAfter, admit.RetryInOneSecond)
}

func (p Policies) retryBudget(w budget.RetryWindowConfig) budget.RetryWindowConfig {
	return choose(p.Retries, w, budget.RetryWindowConfig{Span: w.Span})
}

func (p Policies) decisionLogRate() int {
	return choose(p.DecisionLog, timeline.DefaultLinesPerSecond, 0)
}
