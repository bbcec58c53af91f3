package answer

import (
	"context"
	"net"
	"net/http"
)

// NewClient returns a client that uses t, which must not be used otherwise, with
// connections that are a Conn.
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
	return &http.Client{Transport: t}
}
