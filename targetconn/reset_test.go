package targetconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// uploadBytes is more than the sockets of both sides hold, so that an answer that
	// does not wait for the upload comes while it is being written.
	uploadBytes = 8 << 20
	// uploads is how often each case is played; who sees a reset first varies.
	uploads = 40

	headWithoutLength = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n\r\n"
)

// earlyAnswer is an answer to an upload and what the target does around it.
type earlyAnswer struct {
	name   string
	read   int64         // bytes of the upload that the target reads before it answers
	answer string        // as it is sent
	wait   time.Duration // before the end
	end    func(c *net.TCPConn)
}

// reset closes c with a reset.
func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

// closeUnread closes c while bytes of the upload are there and have not been read, which
// resets it.
func closeUnread(c *net.TCPConn) {
	io.ReadFull(c, make([]byte, 1))
	c.Close()
}

// closeRead closes c after all bytes have been read.
func closeRead(c *net.TCPConn) { c.Close() }

// halfClose ends the answer and reads the upload to its end.
func halfClose(c *net.TCPConn) {
	c.CloseWrite()
	io.Copy(io.Discard, c)
}

// halfCloseUnread ends the answer, reads nothing more and closes c much later.
func halfCloseUnread(c *net.TCPConn) {
	c.CloseWrite()
	time.Sleep(500 * time.Millisecond)
	c.Close()
}

// uploadTo sends the upload to a target that answers with e, and returns its answer.
func uploadTo(t *testing.T, e earlyAnswer, body []byte) []*Answer {
	p, _ := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.CopyN(io.Discard, req.Body, e.read)
		io.WriteString(c, e.answer)
		time.Sleep(e.wait)
		e.end(c.(*net.TCPConn))
	})
	var whole []*Answer
	for range uploads {
		r := request("r1")
		r.Method, r.Body = http.MethodPost, body
		a, err := p.Do(t.Context(), r)
		switch {
		case err == nil:
			whole = append(whole, a)
		case !errors.Is(err, ErrNoAnswer):
			t.Fatal(err)
		}
	}
	return whole
}

// Guards against a part of an answer without length that is taken as the whole one: the
// target resets the connection beside the upload, whose write is told instead of the
// read, and the read sees an end of file.
func TestAnswerResetBesideUploadIsErrNoAnswer(t *testing.T) {
	body := make([]byte, uploadBytes)
	for _, e := range []earlyAnswer{
		{name: "a part of the body, then a reset", answer: headWithoutLength + "nine byte", end: reset},
		{name: "no byte of the body", answer: headWithoutLength, end: reset},
		{name: "a reset some time later", read: 300 << 10, answer: headWithoutLength + "nine byte", wait: 20 * time.Millisecond, end: reset},
		{name: "a close with bytes of the upload unread", answer: headWithoutLength + "nine byte", end: closeUnread},
		{name: "the same some time later", read: 300 << 10, answer: headWithoutLength + "nine byte", wait: 20 * time.Millisecond, end: closeUnread},
		{name: "HTTP/1.0", answer: "HTTP/1.0" + headWithoutLength[len("HTTP/1.1"):] + "nine byte", end: reset},
		{name: "an end in the middle of a chunk", answer: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nnine byte\r\n", end: reset},
	} {
		Convey(e.name, t, func() { So(len(uploadTo(t, e, body)), ShouldEqual, 0) })
	}
}

// Guards against a sound answer that is refused because it ends beside its upload.
func TestSoundAnswerBesideUploadIsWhole(t *testing.T) {
	body := make([]byte, uploadBytes)
	for _, e := range []earlyAnswer{
		{name: "the connection is half closed and the upload read", answer: headWithoutLength + "whole", end: halfClose},
		{name: "the connection is half closed and the upload not read", answer: headWithoutLength + "whole", end: halfCloseUnread},
		{name: "the connection is closed after the upload", read: uploadBytes, answer: headWithoutLength + "whole", end: closeRead},
		{name: "a length, before the upload is read", answer: response("r1", "whole"), end: halfClose},
		{name: "a length, then a reset", answer: response("r1", "whole"), wait: 20 * time.Millisecond, end: reset},
	} {
		Convey(e.name, t, func() {
			whole := uploadTo(t, e, body)
			So(len(whole), ShouldEqual, uploads)
			for _, a := range whole {
				So(string(a.Body), ShouldEqual, "whole")
			}
		})
	}
}
