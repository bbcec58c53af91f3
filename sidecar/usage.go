package sidecar

import (
	"context"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/account"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/replication"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// usageOperation reports the requests that a node admitted for accounts with
// rate limits. The request body is an account.Report, the response body
// account.Quotas.
const usageOperation = "account.usage"

// newExchange returns the exchange that shares account usage between nodes.
// The nodes that rank highest in their data centres collect the reports; every
// node knows which they are.
func (n *Node) newExchange() *account.Exchange {
	return account.NewExchange(account.ExchangeConfig{
		Self: account.Source(n.syncer.Self()), DC: account.Source(n.cfg.DC),
		Registry: n.accountRegistry, Collectors: n.collectors, Send: n.reportUsage,
		OnError: func(addr account.Source, err error) {
			n.decisions.Log("usage_not_told", func() log.Fields { return log.Fields{"peer": addr, "error": err.Error()} })
		},
	}, n.limiter)
}

// accountRegistry returns the accounts of the current routes; nil for none.
func (n *Node) accountRegistry() *account.Registry {
	if r := n.dir.View().Routes; r != nil {
		return r.Accounts
	}
	return nil
}

// collectors returns the addresses of the nodes that collect usage reports, in
// this data centre and in each other one, and the number of all nodes.
func (n *Node) collectors() (own []account.Source, others [][]account.Source, total int) {
	localAddrs, remoteAddrs, total := n.syncer.Collectors()
	for _, dc := range remoteAddrs {
		others = append(others, accountSources(dc))
	}
	return accountSources(localAddrs), others, total
}

// accountSources converts node addresses to sources of usage reports.
func accountSources(addrs []replication.Addr) []account.Source {
	out := make([]account.Source, 0, len(addrs))
	for _, a := range addrs {
		out = append(out, account.Source(a))
	}
	return out
}

// reportUsage sends a usage report to a collector and returns its reply.
func (n *Node) reportUsage(ctx context.Context, addr account.Source, r account.Report) ([]account.Quota, error) {
	body, err := msgpack.Marshal(r)
	if err != nil {
		return nil, eris.Wrap(err, "encode usage")
	}
	a, err := n.callNode(ctx, replication.Addr(addr), usageOperation, body)
	if err != nil {
		return nil, err
	}
	var reply account.Quotas
	err = msgpack.Unmarshal(a.Body, &reply)
	return reply.Entries, eris.Wrap(err, "decode quotas")
}

// serveUsage handles usageOperation. A draining node refuses reports, because
// the counts would be lost with it.
func (n *Node) serveUsage(r call.Request) call.Answer {
	if _, draining := n.drainingSince(); draining {
		return call.Refuse(r, "node is leaving", 0)
	}
	var received account.Report
	if err := msgpack.Unmarshal(r.Body, &received); err != nil {
		return n.malformedAnswer(r, err)
	}
	body, err := msgpack.Marshal(account.Quotas{Entries: n.exchange.HandleReport(received)})
	if err != nil {
		n.log.WithError(err).Error("standings_not_encoded")
		return call.Refuse(r, err.Error(), 0)
	}
	return call.Answer{ID: r.ID, Status: call.OK, Body: body}
}
