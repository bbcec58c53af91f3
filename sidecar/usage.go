package sidecar

import (
	"context"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/account"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/membership"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// usageOperation tells a node what another let in of accounts with limits; the
// body is an account.Report, the answer's account.Standings.
const usageOperation = "account.usage"

// newExchange keeps the node's limiter up to date. The nodes that read the
// source for their data centres collect: all know the same ones.
func (n *Node) newExchange() *account.Exchange {
	return account.NewExchange(account.ExchangeConfig{
		Self: account.Source(n.member.Self()), DC: account.Source(n.cfg.DC),
		Book: n.accounts, Nodes: n.collectors, Tell: n.tellUsage,
		Failed: func(at account.Source, err error) {
			n.note.Note("usage_not_told", func() log.Fields { return log.Fields{"peer": at, "error": err.Error()} })
		},
	}, n.limiter)
}

// accounts are those of the version in force; nil for none.
func (n *Node) accounts() *account.Book {
	if r := n.dir.View().Routes; r != nil {
		return r.Accounts
	}
	return nil
}

func (n *Node) collectors() (own []account.Source, others [][]account.Source, total int) {
	near, far, total := n.member.Collectors()
	for _, dc := range far {
		others = append(others, sources(dc))
	}
	return sources(near), others, total
}

func sources(of []membership.Addr) []account.Source {
	out := make([]account.Source, 0, len(of))
	for _, a := range of {
		out = append(out, account.Source(a))
	}
	return out
}

func (n *Node) tellUsage(ctx context.Context, at account.Source, r account.Report) ([]account.Standing, error) {
	body, err := msgpack.Marshal(r)
	if err != nil {
		return nil, eris.Wrap(err, "encode usage")
	}
	a, err := n.callNode(ctx, membership.Addr(at), usageOperation, body)
	if err != nil {
		return nil, err
	}
	var told account.Standings
	err = msgpack.Unmarshal(a.Body, &told)
	return told.Of, eris.Wrap(err, "decode standings")
}

// serveUsage takes in what another node let in. A node that stops says so: its
// counts would go with it.
func (n *Node) serveUsage(r call.Request) call.Answer {
	if _, leaving := n.leavingSince(); leaving {
		return call.Refuse(r, "node is leaving", 0)
	}
	var told account.Report
	if err := msgpack.Unmarshal(r.Body, &told); err != nil {
		return n.notUnderstood(r, err)
	}
	body, err := msgpack.Marshal(account.Standings{Of: n.exchange.Take(told)})
	if err != nil {
		n.log.WithError(err).Error("standings_not_encoded")
		return call.Refuse(r, err.Error(), 0)
	}
	return call.Answer{ID: r.ID, Status: call.OK, Body: body}
}
