package sidecar

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/message"
	"github.com/oatpin/oatpin/quarantine"
	"github.com/oatpin/oatpin/replication"
	"github.com/oatpin/oatpin/wire"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// sinceOperation requests directory changes after a revision. The request
	// body is a deltaRequest, the response body a directory.Delta.
	sinceOperation = "directory.since"
	// catchUpDelay is how long a node that learns of a newer revision waits
	// for the change to arrive from its reader (the node that it long-polls
	// for the directory), so that nodes do not all query each other on every
	// change.
	catchUpDelay = 300 * time.Millisecond
	// answerTimeout is the time allowed for a node operation, in addition to any
	// long-poll wait. A list of a thousand instances takes milliseconds to encode
	// and decode, and tens of them on a busy VM.
	answerTimeout = 500 * time.Millisecond
	// maxPollWait bounds the long-poll wait of another node's request.
	maxPollWait = 5 * time.Second
)

// errNoDirectory is returned by a node that has not loaded the directory yet
// or is shutting down.
var errNoDirectory = eris.New("node has nothing to tell")

// deltaRequest is the body of a directory.since operation. The order of its
// fields is the wire format.
type deltaRequest struct {
	_msgpack struct{} `msgpack:",as_array"`
	After    directory.Revision
	Wait     time.Duration // long-poll limit
	// The position up to which the sender has received the peer's quarantine
	// records; nil from a node that keeps none.
	Cursor *quarantine.Cursor
	// The version of the routes that the sender holds; 0 for none, and from a node
	// of the former version.
	Routes callgraph.Version
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (req *deltaRequest) DecodeMsgpack(d *msgpack.Decoder) error {
	*req = deltaRequest{}
	return message.DecodeArray(d, (*uint64)(&req.After), &req.Wait, &req.Cursor, (*uint64)(&req.Routes))
}

func (req *deltaRequest) position() directory.Position {
	return directory.Position{Revision: req.After, Routes: req.Routes}
}

// onPeerRevision handles the directory revision in a peer's response. If the
// peer stays ahead of this node, the missing changes are fetched from it.
// This covers a directory source that loses a change and a reader that cannot
// reach the source.
func (n *Node) onPeerRevision(p wire.Peer, rev uint64) {
	if directory.Revision(rev) <= n.dir.Revision() || !n.catchingUp.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.catchingUp.Store(false)
		select {
		case <-n.stop:
			return
		case <-time.After(catchUpDelay):
		}
		from := n.dir.Revision()
		if directory.Revision(rev) <= from {
			return
		}
		delta, err := n.Since(context.Background(), replication.Addr(p.Addr), n.dir.Position(), 0)
		if err != nil {
			n.decisions.Log("catch_up_failed", func() log.Fields { return log.Fields{"peer": p.Addr, "error": err.Error()} })
			return
		}
		if n.dir.ApplyDelta(delta) {
			n.decisions.Log("caught_up", func() log.Fields { return log.Fields{"peer": p.Addr, "from": from, "to": delta.Revision} })
		}
	}()
}

// Since implements replication.Peers.
func (n *Node) Since(ctx context.Context, addr replication.Addr, p directory.Position, wait time.Duration) (directory.Delta, error) {
	var none directory.Delta
	body, err := msgpack.Marshal(deltaRequest{After: p.Revision, Wait: wait, Cursor: n.peerCursors.get(addr), Routes: p.Routes})
	if err != nil {
		return none, eris.Wrap(err, "encode directory request")
	}
	conn, err := n.dial(ctx, wire.Peer{Addr: string(addr)})
	if err != nil {
		return none, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	a, err := conn.Call(ctx, call.Request{ID: sinceOperation, Operation: sinceOperation, Body: body, Remaining: wait + answerTimeout}, n.revision())
	if err != nil {
		return none, err
	}
	if a.Status != call.OK {
		return none, eris.Wrap(errNoDirectory, a.Reason)
	}
	n.applyUpdate(addr, a.Piggyback)
	delta, err := directory.Decode(a.Body)
	if err != nil {
		n.stats.countDecodeError()
	}
	delta.Peer = string(addr)
	if len(delta.Invalid) > 0 {
		n.decisions.Log("peer_instances_refused", func() log.Fields { return log.Fields{"peer": addr, "instances": len(delta.Invalid)} })
	}
	return delta, err
}

// dial returns a connection to a peer for a node operation.
func (n *Node) dial(ctx context.Context, p wire.Peer) (*wire.Conn, error) {
	return n.peers.GetTimeout(ctx, p, dialWait)
}

// serveSince handles sinceOperation. A pending long poll returns immediately
// when the node begins to shut down.
func (n *Node) serveSince(ctx context.Context, r call.Request) call.Answer {
	var req deltaRequest
	if err := msgpack.Unmarshal(r.Body, &req); err != nil {
		return n.malformedAnswer(r, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.untilDrain, cancel)()
	n.syncer.PeerPolled()
	if req.Cursor != nil {
		go cancelOnUpdate(ctx, n.quarantine.Watch(*req.Cursor), cancel)
	}
	delta := n.dir.Await(ctx, req.position(), min(req.Wait, maxPollWait))
	if _, draining := n.drainingSince(); draining || !n.dir.HasSnapshot() {
		return call.Refuse(r, errNoDirectory.Error(), 0)
	}
	b, err := directory.Encode(delta)
	if err != nil {
		n.log.WithError(err).Error("delta_not_encoded")
		return call.Refuse(r, err.Error(), 0)
	}
	return call.Answer{ID: r.ID, Status: call.OK, Body: b, Piggyback: n.encodeUpdate(req.Cursor)}
}

// malformedAnswer returns the response to an operation whose body cannot be
// decoded.
func (n *Node) malformedAnswer(r call.Request, err error) call.Answer {
	n.stats.countDecodeError()
	n.decisions.Log("question_not_understood", func() log.Fields {
		return log.Fields{"operation": r.Operation, "error": err.Error()}
	})
	return call.Answer{ID: r.ID, Status: call.Failed, Reason: "not understood: " + err.Error()}
}
