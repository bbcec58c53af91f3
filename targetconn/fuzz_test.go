package targetconn

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/oatpin/oatpin/memory"
)

// FuzzAnswer checks that whatever a target sends is a whole answer to the request or
// ErrNoAnswer, and that nothing is held once the answer is released.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{
		response("r1", "whole"),
		"HTTP/1.1 103 Early Hints\r\n\r\n" + response("r1", "whole"),
		response("r0", "late") + response("r1", "whole"),
		response("r1", "whole") + "stray",
		"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nuntil the end",
		"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\ncut",
		"HTTP/1.1 204 No Content\r\n\r\n", "no answer", "",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		var held memory.Account
		held.SetLimit(1 << 20)
		p := NewPool(Config{Headers: headers, Memory: &held, Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				go io.Copy(io.Discard, far)
				far.SetWriteDeadline(time.Now().Add(time.Second))
				far.Write(sent)
				far.Close()
			}()
			return near, nil
		}})
		defer p.Close()
		a, err := p.Do(t.Context(), request("r1"))
		if err != nil && !errors.Is(err, ErrNoAnswer) {
			t.Fatal(err)
		}
		if err == nil {
			if id := a.Header.Get(headers.RequestID); id != "" && id != "r1" {
				t.Fatalf("answer to %q", id)
			}
			a.Held.Release()
		}
		if held.Used() != 0 {
			t.Fatalf("%d bytes are held", held.Used())
		}
	})
}
