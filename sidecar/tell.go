package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/membership"
	"github.com/oatpin/oatpin/quarantine"
	"github.com/oatpin/oatpin/wire"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// endsOperation tells a node of instances that ended under requests; the
	// body is a quarantine.Report.
	endsOperation = "quarantine.ends"
	// gatherEnds is how long a node gathers what it tells: an instance ends
	// under a hundred requests in the same moment. A caller is back with its
	// request ten milliseconds after its answer, and what it ended is to be
	// known by then.
	gatherEnds = time.Millisecond
	// gatherNews is the same for who asked, if none of it is urgent: answers
	// clear most of those requests again, a few at a time.
	gatherNews = 20 * time.Millisecond
	// tellTries and tellPause bound the telling of one node; who is not told
	// asks another that was, within a second.
	tellTries = 3
	tellPause = 300 * time.Millisecond
)

// errNotTaken is returned where a node does not take over what it is told.
var errNotTaken = eris.New("report not taken")

type (
	// telling gathers the requests of which other nodes are to be told.
	telling struct {
		mu    sync.Mutex
		these []quarantine.Fingerprint
	}

	// heard is how much the books of other nodes have told.
	heard struct {
		mu   sync.Mutex
		upTo map[membership.Addr]quarantine.Cursor
	}
)

// tell lets other nodes know what this one has found out about a request. It
// tells those that read the source for their data centres, which all others
// ask anyway: their questions are answered at once when there is news.
func (n *Node) tell(fs ...quarantine.Fingerprint) {
	t := &n.telling
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.these) == 0 && len(fs) > 0 {
		time.AfterFunc(gatherEnds, n.tellGathered)
	}
	t.these = append(t.these, fs...)
}

func (n *Node) tellGathered() {
	t := &n.telling
	t.mu.Lock()
	these := t.these
	t.these = nil
	t.mu.Unlock()
	body := n.report(n.book.Of(these))
	for _, at := range n.member.AllReaders() {
		go n.tellOne(at, body)
	}
}

func (n *Node) tellOne(at membership.Addr, body []byte) {
	var err error
	for range tellTries {
		if err = n.tellOnce(at, body); err == nil {
			return
		}
		select {
		case <-n.stop:
			return
		case <-time.After(tellPause):
		}
	}
	n.note.Note("ends_not_told", func() log.Fields { return log.Fields{"peer": at, "error": err.Error()} })
}

func (n *Node) tellOnce(at membership.Addr, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	a, err := n.callNode(ctx, at, endsOperation, body)
	if err != nil {
		return err
	}
	told, err := readReport(a.News)
	if err == nil {
		n.tell(n.book.Learn(told)...)
	}
	return err
}

// callNode hands a node something of this node's own; one that does not take it
// is errNotTaken.
func (n *Node) callNode(ctx context.Context, at membership.Addr, operation string, body []byte) (call.Answer, error) {
	conn, err := n.dial(ctx, wire.Peer{Addr: string(at)})
	if err != nil {
		return call.Answer{}, err
	}
	a, err := conn.Call(ctx, call.Request{ID: call.RequestID(operation), Operation: operation, Body: body, Remaining: answerTime}, n.revision())
	if err == nil && a.Status != call.OK {
		err = eris.Wrap(errNotTaken, a.Reason)
	}
	return a, err
}

// serveEnds takes over what another node tells, and answers with what is known
// here of the same requests: a data centre that was cut off knows of ends that
// the others have not heard of.
func (n *Node) serveEnds(r call.Request) call.Answer {
	told, err := readReport(r.Body)
	if err != nil {
		return n.notUnderstood(r, err)
	}
	n.book.Learn(told)
	return call.Answer{ID: r.ID, Status: call.OK, News: n.report(n.book.Of(told.Of()))}
}

func readReport(b []byte) (quarantine.Report, error) {
	var r quarantine.Report
	err := msgpack.Unmarshal(b, &r)
	return r, eris.Wrap(err, "decode report")
}

func (n *Node) report(r quarantine.Report) []byte {
	b, err := msgpack.Marshal(r)
	if err != nil {
		n.log.WithError(err).Error("report_not_encoded")
	}
	return b
}

// newsFor is what a node that has been told so much is to know besides; it
// goes with the answer to its question. nil for a node that keeps no book.
func (n *Node) newsFor(told *quarantine.Cursor) []byte {
	if told == nil {
		return nil
	}
	return n.report(n.book.Since(*told))
}

// hear takes over the news in another node's answer. One without is of a node
// that keeps no book.
func (n *Node) hear(at membership.Addr, news []byte) {
	if len(news) == 0 {
		return
	}
	told, err := readReport(news)
	if err != nil {
		n.stats.misread()
		n.note.Note("news_not_understood", func() log.Fields { return log.Fields{"peer": at, "error": err.Error()} })
		return
	}
	n.book.Learn(told)
	n.heard.set(at, told.Next)
}

func (h *heard) from(at membership.Addr) *quarantine.Cursor {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.upTo[at]
	return &c
}

func (h *heard) set(at membership.Addr, to quarantine.Cursor) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.upTo[at] = to
}

// cancelOn cancels when there is news, at once if that is urgent, unless ctx
// ends before.
func cancelOn(ctx context.Context, news quarantine.News, cancel context.CancelFunc) {
	defer cancel()
	select {
	case <-news.Any:
	case <-news.Urgent:
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-time.After(gatherNews):
	case <-news.Urgent:
	case <-ctx.Done():
	}
}
