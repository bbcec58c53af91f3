package replication

import (
	"sync/atomic"

	"github.com/oatpin/oatpin/directory"
)

type (
	// Counts holds the number of source calls and peer polls that a node made
	// since its start.
	Counts struct {
		SourceCalls, SourceErrors int64 // calls to the source
		PeerPolls, PeerErrors     int64 // polls of other nodes
		directory.ReaderCounts
	}

	counters struct {
		sourceCalls, sourceErrors, peerPolls, peerErrors atomic.Int64
	}
)

func (c *counters) countSourceCall(err error) { addResult(&c.sourceCalls, &c.sourceErrors, err) }

func (c *counters) countPeerPoll(err error) { addResult(&c.peerPolls, &c.peerErrors, err) }

func addResult(total, failed *atomic.Int64, err error) {
	total.Add(1)
	if err != nil {
		failed.Add(1)
	}
}

// Counts returns the calls that this node made since its start. It is safe for
// concurrent use.
func (s *Syncer) Counts() Counts {
	c := &s.counters
	out := Counts{SourceCalls: c.sourceCalls.Load(), SourceErrors: c.sourceErrors.Load(), PeerPolls: c.peerPolls.Load(), PeerErrors: c.peerErrors.Load()}
	if s.reader != nil {
		out.ReaderCounts = s.reader.Counts()
	}
	return out
}

// IsReader reports whether this node is a reader of the source. It is safe for
// concurrent use.
func (s *Syncer) IsReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isReader
}
