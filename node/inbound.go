package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/oatpin/oatpin/budget"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/filter"
)

// hopKey is the context key under which callTarget finds the call's hop.
type hopKey struct{}

// servePeer serves a call that came from another node.
func (n *Node) servePeer(ctx context.Context, r call.Request) call.Answer {
	return n.serveLocal(ctx, r)
}

// serveLocal runs a call for the local target through the filter chain. The
// answer says how many retries were spent below this hop.
func (n *Node) serveLocal(ctx context.Context, r call.Request) call.Answer {
	g := n.graph.Load()
	var op *callgraph.Operation
	if g != nil {
		op = g.Operation(callgraph.Ref{Service: r.Service, Operation: r.Operation})
	}
	if op == nil {
		return call.Refuse(r, ErrUnknownOperation.Error(), filter.MinRetryAfter)
	}
	if r.Service != n.service() || (r.To != "" && r.To != n.cfg.Settings.Instance) {
		// The sender's text is older than the reuse of this address. An
		// operation of the same name would answer for the wrong service, and
		// declining a key would speak for the instance that was here.
		return call.Refuse(r, ErrMisrouted.Error(), filter.MinRetryAfter)
	}
	hop := budget.Hop(string(r.ID) + "/" + strconv.FormatUint(n.hops.Add(1), 36))
	n.ledger.Open(hop, r.Budget)
	ctx = context.WithValue(detach(ctx, op), hopKey{}, hop)
	a := n.local.Serve(ctx, &filter.Call{Request: &r, Op: op})
	a.RetriesUsed = r.Budget - n.ledger.Close(hop)
	n.stats.answered("local", op.Class, a.Status)
	return a
}

// callTarget sends a call that passed the chain to the local target over
// HTTP. A call that could not be sent is NotRun; one that was sent and got
// no answer is Unknown.
func (n *Node) callTarget(ctx context.Context, c *filter.Call) call.Answer {
	r := c.Request
	url := n.cfg.Settings.Target + "/v1/" + r.Operation
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.Body))
	if err != nil {
		return call.Refuse(*r, err.Error(), 0)
	}
	call.WriteHeaders(req.Header, *r)
	hideKey(req.Header)
	if hop, ok := ctx.Value(hopKey{}).(budget.Hop); ok {
		req.Header.Set(call.HeaderHop, string(hop))
	}
	resp, err := n.client.Do(req)
	if err != nil {
		if isDialError(err) {
			return call.Refuse(*r, "target unreachable", filter.MinRetryAfter)
		}
		return call.Answer{ID: r.ID, Status: call.Unknown, Reason: "target: " + err.Error()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return call.Answer{ID: r.ID, Status: call.Unknown, Reason: "target answer cut: " + err.Error()}
	}
	a := call.Answer{ID: r.ID, Body: body}
	switch {
	case resp.StatusCode == http.StatusOK:
		a.Status = call.OK
	case resp.Header.Get(call.HeaderStatus) == string(call.NotRun):
		a.Status = call.NotRun
		a.Reason = resp.Header.Get(call.HeaderReason)
		a.RetryAfter = retryAfter(resp.Header)
		a.Leaving = resp.Header.Get(call.HeaderLeaving) == "true"
		a.Declined = a.Leaving && !c.Op.Idempotent
	default:
		a.Status = call.Failed
		a.Reason = resp.Status
	}
	return a
}

// hideKey writes the idempotency key's header in lower case, which servers
// read all the same. The HTTP transport sends a request with an
// Idempotency-Key again by itself when a reused connection breaks before an
// answer; the target may have run the first, so an approval would run twice.
// The transport looks for the canonical name only.
func hideKey(h http.Header) {
	if v, ok := h[call.HeaderKey]; ok {
		delete(h, call.HeaderKey)
		h[strings.ToLower(call.HeaderKey)] = v
	}
}

// isDialError reports whether err happened before anything was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
