package sidecar

import "github.com/oatpin/oatpin/budget"

// Tune puts a new tuning in force; the bounds on repeats begin anew.
func (n *Node) Tune(t Tuning) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tuning.Store(&t)
	n.windows = map[string]*budget.Window{}
}

// window returns the bound on repeats to a service.
func (n *Node) window(service string) *budget.Window {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.windows[service]
	if w == nil {
		w = budget.NewWindow(n.cfg.Policies.repeats(n.tuning.Load().Repeats))
		n.windows[service] = w
	}
	return w
}
