package sidecar

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/membership"
	"github.com/oatpin/oatpin/message"
	"github.com/oatpin/oatpin/quarantine"
	"github.com/oatpin/oatpin/wire"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// sinceOperation asks a node for what it knows beyond a revision; the
	// body is a question, the answer's a directory.Delta.
	sinceOperation = "directory.since"
	// catchUpAfter is how long a node that hears of a newer revision waits
	// for its reader to tell it: all nodes hear of a change within
	// milliseconds, and asking each other then would be for nothing.
	catchUpAfter = 300 * time.Millisecond
	// answerTime is how long the answer to a question may take beyond the
	// time that it may wait: a list of a thousand instances is encoded and
	// decoded in some milliseconds, on a busy VM in some tens.
	answerTime = 500 * time.Millisecond
	// mostWait bounds how long a node holds another one's question.
	mostWait = 5 * time.Second
)

// errNothingKnown is returned for a node that has not read a list yet, or is
// stopping.
var errNothingKnown = eris.New("node has nothing to tell")

// question is what a node asks another about the directory.
type question struct {
	_msgpack struct{} `msgpack:",as_array"`
	After    directory.Revision
	Wait     time.Duration // for something newer
	// Told is how much of the other's book of quarantined requests was told
	// before; nil from a node that keeps none.
	Told *quarantine.Cursor
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (q *question) DecodeMsgpack(d *msgpack.Decoder) error {
	*q = question{}
	return message.Decode(d, (*uint64)(&q.After), &q.Wait, &q.Told)
}

// heardRevision is told the revision that a peer's answer carries. A source
// that lost a change, or a reader that it does not answer while it answers
// others, shows as a peer that stays ahead.
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
		from := n.dir.Revision()
		if directory.Revision(rev) <= from {
			return
		}
		x, err := n.Since(context.Background(), membership.Addr(p.Addr), from, 0)
		if err != nil {
			n.note.Note("catch_up_failed", func() log.Fields { return log.Fields{"peer": p.Addr, "error": err.Error()} })
			return
		}
		if n.dir.Learn(x) {
			n.note.Note("caught_up", func() log.Fields { return log.Fields{"peer": p.Addr, "from": from, "to": x.Revision} })
		}
	}()
}

// Since implements membership.Peers.
func (n *Node) Since(ctx context.Context, at membership.Addr, after directory.Revision, wait time.Duration) (directory.Delta, error) {
	var none directory.Delta
	body, err := msgpack.Marshal(question{After: after, Wait: wait, Told: n.heard.from(at)})
	if err != nil {
		return none, eris.Wrap(err, "encode question")
	}
	conn, err := n.dial(ctx, wire.Peer{Addr: string(at)})
	if err != nil {
		return none, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	a, err := conn.Call(ctx, call.Request{ID: sinceOperation, Operation: sinceOperation, Body: body, Remaining: wait + answerTime}, n.revision())
	if err != nil {
		return none, err
	}
	if a.Status != call.OK {
		return none, eris.Wrap(errNothingKnown, a.Reason)
	}
	n.hear(at, a.News)
	x, err := directory.Decode(a.Body)
	if err != nil {
		n.stats.misread()
	}
	return x, err
}

// dial returns the connection to a peer, for a question of this node's own.
func (n *Node) dial(ctx context.Context, p wire.Peer) (*wire.Conn, error) {
	return n.peers.GetWithin(ctx, p, dialPatience)
}

// serveSince answers another node's question about the directory, at once
// when this node stops.
func (n *Node) serveSince(ctx context.Context, r call.Request) call.Answer {
	var q question
	if err := msgpack.Unmarshal(r.Body, &q); err != nil {
		return n.notUnderstood(r, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.staying, cancel)()
	n.member.Wanted()
	if q.Told != nil {
		go cancelOn(ctx, n.book.News(*q.Told), cancel)
	}
	x := n.dir.Await(ctx, q.After, min(q.Wait, mostWait))
	if _, leaving := n.leavingSince(); leaving || !n.dir.Listed() {
		return call.Refuse(r, errNothingKnown.Error(), 0)
	}
	b, err := directory.Encode(x)
	if err != nil {
		n.log.WithError(err).Error("delta_not_encoded")
		return call.Refuse(r, err.Error(), 0)
	}
	return call.Answer{ID: r.ID, Status: call.OK, Body: b, News: n.newsFor(q.Told)}
}

// notUnderstood answers a node's question that cannot be decoded; nothing is
// changed by it.
func (n *Node) notUnderstood(r call.Request, err error) call.Answer {
	n.stats.misread()
	n.note.Note("question_not_understood", func() log.Fields {
		return log.Fields{"operation": r.Operation, "error": err.Error()}
	})
	return call.Answer{ID: r.ID, Status: call.Failed, Reason: "not understood: " + err.Error()}
}
