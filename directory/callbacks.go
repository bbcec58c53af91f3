package directory

// callbacks holds the functions to be called with every view, and the views that
// they have not been called with yet.
type callbacks struct {
	fns     []func(*View)
	pending []*View // oldest first
	calling bool    // a goroutine is calling fns
}

// OnChange registers f to be called with every new view, in order. Calls do not
// overlap, are made without a lock held and may go on after the change that
// caused them has returned. It is safe for concurrent use.
func (d *Directory) OnChange(f func(*View)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callbacks.fns = append(d.callbacks.fns, f)
}

// unlock unlocks d.mu and calls the callbacks with the pending views, unless
// another goroutine is doing so, which then takes these too. A callback takes
// locks whose holders may ask the Directory; called with d.mu held, the two
// would wait for each other, and the node would answer nothing any more.
func (d *Directory) unlock() {
	defer d.mu.Unlock()
	if d.callbacks.calling {
		return
	}
	d.callbacks.calling = true
	defer func() { d.callbacks.calling = false }()
	for len(d.callbacks.pending) > 0 {
		d.callPending()
	}
}

// callPending calls the callbacks with the pending views, with d.mu unlocked
// meanwhile.
func (d *Directory) callPending() {
	views, fns := d.callbacks.pending, d.callbacks.fns
	d.callbacks.pending = nil
	d.mu.Unlock()
	defer d.mu.Lock()
	for _, v := range views {
		for _, f := range fns {
			f(v)
		}
	}
}
