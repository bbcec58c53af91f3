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

// hopContextKey is the context key of the budget hop, read by callTarget.
type hopContextKey struct{}

// servePeer handles a call received from another node.
func (n *Node) servePeer(ctx context.Context, r call.Request) call.Answer {
	return n.serveLocal(ctx, r)
}

// serveLocal runs a call for the local target through the filter chain.
// RetriesUsed of the answer is the number of retries spent below this hop.
func (n *Node) serveLocal(ctx context.Context, r call.Request) call.Answer {
	g := n.graph.Load()
	var op *callgraph.Operation
	if g != nil {
		op = g.Operation(callgraph.Ref{Service: r.Service, Operation: r.Operation})
	}
	if op == nil {
		return call.Refuse(r, ErrUnknownOperation.Error(), filter.MinRetryAfter)
	}
	if r.Service != n.localService() || (r.To != "" && r.To != n.cfg.Settings.Instance) {
		// The sender's configuration predates the reassignment of this
		// address. Not Declined: this node cannot answer for the instance
		// that had the address.
		return call.Refuse(r, ErrMisrouted.Error(), filter.MinRetryAfter)
	}
	hop := budget.Hop(string(r.ID) + "/" + strconv.FormatUint(n.hopSeq.Add(1), 36))
	n.budgets.Open(hop, r.RetryBudget)
	ctx = context.WithValue(detach(ctx, op), hopContextKey{}, hop)
	a := n.localChain.Serve(ctx, &filter.Call{Request: &r, Op: op})
	a.RetriesUsed = r.RetryBudget - n.budgets.Close(hop)
	n.stats.countAnswer("local", op.Class, a.Status)
	return a
}

// callTarget sends a call to the local target over HTTP. The answer is NotRun
// if no connection could be made and Unknown if the call was sent but not
// answered.
func (n *Node) callTarget(ctx context.Context, c *filter.Call) call.Answer {
	r := c.Request
	url := n.cfg.Settings.Target + "/v1/" + r.Operation
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.Body))
	if err != nil {
		return call.Refuse(*r, err.Error(), 0)
	}
	call.WriteHeaders(req.Header, *r)
	lowercaseKeyHeader(req.Header)
	if hop, ok := ctx.Value(hopContextKey{}).(budget.Hop); ok {
		req.Header.Set(call.HeaderHop, string(hop))
	}
	resp, err := n.client.Do(req)
	if err != nil {
		if isDialError(err) {
			return call.Refuse(*r, "target unreachable", filter.MinRetryAfter)
		}
		return call.Answer{ID: r.ID, Status: call.Unknown, Reason: call.Shorten("target: " + err.Error())}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return call.Answer{ID: r.ID, Status: call.Unknown, Reason: call.Shorten("target answer cut: " + err.Error())}
	}
	a := call.Answer{ID: r.ID, Body: body}
	switch {
	case resp.StatusCode == http.StatusOK:
		a.Status = call.OK
	case resp.Header.Get(call.HeaderStatus) == string(call.NotRun):
		a.Status = call.NotRun
		a.Reason = resp.Header.Get(call.HeaderReason)
		a.RetryAfter = parseRetryAfter(resp.Header)
		a.Leaving = resp.Header.Get(call.HeaderLeaving) == "true"
		a.Declined = a.Leaving && !c.Op.Idempotent
	default:
		a.Status = call.Failed
		a.Reason = resp.Status
	}
	return a
}

// lowercaseKeyHeader rewrites the Idempotency-Key header name in lower case.
// net/http resends a request with this header when a reused connection
// breaks, which could run a non-idempotent call twice; it checks the
// canonical name only, while servers ignore case.
func lowercaseKeyHeader(h http.Header) {
	if v, ok := h[call.HeaderIdempotencyKey]; ok {
		delete(h, call.HeaderIdempotencyKey)
		h[strings.ToLower(call.HeaderIdempotencyKey)] = v
	}
}

// isDialError reports whether err occurred while connecting, before anything
// was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
