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
	// exchangeEvery is how often a node compares texts with a random other
	// node while the platform answers: it may be stale for some readers.
	exchangeEvery = 5 * time.Second
	// exchangeAlone is the same while the platform cannot be reached. At
	// 0.8 KB an exchange, asked and answered, it costs 1.6 KB/s of the
	// 3 KB/s a node has for control.
	exchangeAlone = time.Second
	// exchangeFanout is how many nodes a new text is offered to at once.
	// With four, a text one node of 1,100 holds reaches all but a few in
	// some six rounds; the periodic exchange finds the rest.
	exchangeFanout = 4
	exchangeWait   = 2 * time.Second
)

// exchangeTexts is the controller that spreads texts between nodes without
// the platform. Calls alone do not: they stay within a data centre.
func (n *Node) exchangeTexts() {
	for {
		every := exchangeEvery
		if n.alone.Load() {
			every = exchangeAlone
		}
		select {
		case <-n.stop:
			return
		case <-n.applied:
			for range exchangeFanout {
				n.exchange()
			}
		case <-time.After(every/2 + rand.N(every)):
			n.exchange()
		}
	}
}

// exchange compares texts with one random node of the text in force, or
// with a seed while there is none. Whichever holds the older one fetches the
// other's.
func (n *Node) exchange() {
	addr := n.anyNode()
	if addr == "" {
		return
	}
	// An unreachable node is no event: the next exchange asks another.
	n.fetchFromNode(addr)
}

// fetchFromNode asks another node for its text if that is newer, telling it
// the version held here.
func (n *Node) fetchFromNode(addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeWait)
	defer cancel()
	q := url.Values{"after": {strconv.FormatUint(n.version(), 10)}, "from": {n.cfg.Settings.Instance}}
	return n.fetchConfig(ctx, "http://"+addr+"/v1/config?"+q.Encode())
}

// anyNode returns the HTTP address of a random other node, or "".
func (n *Node) anyNode() string {
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

// handleConfig gives the text in force to another node, or 304 when the
// asker's (after) is as new. An asker (from) with a newer one is asked for it.
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
	setAccepted(h, g.Accepted)
	if uint64(g.Version) <= after {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Write(g.Text)
}
