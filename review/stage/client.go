package stage

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/oatpin/oatpin/platform"
	"github.com/rotisserie/eris"
)

// connectTimeout is how long a client waits for a new connection.
const connectTimeout = time.Second

// errDial is wrapped by the errors of requests for which no connection could be
// opened.
var errDial = eris.New("no connection")

type (
	// Request is one client attempt.
	Request struct {
		ID       string
		Method   string
		Host     string
		Path     string
		Deadline time.Duration
		Key      string // API key; empty for none
		Body     io.Reader
		Length   int64 // of the body; -1 sends it in chunks
	}

	// Outcome is what a client got.
	Outcome struct {
		Request
		Status     int   // 0 without a complete answer
		Err        error // why there is none
		Kept       bool  // sent on a connection that had carried a request before
		Signature  string
		Sent, Done time.Time
	}

	// Client sends one request after the other to one machine's node, each once.
	// It keeps its connection open for further requests as long as the node does.
	Client struct {
		addr string
		rec  *Record
		conn net.Conn
		r    *bufio.Reader
	}
)

// NewClient returns a client without a connection.
func NewClient(addr string, rec *Record) *Client { return &Client{addr: addr, rec: rec} }

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Connect opens the connection if there is none.
func (c *Client) Connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.addr, connectTimeout)
	if err != nil {
		return eris.Wrap(errDial, err.Error())
	}
	c.conn, c.r = conn, bufio.NewReader(conn)
	return nil
}

// Send sends a request once and waits for its answer until the deadline.
func (c *Client) Send(r Request) Outcome {
	o := Outcome{Request: r, Sent: time.Now(), Kept: c.conn != nil}
	c.rec.Write("client sends %s %s %s to %s", r.ID, r.Method, r.Path, c.addr)
	o.Status, o.Signature, o.Err = c.roundTrip(r)
	o.Done = time.Now()
	if o.Err != nil {
		c.Close()
		c.rec.Write("client has no answer to %s after %d ms: %v", r.ID, o.Done.Sub(o.Sent).Milliseconds(), o.Err)
	} else {
		c.rec.Write("client has %d to %s after %d ms", o.Status, r.ID, o.Done.Sub(o.Sent).Milliseconds())
	}
	return o
}

func (c *Client) roundTrip(r Request) (status int, signature string, err error) {
	if err := c.Connect(); err != nil {
		return 0, "", err
	}
	if err := c.conn.SetDeadline(time.Now().Add(r.Deadline)); err != nil {
		return 0, "", err
	}
	req, err := http.NewRequest(r.Method, "http://"+c.addr+r.Path, r.Body)
	if err != nil {
		return 0, "", err
	}
	req.Host, req.ContentLength = r.Host, r.Length
	h := platform.Headers
	req.Header.Set(h.RequestID, r.ID)
	req.Header.Set(h.Deadline, fmt.Sprint(r.Deadline.Milliseconds()))
	if r.Key != "" {
		req.Header.Set(h.APIKey, h.AuthScheme+" "+r.Key)
	}
	// A node may answer before it has read the whole body.
	writeErr := req.Write(c.conn)
	resp, err := http.ReadResponse(c.r, req)
	if err != nil {
		return 0, "", errors.Join(writeErr, err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, "", err
	}
	if resp.Close || writeErr != nil {
		c.Close()
	}
	return resp.StatusCode, resp.Header.Get(h.Signature), nil
}

// IsDialError reports whether no connection could be opened.
func IsDialError(err error) bool { return errors.Is(err, errDial) }
