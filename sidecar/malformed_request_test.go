package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a request that reaches an instance without a field, or with another
// body, because the name of a field is invalid.
func TestRequestWithMalformedFieldNameIsRefused(t *testing.T) {
	m := newMesh(t, "archiv")
	for _, name := range []string{"X Trouble", "X\x01Trouble", "Content-Length ", "Content Length", "Transfer-Encoding "} {
		Convey(strconv.Quote(name), t, func() {
			c, err := net.Dial("tcp", m.vms[0].node.cfg.CallerAddr)
			So(err, ShouldBeNil)
			defer c.Close()
			fmt.Fprintf(c, "POST /read/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n%s: 5\r\n\r\nwhole", name)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			So(err, ShouldBeNil)
			io.Copy(io.Discard, resp.Body)
			So(resp.StatusCode, ShouldEqual, http.StatusBadRequest)
			So(m.vms[0].target.runCount("r1"), ShouldEqual, 0)
		})
	}
}
