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
	// watchTimeout is how long the configuration service holds one watch request
	// without a change; it counts a waiting watch as one call.
	watchTimeout = 20 * time.Second
	// watchBackoff is the delay before a watch is retried after the configuration
	// service failed or refused it.
	watchBackoff = time.Second
	// rewatchJitter bounds the random delay before the next watch after a change.
	// A change completes the watch of every node at once; the delay keeps the next
	// watches of 1,100 nodes below the configuration service's limit of 2,000
	// reads/s. They come at 550 per second, and a configuration still arrives
	// within 9 s.
	rewatchJitter = 2 * time.Second
)

// Apply activates g if it is newer than the active configuration and reports
// whether it did, so a node that resumes with an outdated configuration cannot
// roll back. Configurations arrive concurrently from the configuration service
// and from peers and update several components; applyMu keeps an older one from
// partially overwriting a newer one. Apply is safe for concurrent use.
func (n *Node) Apply(g *callgraph.Graph) bool {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	if cur := n.graph.Load(); cur != nil && g.Version <= cur.Version {
		return false
	}
	n.graph.Store(g)
	n.table.SetGraph(g)
	n.ownership.SetGraph(g)
	if s, _, ok := g.Instance(n.cfg.Settings.Instance); ok {
		n.admission.SetSlots(s.Slots)
	}
	select {
	case n.applied <- struct{}{}:
	default:
	}
	n.stats.countConfigApplied()
	n.log.WithField("version", g.Version).Info("config_applied")
	return true
}

// watchConfig long-polls the configuration service for newer configurations
// until the node stops. While the configuration service is unreachable, the node
// keeps the active configuration.
func (n *Node) watchConfig() {
	for !n.stopped() {
		changed, err := n.pollConfigService()
		if n.stopped() {
			return // cancelled by the node stopping, not a configuration service failure
		}
		if err != nil {
			if !n.configServiceDown.Swap(true) {
				n.log.WithError(err).Warn("platform_unreachable")
			}
			n.sleep(watchBackoff)
			continue
		}
		if n.configServiceDown.Swap(false) {
			n.log.Info("platform_reachable")
		}
		if changed {
			n.sleep(rand.N(rewatchJitter))
		}
	}
}

// sleep waits for d or until the node stops.
func (n *Node) sleep(d time.Duration) {
	select {
	case <-n.stop:
	case <-time.After(d):
	}
}

func (n *Node) stopped() bool {
	select {
	case <-n.stop:
		return true
	default:
		return false
	}
}

// pollConfigService issues one watch request for a newer configuration and
// reports whether the active version changed.
func (n *Node) pollConfigService() (bool, error) {
	ctx, cancel := n.watchContext()
	defer cancel()
	before := n.version()
	url := n.cfg.Settings.ConfigServiceURL + "/v1/config?after=" + strconv.FormatUint(before, 10) + "&wait=" + watchTimeout.String()
	err := n.fetchConfig(ctx, url)
	return n.version() != before, err
}

// watchContext returns a context for one watch request. It is cancelled when the
// node stops, since a pending watch would otherwise delay the configuration
// service's shutdown by up to watchTimeout.
func (n *Node) watchContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), watchTimeout+5*time.Second)
	go func() {
		select {
		case <-n.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// fetchConfig fetches a configuration from url, at the configuration service or
// a peer node, and applies it if it is newer.
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
		return eris.Errorf("fetch configuration from %s: unexpected status %s", url, resp.Status)
	}
	data, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxBody))
	if err != nil {
		return eris.Wrapf(err, "read configuration from %s", url)
	}
	g, err := callgraph.Parse(data)
	if err != nil {
		return eris.Wrapf(err, "parse configuration from %s", url)
	}
	g.AcceptedAt = acceptedFromHeader(resp.Header)
	n.Apply(g)
	return nil
}

// setAcceptedHeader sets Last-Modified to the time the configuration was
// accepted, if known. It subtracts the second added by acceptedFromHeader, so
// that the time does not drift as the configuration passes from node to node.
func setAcceptedHeader(h http.Header, t time.Time) {
	if !t.IsZero() {
		h.Set("Last-Modified", t.Add(-time.Second).UTC().Format(http.TimeFormat))
	}
}

// acceptedFromHeader returns the latest time at which the configuration can
// have been accepted. Last-Modified is truncated to whole seconds, so one
// second is added; without the header, the current time is assumed.
func acceptedFromHeader(h http.Header) time.Time {
	t, err := http.ParseTime(h.Get("Last-Modified"))
	if err != nil {
		t = time.Now().Truncate(time.Second)
	}
	return t.Add(time.Second)
}

// onPeerVersion fetches the configuration of a peer instance that announced a
// newer version. This propagates configurations while the configuration service
// is down or serves stale data.
func (n *Node) onPeerVersion(instance string, v uint64) {
	if v <= n.version() || !n.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	g := n.graph.Load()
	if g == nil {
		n.fetchingConfig.Store(false)
		return
	}
	if _, in, ok := g.Instance(instance); ok {
		go func() {
			defer n.fetchingConfig.Store(false)
			if err := n.fetchFromNode(in.HTTP); err != nil {
				n.log.WithField("peer", in.HTTP).WithError(err).Warn("peer_config_failed")
			}
		}()
		return
	}
	n.fetchingConfig.Store(false)
}
