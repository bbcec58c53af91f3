package inbound

import (
	"io"
	"net"
	"net/http"
	"sync"
)

const (
	// idleReadBuffer is what the system holds, in bytes, of what a client sends unread.
	// A client that sends on while its request runs would fill some 120 KB by default.
	idleReadBuffer = 16 << 10
	// bodyReadBuffer is the same while a body is read: a small one would slow uploads.
	bodyReadBuffer = 256 << 10
)

// setReadBuffer sets how much the system holds of what is sent on c.
func (c *conn) setReadBuffer(bytes int) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	if err := tcp.SetReadBuffer(bytes); err != nil && c.server.cfg.ErrorLog != nil {
		c.server.cfg.ErrorLog.Printf("read buffer of %d bytes: %v", bytes, err)
	}
}

// fastBody is a request's body that is read through a large buffer until it ends.
type fastBody struct {
	io.ReadCloser
	conn *conn
	end  sync.Once
}

// serveBody calls h. A body that may be larger than the idle buffer is read through a
// larger one. net/http decides by the type of the body what it does with the rest of one
// that was not read, so that h gets another request in place of another body in r.
func (c *conn) serveBody(h http.Handler, w http.ResponseWriter, r *http.Request) {
	if r.ContentLength >= 0 && r.ContentLength <= idleReadBuffer {
		h.ServeHTTP(w, r)
		return
	}
	c.setReadBuffer(bodyReadBuffer)
	body := &fastBody{ReadCloser: r.Body, conn: c}
	defer body.restore()
	fast := *r
	fast.Body = body
	h.ServeHTTP(w, &fast)
}

// Read reads the body.
func (b *fastBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.restore()
	}
	return n, err
}

func (b *fastBody) restore() { b.end.Do(func() { b.conn.setReadBuffer(idleReadBuffer) }) }
