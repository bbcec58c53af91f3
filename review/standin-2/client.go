package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// lastRequest numbers the requests.
var lastRequest atomic.Int64

// answer is what a client got.
type answer struct {
	id      string
	status  int // 0 without a whole answer
	signed  bool
	body    string
	err     error
	elapsed time.Duration
}

// send sends one request of a client to the node of its machine, on a new
// connection, and records what it got.
func (f *fleet) send(n *node, method, uri string, body []byte, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("%016x", lastRequest.Add(1))}
	began := time.Now()
	a.err = f.exchange(n, method, uri, body, deadline, &a)
	a.elapsed = time.Since(began)
	f.rec.line("sent %s %s %s, %d bytes, to %s; got %d after %d ms %s %v", a.id, method, uri, len(body), n.name, a.status, a.elapsed.Milliseconds(), strings.TrimSpace(a.body), a.err)
	return a
}

func (f *fleet) exchange(n *node, method, uri string, body []byte, deadline time.Duration, a *answer) error {
	req, err := http.NewRequest(method, "http://"+n.at(f.ports.callers)+uri, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Host = "hulo84.example"
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: deadline + time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	a.status, a.signed, a.body = resp.StatusCode, resp.Header.Get("Response-Signature") != "", string(b)
	return nil
}
