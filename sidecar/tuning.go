package sidecar

import "github.com/oatpin/oatpin/budget"

// Tune applies a new tuning and resets the retry budgets. Safe for concurrent
// use.
func (n *Node) Tune(t Tuning) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setTuning(&t)
	n.retryBudgets = map[string]*budget.RetryWindow{}
}

func (n *Node) setTuning(t *Tuning) {
	n.tuning.Store(t)
	n.held.SetLimit(t.MaxHeldBodyBytes)
	n.heldAnswers.SetLimit(t.MaxHeldAnswerBytes)
	n.awaited.SetLimit(t.MaxHeldAnswerBytes)
	n.heads.SetLimit(t.MaxHeldHeadBytes)
}

// retryBudget returns the retry budget of a service.
func (n *Node) retryBudget(service string) *budget.RetryWindow {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.retryBudgets[service]
	if w == nil {
		w = budget.NewRetryWindow(n.cfg.Policies.retryBudget(n.tuning.Load().Retries))
		w.SetNodeCount(len(n.dir.View().All()))
		n.retryBudgets[service] = w
	}
	return w
}

// shareRetryBudgets tells the retry budgets how many nodes share them.
func (n *Node) shareRetryBudgets(nodes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.retryBudgets {
		w.SetNodeCount(nodes)
	}
}
