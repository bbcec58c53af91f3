package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/oatpin/oatpin/callgraph"
)

const (
	// gossipInterval is the mean interval at which a node compares its
	// configuration with a random other node; it covers a configuration service
	// that serves stale data to some readers.
	gossipInterval = 5 * time.Second
	// gossipIntervalConfigServiceDown replaces gossipInterval while the
	// configuration service is unreachable. It uses about 1.6 KB/s of the 3 KB/s
	// allowed per node for control traffic. An exchange takes 0.8 KB, request and
	// response.
	gossipIntervalConfigServiceDown = time.Second
	// gossipFanout is the number of random nodes contacted after a new
	// configuration was applied. Periodic exchanges reach the nodes that this
	// misses. With four, a configuration held by one node of 1,100 reaches all but
	// a few in about six rounds.
	gossipFanout  = 4
	gossipTimeout = 2 * time.Second
)

// gossipConfig exchanges configurations with other nodes until the node
// stops. Versions carried on calls are not enough, since calls prefer the
// local data centre.
func (n *Node) gossipConfig() {
	for {
		interval := gossipInterval
		if n.configServiceDown.Load() {
			interval = gossipIntervalConfigServiceDown
		}
		select {
		case <-n.stop:
			return
		case <-n.applied:
			for range gossipFanout {
				n.gossipOnce()
			}
		case <-time.After(interval/2 + rand.N(interval)):
			n.gossipOnce()
		}
	}
}

// gossipOnce compares configurations with a random node, or with a seed while
// no configuration is active. The side with the older version fetches the
// newer one.
func (n *Node) gossipOnce() {
	addr := n.randomNodeAddr()
	if addr == "" {
		return
	}
	// The error is ignored: the next exchange contacts another node.
	n.fetchFromNode(addr)
}

// fetchFromNode fetches another node's configuration if it is newer,
// announcing the local version.
func (n *Node) fetchFromNode(addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), gossipTimeout)
	defer cancel()
	q := url.Values{"after": {strconv.FormatUint(n.version(), 10)}, "from": {n.cfg.Settings.Instance}}
	return n.fetchConfig(ctx, "http://"+addr+"/v1/config?"+q.Encode())
}

// randomNodeAddr returns the HTTP address of a random other node, or "" if
// none is known.
func (n *Node) randomNodeAddr() string {
	g := n.graph.Load()
	if g == nil {
		seeds := n.cfg.Settings.Seeds
		if len(seeds) == 0 {
			return ""
		}
		return seeds[rand.IntN(len(seeds))]
	}
	var others []callgraph.Instance
	for _, s := range g.Services {
		for _, in := range s.Instances {
			if in.Name != n.cfg.Settings.Instance {
				others = append(others, in)
			}
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))].HTTP
}

// handleConfig serves the active configuration to another node, or 304 if the
// requester's version (after) is at least as new. If it is newer, the
// configuration is fetched from the requester (from).
func (n *Node) handleConfig(w http.ResponseWriter, r *http.Request) {
	g := n.graph.Load()
	if g == nil {
		http.Error(w, "no text in force", http.StatusNotFound)
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	n.onPeerVersion(r.URL.Query().Get("from"), after)
	h := w.Header()
	h.Set("Oatpin-Config-Version", strconv.FormatUint(uint64(g.Version), 10))
	setAcceptedHeader(h, g.AcceptedAt)
	if uint64(g.Version) <= after {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Write(g.Text)
}
