package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/targetconn"
	"github.com/oatpin/oatpin/vouch"
	"github.com/oatpin/oatpin/wire"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// vouchOperation asks the node of an instance whether it vouches for the
	// instance, that is, confirms that it is still in service although its
	// directory entry was removed. The request body is the
	// directory.Incarnation.
	vouchOperation = "instance.vouch"
	// vouchTimeout bounds one request, including the check at the other node.
	vouchTimeout = vouch.CheckTimeout + 150*time.Millisecond
)

var (
	// errNoSource is returned by a node without a directory source.
	errNoSource = eris.New("no directory source")
	// errOtherEra is returned if the directory source answers in another era
	// than that of the state held.
	errOtherEra = eris.New("directory source is in another era")
)

// pendingQueries holds the unlisted instances whose nodes are being queried.
// Safe for concurrent use.
type pendingQueries struct {
	mu      sync.Mutex
	pending map[directory.Incarnation]bool
}

// begin marks an incarnation as pending and reports whether it was not pending
// before.
func (p *pendingQueries) begin(incarnation directory.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending[incarnation] {
		return false
	}
	p.pending[incarnation] = true
	return true
}

func (p *pendingQueries) end(incarnation directory.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, incarnation)
}

// queryUnlisted queries the nodes of unlisted instances, whose directory
// entries were removed. It skips instances that the balancer has not
// considered, which limits the queries in large deployments.
func (n *Node) queryUnlisted(v *directory.View) {
	if !n.cfg.Policies.Vouch {
		return
	}
	for _, in := range v.All() {
		if in.Unlisted && (in.Addr == n.cfg.TargetAddr || n.balancer.HasState(in.Incarnation())) && n.vouchQueries.begin(in.Incarnation()) {
			go n.trackUnlisted(in)
		}
	}
}

// trackUnlisted queries the node of an unlisted instance periodically until
// the instance is listed or removed.
func (n *Node) trackUnlisted(in directory.Instance) {
	defer n.vouchQueries.end(in.Incarnation())
	t := time.NewTicker(vouch.RenewInterval)
	defer t.Stop()
	for {
		switch vouched, err := n.requestVouch(in); {
		case err != nil:
			n.decisions.Log("vouch_not_heard", func() log.Fields { return log.Fields{"instance": in.ID, "error": err.Error()} })
		case vouched:
			n.dir.ConfirmUnlisted(in.Incarnation(), time.Now().Add(vouch.TTL))
		default:
			n.dir.DropUnlisted(in.Incarnation())
		}
		select {
		case <-n.stop:
			return
		case <-t.C:
		}
		if current, ok := n.dir.View().Find(in.ID); !ok || !current.Unlisted || current.Started != in.Started {
			return
		}
	}
}

// requestVouch reports whether the node of an instance vouches for it. An
// error means that the node could not be reached or could not answer.
func (n *Node) requestVouch(in directory.Instance) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), vouchTimeout)
	defer cancel()
	if in.Addr == n.cfg.TargetAddr {
		return n.vouch(ctx, in.Incarnation()), nil
	}
	peer, err := n.peerFor(in)
	if err != nil {
		return false, err
	}
	body, err := msgpack.Marshal(in.Incarnation())
	if err != nil {
		return false, eris.Wrap(err, "encode start")
	}
	conn, err := n.peers.Get(ctx, peer)
	if err != nil {
		return false, err
	}
	r := call.Request{ID: call.RequestID(vouchOperation + "." + string(in.ID)), Operation: vouchOperation, Body: body, Remaining: vouchTimeout}
	a, err := conn.Call(ctx, r, n.revision())
	if err != nil {
		return false, err
	}
	switch a.Status {
	case call.OK:
		return true, nil
	case call.NotRun:
		return false, nil
	}
	return false, eris.New(a.Reason)
}

// serveVouch handles vouchOperation.
func (n *Node) serveVouch(ctx context.Context, r call.Request) call.Answer {
	var incarnation directory.Incarnation
	if err := msgpack.Unmarshal(r.Body, &incarnation); err != nil {
		return n.malformedAnswer(r, err)
	}
	if !n.vouch(ctx, incarnation) {
		return call.Refuse(r, "not vouched for", 0)
	}
	return call.Answer{ID: r.ID, Status: call.OK}
}

// vouch reports whether this node vouches for the local instance. A draining
// node does not, because it will not be there to revoke it, and none does for an
// instance that has stated that it leaves.
func (n *Node) vouch(ctx context.Context, incarnation directory.Incarnation) bool {
	if _, draining := n.drainingSince(); draining || n.dir.HasStatedLeaving(incarnation) {
		return false
	}
	vouched := n.vouchChecker.Vouch(ctx, incarnation)
	if n.lastVouch.Swap(vouched) != vouched {
		n.log.WithFields(log.Fields{"instance": incarnation.ID, "started": incarnation.At, "word": vouched}).Info("vouch_changed")
	}
	return vouched
}

// listed asks the directory source whether an instance is listed. A source that
// has just been restored may not list a live instance yet, so its word counts
// only once this node has its state and knows when the restore was.
func (n *Node) listed(ctx context.Context, id directory.InstanceID) (bool, error) {
	if n.cfg.Source == nil {
		return false, errNoSource
	}
	listed, era, err := n.cfg.Source.Listed(ctx, id)
	if held := n.dir.Revision().Era(); err == nil && era != held {
		return false, eris.Wrapf(errOtherEra, "answered in era %d, held %d", era, held)
	}
	return listed, err
}

// probe sends a health check to the local target over the pool used for
// requests. A target that refuses it for overload yields vouch.StatusUnknown.
func (n *Node) probe(ctx context.Context, in directory.Instance) vouch.ServingStatus {
	path := n.dir.View().HealthPath(in.Service)
	if path == "" {
		return vouch.StatusUnknown
	}
	began := directory.UnixMilli(time.Now().UnixMilli())
	resp, err := n.target.Do(ctx, &targetconn.Request{Method: http.MethodGet, Host: n.cfg.TargetAddr, URI: path})
	if err == nil {
		resp.Held.Release()
	}
	switch {
	case errors.Is(err, targetconn.ErrConnRefused):
		n.vouchChecker.RecordExit(began)
		return vouch.NotServing
	case err != nil && ctx.Err() == nil:
		return vouch.NotServing
	case err != nil, resp.Header.Get(n.cfg.Headers.NotExecuted) != "":
		return vouch.StatusUnknown
	case resp.Code == http.StatusOK && resp.Header.Get(n.cfg.Headers.Instance) == string(in.ID):
		return vouch.Serving
	}
	return vouch.NotServing
}

// peerFor returns the node next to an instance.
func (n *Node) peerFor(in directory.Instance) (wire.Peer, error) {
	host, _, err := net.SplitHostPort(in.Addr)
	if err != nil {
		return wire.Peer{}, eris.Wrapf(err, "instance address %s", in.Addr)
	}
	return wire.Peer{Name: string(in.ID), Addr: net.JoinHostPort(host, n.peerPort)}, nil
}
