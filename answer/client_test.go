package answer

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/oatpin/oatpin/answertest"
	. "github.com/smartystreets/goconvey/convey"
)

// countWhole sends uploads of 8 MB and returns how many answers were read whole.
func countWhole(t *testing.T, c *http.Client, url string, uploads int) int {
	body, whole := make([]byte, 8<<20), 0
	for range uploads {
		resp, err := c.Post(url, "", bytes.NewReader(body))
		if err != nil {
			continue
		}
		got, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil {
			t.Logf("%q is whole", got)
			whole++
		}
	}
	return whole
}

// Guards against a part of an answer without length that is taken as the whole one,
// since the upload beside it was told of the reset.
func TestClientReportsResetBesideUpload(t *testing.T) {
	const uploads = 100
	Convey("The server resets the connection", t, func() {
		url := "http://" + answertest.Serve(t, func(c *net.TCPConn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			c.SetLinger(0)
		})
		So(countWhole(t, NewClient(&http.Transport{}), url, uploads), ShouldEqual, 0)
	})
	Convey("It resets it some time later", t, func() {
		url := "http://" + answertest.Serve(t, func(c *net.TCPConn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(20 * time.Millisecond)
			c.SetLinger(0)
		})
		So(countWhole(t, NewClient(&http.Transport{}), url, uploads), ShouldEqual, 0)
	})
}

// Guards against a sound answer that is refused because it ends beside its upload.
func TestClientReadsSoundAnswerBesideUpload(t *testing.T) {
	const uploads = 20
	Convey("The server half closes the connection and reads on", t, func() {
		url := "http://" + answertest.Serve(t, func(c *net.TCPConn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
			c.CloseWrite()
			io.Copy(io.Discard, c)
		})
		So(countWhole(t, NewClient(&http.Transport{}), url, uploads), ShouldEqual, uploads)
	})
}
