package targetconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/oatpin/oatpin/memory"
	"github.com/rotisserie/eris"
)

const (
	// asyncBodySize is the size in bytes from which a request body is written
	// concurrently with reading the answer: a target may answer before it reads
	// the body, and the write of a body larger than the socket buffer would
	// block until it does.
	asyncBodySize = 16 << 10
	// maxUncounted is the largest Content-Length in bytes of an answer that does not
	// count against the memory for answers; there are as many as the target has slots.
	maxUncounted = 4 << 10
)

var errMixedHeads = eris.New("head names two requests")

// roundTrip writes r and reads its answer; reuse is set if the connection can
// carry another request.
func (p *Pool) roundTrip(ctx context.Context, c *conn, r *Request) (a *Answer, reuse bool, err error) {
	written := make(chan error, 1)
	if len(r.Body) < asyncBodySize {
		if err := c.write(r); err != nil {
			return nil, false, err
		}
		written <- nil
	} else {
		go func() { written <- c.strict.Writing(func() error { return c.write(r) }) }()
	}
	resp, err := p.readResponse(c, r)
	if err != nil {
		return nil, false, err
	}
	a = &Answer{Code: resp.StatusCode, Header: resp.Header}
	if a.Body, a.Held, err = p.readBody(ctx, resp); err != nil {
		return nil, false, err
	}
	select {
	case err := <-written:
		reuse = err == nil && !resp.Close && c.r.Buffered() == 0
	default:
		// The target answered before the body was written. It may still read
		// and would take the next request for the rest of this body.
	}
	if reuse {
		c.expires = time.Now().Add(idleTimeout(resp.Header))
	}
	return a, reuse, nil
}

// readBody reads a response body of at most maxBody bytes into memory that it takes
// from the account before. While there is none for a body that states its length, the
// target waits; a body without holds what has come, so it ends if it may not grow. The
// body is not closed, which would read it to its end.
func (p *Pool) readBody(ctx context.Context, resp *http.Response) ([]byte, *memory.Hold, error) {
	n := resp.ContentLength
	switch {
	case resp.Body == http.NoBody || n == 0:
		return nil, nil, nil
	case n > maxBody:
		return nil, nil, errBodyTooLarge
	case n > 0 && n <= maxUncounted:
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, nil, err
	case n > 0:
		if err := p.cfg.Memory.Await(ctx, n); err != nil {
			return nil, nil, err
		}
		held := memory.NewHold(p.cfg.Memory, n)
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		if err != nil {
			held.Release()
		}
		return body, held, err
	}
	b := memory.NewBuffer(p.cfg.Memory)
	err := b.ReadAll(io.LimitReader(resp.Body, maxBody+1), n)
	switch {
	case errors.Is(err, memory.ErrNoMemory):
		err = &BoundError{Bound: BoundMemory, Limit: p.cfg.Memory.Limit()}
	case err == nil && len(b.Bytes()) > maxBody:
		b.Release()
		err = errBodyTooLarge
	}
	return b.Bytes(), b.Hold(), err
}

// readResponse returns the response to r. It skips responses with another
// request ID, such as a duplicate response to an earlier request. A malformed head is an
// error, also of a response that would be skipped. So is a head with two IDs: it is that
// of a response that broke off, continued by the head of another one, whose body follows.
func (p *Pool) readResponse(c *conn, r *Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	skipped := int64(maxBody)
	c.in.left = maxHead
	defer func() { c.in.left = -1 }()
	closes := false
	for mismatched, interim := 0, 0; ; {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, err
		}
		closes = closes || resp.Close
		ids := resp.Header.Values(p.cfg.Headers.RequestID)
		id := resp.Header.Get(p.cfg.Headers.RequestID)
		switch {
		case slices.ContainsFunc(ids, func(other string) bool { return other != id }):
			return nil, errMixedHeads
		case resp.StatusCode < http.StatusOK:
			// Informational; the final response follows.
			if interim++; interim > maxInterim {
				return nil, &BoundError{Bound: BoundInterim, Limit: maxInterim}
			}
		case id != "" && id != string(r.ID):
			if mismatched++; mismatched > maxMismatched {
				return nil, &BoundError{Bound: BoundMismatched, Limit: maxMismatched}
			}
			c.in.left = -1
			n, err := io.CopyN(io.Discard, resp.Body, skipped+1)
			if err == nil {
				return nil, &BoundError{Bound: BoundMismatched, Limit: maxBody}
			}
			if !errors.Is(err, io.EOF) {
				return nil, err
			}
			skipped -= n
			c.in.left = maxHead
			// More mismatched responses may follow.
			closes = true
		default:
			resp.Close = closes
			return resp, nil
		}
	}
}

// write sends the request with its header unchanged, adding only Host and
// Content-Length.
func (c *conn) write(r *Request) error {
	c.w.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(c.w); err != nil {
		return err
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		c.w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	c.w.WriteString("\r\n")
	c.w.Write(r.Body)
	return c.w.Flush()
}

// idleTimeout returns how long a connection may stay idle after a response with
// header h.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(s)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleTimeout
}
