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

// Policies are the decisions that a node's operator can switch off one by
// one, to learn what each is worth on a deployment; docs/POLICY.md has what
// they were found to be worth. Each is on unless the settings say otherwise.
type Policies struct {
	Thresholds  bool `ini:"thresholds"`   // new requests are refused at the entry by what targets told
	Prospects   bool `ini:"prospects"`    // and those of routes whose requests nearly all fail
	Costs       bool `ini:"costs"`        // kinds of request are admitted by their cost
	Parts       bool `ini:"parts"`        // what waits goes by part, not by arrival
	Pace        bool `ini:"pace"`         // what a target is too slow for is refused at once
	Patience    bool `ini:"patience"`     // new requests wait only while their answer can be on time
	ComeBack    bool `ini:"come_back"`    // refused callers are told a time that suits theirs
	Repeats     bool `ini:"repeats"`      // requests are sent to a second instance
	Told        bool `ini:"told"`         // nodes tell how their instance fails
	Speed       bool `ini:"speed"`        // slow instances get less
	Tight       bool `ini:"tight"`        // actions with little time go to fast instances
	Explore     bool `ini:"explore"`      // and now and then to any
	Sample      bool `ini:"sample"`       // a few instances are weighed for a request, not all
	Vouch       bool `ini:"vouch"`        // nodes vouch for instances whose entries went
	Quarantine  bool `ini:"quarantine"`   // requests that end instances are kept from them
	Doubt       bool `ini:"doubt"`        // entries missing after an outage are kept for a while
	Suspicion   bool `ini:"suspicion"`    // peers that answer no ping are passed over
	Spread      bool `ini:"spread"`       // watches after a change are spread
	Limits      bool `ini:"limits"`       // accounts are held to their rate limits
	Readers     bool `ini:"readers"`      // few nodes read the source, and the others learn from them
	ServePeers  bool `ini:"serve_peers"`  // a stopping node serves peers for a while
	DecisionLog bool `ini:"decision_log"` // decisions are logged
}

// Usual has every policy on.
func Usual() Policies {
	return Policies{Thresholds: true, Prospects: true, Costs: true, Parts: true, Pace: true, Patience: true, ComeBack: true,
		Repeats: true, Told: true, Speed: true, Tight: true, Explore: true, Sample: true, Vouch: true, Quarantine: true, Doubt: true, Suspicion: true,
		Spread: true, Limits: true, Readers: true, ServePeers: true, DecisionLog: true}
}

// choose returns one of two policies.
func choose[P any](on bool, policy, without P) P {
	if on {
		return policy
	}
	return without
}

// Directory is the configuration of the directory that a Node is given.
func (p Policies) Directory(l log.Interface) directory.Config {
	cfg := directory.Usual(l)
	cfg.AskGrace = choose(p.Vouch, cfg.AskGrace, 0)
	cfg.ReturnGrace = choose(p.Doubt, cfg.ReturnGrace, 0)
	cfg.Spread = p.Spread
	return cfg
}

func (p Policies) balancer(dc callgraph.DC) balance.Config {
	w := balance.Usual()
	w.Told = choose(p.Told, w.Told, 0)
	w.Slow = choose(p.Speed, w.Slow, 0)
	w.Tight = choose(p.Tight, w.Tight, 0)
	w.Explore = choose(p.Explore, w.Explore, 0)
	w.Sample = choose(p.Sample, w.Sample, 0)
	return balance.Config{DC: dc, Weights: w}
}

func (p Policies) order() slots.Order {
	return slots.Order{Parts: p.Parts}
}

func (p Policies) admission(b *admit.Board) admit.Admission {
	return choose[admit.Admission](p.Thresholds, b, admit.Everyone{})
}

func (p Policies) levels(c *admit.Costs) admit.Levels {
	return choose[admit.Levels](p.Costs, c, admit.Even{})
}

func (p Policies) patience() admit.Wait {
	return choose(p.Patience, admit.Times.Patience, admit.AllItsTime)
}

func (p Policies) comeBack() admit.Wait {
	return choose(p.ComeBack, admit.Times.ComeBack, admit.InASecond)
}

func (p Policies) repeats(w budget.WindowConfig) budget.WindowConfig {
	return choose(p.Repeats, w, budget.WindowConfig{Span: w.Span})
}

func (p Policies) decisionLines() int { return choose(p.DecisionLog, timeline.LinesPerSecond, 0) }
