package targetconn

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/oatpin/oatpin/answer"
)

const http10 = "HTTP/1.0"

// readHead reads the head of the next answer, which c.in must bound.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	version, _ := c.r.Peek(len(http10)) // an error comes again with the next read
	if string(version) == http10 {
		return c.readHeadOfHTTP10(req)
	}
	resp, err := http.ReadResponse(c.r, req)
	if err != nil {
		return nil, c.in.explain(err)
	}
	return resp, answer.CheckHead(resp)
}

// readHeadOfHTTP10 is readHead for an answer of HTTP/1.0, which knows no chunks. The
// library ignores a statement of them there, and their framing would be the body. The
// connection is not for another request, since c.r is replaced.
func (c *conn) readHeadOfHTTP10(req *http.Request) (*http.Response, error) {
	var head []byte
	for blank := false; !blank; {
		line, err := c.r.ReadBytes('\n')
		if err != nil {
			return nil, c.in.explain(err)
		}
		if name, _, _ := bytes.Cut(line, []byte(":")); bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return nil, fmt.Errorf("%w: transfer encoding in %s", answer.ErrMalformed, http10)
		}
		head = append(head, line...)
		blank = len(bytes.TrimRight(line, "\r\n")) == 0
	}
	c.r = bufio.NewReader(io.MultiReader(bytes.NewReader(head), c.r))
	resp, err := http.ReadResponse(c.r, req)
	if err != nil {
		return nil, err
	}
	resp.Close = true
	return resp, answer.CheckHead(resp)
}
