package answer

import (
	"context"
	"net"
	"net/http"
)

// transport is a http.Transport that returns an error for a head that CheckHead refuses.
type transport struct {
	*http.Transport
}

// NewClient returns a client that uses t, which must not be used otherwise, with
// connections that are a Conn and answers that pass CheckHead.
func NewClient(t *http.Transport) *http.Client {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(nc), nil
	}
	return &http.Client{Transport: transport{t}}
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
