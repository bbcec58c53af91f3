package sidecar

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/wire"
)

const (
	// snapshotOperation asks a node for all it knows of the deployment.
	snapshotOperation = "directory.snapshot"
	// catchUpAfter is how long a node that hears of a newer revision waits
	// for its own watch to tell it: all watches hear of a change within
	// milliseconds, and asking each other then would be for nothing.
	catchUpAfter = 300 * time.Millisecond
	// catchUpWait bounds asking another node.
	catchUpWait = time.Second
	// seedAfter is how long a starting node waits for the source before it
	// asks the seeds, and seedEvery how often it asks again: its VM is of no
	// use until it knows its routes.
	seedAfter = 300 * time.Millisecond
	seedEvery = 300 * time.Millisecond
)

// heardRevision is told the revision that a peer's answer carries. A source
// that lost a change, or does not answer this node while it answers others,
// shows as a peer that stays ahead.
func (n *Node) heardRevision(p wire.Peer, rev uint64) {
	if directory.Revision(rev) <= n.dir.Revision() || !n.catching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.catching.Store(false)
		select {
		case <-n.stop:
			return
		case <-time.After(catchUpAfter):
		}
		if directory.Revision(rev) <= n.dir.Revision() {
			return
		}
		if err := n.catchUp(p); err != nil {
			n.log.WithField("peer", p.Addr).WithError(err).Warn("catch_up_failed")
		}
	}()
}

// askSeeds lets a node that starts while the source does not answer it learn
// the routes and instances from another node.
func (n *Node) askSeeds() {
	wait := seedAfter
	for i := 0; len(n.cfg.Seeds) > 0; i++ {
		select {
		case <-n.stop:
			return
		case <-time.After(wait):
		}
		if n.dir.Listed() {
			return
		}
		seed := n.cfg.Seeds[i%len(n.cfg.Seeds)]
		if err := n.catchUp(wire.Peer{Addr: seed}); err != nil {
			n.note.Note("seed_failed", func() log.Fields { return log.Fields{"seed": seed, "error": err.Error()} })
		}
		wait = seedEvery
	}
}

// catchUp takes over what a peer knows.
func (n *Node) catchUp(p wire.Peer) error {
	ctx, cancel := context.WithTimeout(context.Background(), catchUpWait)
	defer cancel()
	conn, err := n.peers.Get(ctx, p)
	if err != nil {
		return err
	}
	a, err := conn.Call(ctx, call.Request{ID: snapshotOperation, Operation: snapshotOperation, Remaining: catchUpWait}, uint64(n.dir.Revision()))
	if err != nil {
		return err
	}
	s, err := directory.Decode(a.Body)
	if err != nil {
		return err
	}
	from := n.dir.Revision()
	if n.dir.CatchUp(s) {
		n.log.WithFields(log.Fields{"peer": p.Addr, "from": from, "to": s.Revision}).Info("caught_up")
	}
	return nil
}

// serveSnapshot answers another node's question for all that is known here.
func (n *Node) serveSnapshot(r call.Request) call.Answer {
	b, err := directory.Encode(n.dir.Snapshot())
	if err != nil {
		n.log.WithError(err).Error("snapshot_not_encoded")
		return call.Refuse(r, err.Error(), 0)
	}
	return call.Answer{ID: r.ID, Status: call.OK, Body: b}
}
