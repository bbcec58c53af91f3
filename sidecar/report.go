package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/quarantine"
	"github.com/oatpin/oatpin/replication"
	"github.com/oatpin/oatpin/wire"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// exitReportOperation reports target exits and the requests that were
	// running. The request body is a quarantine.Report.
	exitReportOperation = "quarantine.ends"
	// reportBatchDelay is how long reports are collected before they are sent,
	// because an exit affects all requests in progress. It is shorter than the
	// time in which a caller retries. A caller is back about 10 ms after its
	// answer.
	reportBatchDelay = time.Millisecond
	// updateBatchDelay is how long the response to a long poll is delayed to
	// collect further updates, unless one is urgent.
	updateBatchDelay = 20 * time.Millisecond
	// reportAttempts and reportRetryDelay bound the delivery of a report to
	// one node. A node that misses it receives it by its long poll to
	// another.
	reportAttempts   = 3
	reportRetryDelay = 300 * time.Millisecond
)

// errNotAccepted is returned if a peer refuses an operation.
var errNotAccepted = eris.New("peer did not accept the operation")

type (
	// reportQueue collects the requests to be reported to other nodes.
	reportQueue struct {
		mu           sync.Mutex
		fingerprints []quarantine.Fingerprint
	}

	// cursorTable holds the position reached in the quarantine records of
	// each peer.
	cursorTable struct {
		mu      sync.Mutex
		cursors map[replication.Addr]quarantine.Cursor
	}
)

// queueReport schedules a report on the given requests. It is sent to the
// nodes that read the directory source for their data centres; all other nodes
// long-poll those.
func (n *Node) queueReport(fingerprints ...quarantine.Fingerprint) {
	queue := &n.reports
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if len(queue.fingerprints) == 0 && len(fingerprints) > 0 {
		time.AfterFunc(reportBatchDelay, n.sendReports)
	}
	queue.fingerprints = append(queue.fingerprints, fingerprints...)
}

func (n *Node) sendReports() {
	queue := &n.reports
	queue.mu.Lock()
	fingerprints := queue.fingerprints
	queue.fingerprints = nil
	queue.mu.Unlock()
	body := n.encodeReport(n.quarantine.Records(fingerprints))
	for _, addr := range n.syncer.OtherReaders() {
		go n.sendReportWithRetry(addr, body)
	}
}

func (n *Node) sendReportWithRetry(addr replication.Addr, body []byte) {
	var err error
	for range reportAttempts {
		if err = n.sendReport(addr, body); err == nil {
			return
		}
		select {
		case <-n.stop:
			return
		case <-time.After(reportRetryDelay):
		}
	}
	n.decisions.Log("ends_not_told", func() log.Fields { return log.Fields{"peer": addr, "error": err.Error()} })
}

func (n *Node) sendReport(addr replication.Addr, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	a, err := n.callNode(ctx, addr, exitReportOperation, body)
	if err != nil {
		return err
	}
	reply, err := decodeReport(a.Piggyback)
	if err == nil {
		n.queueReport(n.quarantine.Merge(reply)...)
	}
	return err
}

// callNode sends an operation to another node. It returns errNotAccepted if
// that node refuses it.
func (n *Node) callNode(ctx context.Context, addr replication.Addr, operation string, body []byte) (call.Answer, error) {
	conn, err := n.dial(ctx, wire.Peer{Addr: string(addr)})
	if err != nil {
		return call.Answer{}, err
	}
	a, err := conn.Call(ctx, call.Request{ID: call.RequestID(operation), Operation: operation, Body: body, Remaining: answerTimeout}, n.revision())
	if err == nil && a.Status != call.OK {
		err = eris.Wrap(errNotAccepted, a.Reason)
	}
	return a, err
}

// serveExitReport handles exitReportOperation. The response contains this
// node's records of the same requests, so that data centres synchronize after
// a partition.
func (n *Node) serveExitReport(r call.Request) call.Answer {
	received, err := decodeReport(r.Body)
	if err != nil {
		return n.malformedAnswer(r, err)
	}
	n.quarantine.Merge(received)
	return call.Answer{ID: r.ID, Status: call.OK, Piggyback: n.encodeReport(n.quarantine.Records(received.Fingerprints()))}
}

func decodeReport(b []byte) (quarantine.Report, error) {
	var r quarantine.Report
	err := msgpack.Unmarshal(b, &r)
	return r, eris.Wrap(err, "decode report")
}

func (n *Node) encodeReport(r quarantine.Report) []byte {
	b, err := msgpack.Marshal(r)
	if err != nil {
		n.log.WithError(err).Error("report_not_encoded")
	}
	return b
}

// encodeUpdate returns the quarantine records after cursor, to be sent in the
// response to a long poll; nil if the polling node keeps no records.
func (n *Node) encodeUpdate(cursor *quarantine.Cursor) []byte {
	if cursor == nil {
		return nil
	}
	return n.encodeReport(n.quarantine.ChangesSince(*cursor))
}

// applyUpdate applies the quarantine records in another node's response. A
// node that keeps none sends an empty update.
func (n *Node) applyUpdate(addr replication.Addr, update []byte) {
	if len(update) == 0 {
		return
	}
	report, err := decodeReport(update)
	if err != nil {
		n.stats.countDecodeError()
		n.decisions.Log("news_not_understood", func() log.Fields { return log.Fields{"peer": addr, "error": err.Error()} })
		return
	}
	n.quarantine.Merge(report)
	n.peerCursors.set(addr, report.Next)
}

func (t *cursorTable) get(addr replication.Addr) *quarantine.Cursor {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.cursors[addr]
	return &c
}

func (t *cursorTable) set(addr replication.Addr, cursor quarantine.Cursor) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cursors[addr] = cursor
}

// cancelOnUpdate calls cancel on an update: immediately if it is urgent,
// otherwise after updateBatchDelay. It returns early when ctx ends.
func cancelOnUpdate(ctx context.Context, updates quarantine.Watch, cancel context.CancelFunc) {
	defer cancel()
	select {
	case <-updates.Changed:
	case <-updates.Escalated:
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-time.After(updateBatchDelay):
	case <-updates.Escalated:
	case <-ctx.Done():
	}
}
