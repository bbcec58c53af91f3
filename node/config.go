package node

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/oatpin/oatpin/callgraph"
	"github.com/rotisserie/eris"
)

const (
	// watchWait is how long one watch call waits at the platform; the
	// platform counts a waiting watch as one call.
	watchWait = 20 * time.Second
	// watchBackoff is the pause after the platform failed or refused.
	watchBackoff = time.Second
	// rewatchSpread spreads the new watches after a change: every node's
	// waiting watch answers at once, and 1,100 new watches in the same
	// instant would pass the platform's 2,000 reads a second; spread over
	// 2 s they come at 550 a second, and a text still lands within 9 s.
	rewatchSpread = 2 * time.Second
)

// Apply puts g in force if it is newer than the text in force and reports
// whether it did. A node that paused and wakes holding an older text can
// only move forward. Texts come from the platform and from peers at once,
// and each is put in force in several places: done one at a time, or an
// older text that was overtaken would route calls after the newer one came.
func (n *Node) Apply(g *callgraph.Graph) bool {
	n.applying.Lock()
	defer n.applying.Unlock()
	if cur := n.graph.Load(); cur != nil && g.Version <= cur.Version {
		return false
	}
	n.graph.Store(g)
	n.table.SetGraph(g)
	n.book.SetGraph(g)
	if s, _, ok := g.Instance(n.cfg.Settings.Instance); ok {
		n.admission.SetSlots(s.Slots)
	}
	select {
	case n.applied <- struct{}{}:
	default:
	}
	n.stats.configApplied()
	n.log.WithField("version", g.Version).Info("config_applied")
	return true
}

// watchConfig is the controller that keeps the newest text in force: it
// long-polls the platform, and goes on serving with the text it has while
// the platform is down.
func (n *Node) watchConfig() {
	for !n.stopped() {
		changed, err := n.pollPlatform()
		if n.stopped() {
			return // the watch ended by the node's own stop says nothing of the platform
		}
		if err != nil {
			if !n.alone.Swap(true) {
				n.log.WithError(err).Warn("platform_unreachable")
			}
			n.pause(watchBackoff)
			continue
		}
		if n.alone.Swap(false) {
			n.log.Info("platform_reachable")
		}
		if changed {
			n.pause(rand.N(rewatchSpread))
		}
	}
}

// pause waits for d, or until the node stops.
func (n *Node) pause(d time.Duration) {
	select {
	case <-n.stop:
	case <-time.After(d):
	}
}

// stopped reports whether the node's controllers are to end.
func (n *Node) stopped() bool {
	select {
	case <-n.stop:
		return true
	default:
		return false
	}
}

// pollPlatform waits once at the platform for a text newer than the one in
// force and reports whether one came.
func (n *Node) pollPlatform() (bool, error) {
	ctx, cancel := n.watchContext()
	defer cancel()
	before := n.version()
	url := n.cfg.Settings.Platform + "/v1/config?after=" + strconv.FormatUint(before, 10) + "&wait=" + watchWait.String()
	err := n.fetchConfig(ctx, url)
	return n.version() != before, err
}

// watchContext bounds one watch call at the platform. It ends when the node
// stops: a watch waits for up to watchWait, and the platform's own stop would
// wait on it.
func (n *Node) watchContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), watchWait+5*time.Second)
	go func() {
		select {
		case <-n.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// fetchConfig reads a text from url (the platform or a peer's node) and
// applies it if newer.
func (n *Node) fetchConfig(ctx context.Context, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return nil
	default:
		return eris.Errorf("config from %s: %s", url, resp.Status)
	}
	text, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxBody))
	if err != nil {
		return eris.Wrapf(err, "config from %s", url)
	}
	g, err := callgraph.Parse(text)
	if err != nil {
		return eris.Wrapf(err, "config from %s", url)
	}
	g.Accepted = acceptedAt(resp.Header)
	n.Apply(g)
	return nil
}

// setAccepted tells the next node when a text was accepted, if that is known.
// It takes back the second that acceptedAt adds, or the time would move on by
// one with every node that passes the text on.
func setAccepted(h http.Header, t time.Time) {
	if !t.IsZero() {
		h.Set("Last-Modified", t.Add(-time.Second).UTC().Format(http.TimeFormat))
	}
}

// acceptedAt reads when a text was accepted. The header has whole seconds
// cut off, so the second's end is taken; without one it may be brand new.
func acceptedAt(h http.Header) time.Time {
	t, err := http.ParseTime(h.Get("Last-Modified"))
	if err != nil {
		t = time.Now().Truncate(time.Second)
	}
	return t.Add(time.Second)
}

// onPeerVersion learns from a frame that the peer instance holds a newer
// text and fetches it from that peer's node: this spreads a text while the
// platform is down or stale for late joiners.
func (n *Node) onPeerVersion(instance string, v uint64) {
	if v <= n.version() || !n.fetching.CompareAndSwap(false, true) {
		return
	}
	g := n.graph.Load()
	if g == nil {
		n.fetching.Store(false)
		return
	}
	if _, in, ok := g.Instance(instance); ok {
		go func() {
			defer n.fetching.Store(false)
			if err := n.fetchFromNode(in.HTTP); err != nil {
				n.log.WithField("peer", in.HTTP).WithError(err).Warn("peer_config_failed")
			}
		}()
		return
	}
	n.fetching.Store(false)
}
