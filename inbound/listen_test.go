package inbound

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against unread bytes of clients that wait to be accepted, or send on while a
// request runs: 64 KB and 120 KB each.
func TestUnreadBytesOfConnectionsAreBounded(t *testing.T) {
	for _, c := range []struct {
		name   string
		listen func(addr string) (net.Listener, error)
		bytes  int
	}{
		{"small requests", ListenSmall, smallReadBuffer},
		{"callers", ListenCallers, callerReadBuffer},
	} {
		Convey("The system's buffer of a connection is that of the listener: "+c.name, t, func() {
			l, err := c.listen("127.0.0.1:0")
			So(err, ShouldBeNil)
			defer l.Close()
			client, err := net.Dial("tcp", l.Addr().String())
			So(err, ShouldBeNil)
			defer client.Close()
			waiting, err := l.Accept()
			So(err, ShouldBeNil)
			defer waiting.Close()
			raw, err := waiting.(*net.TCPConn).SyscallConn()
			So(err, ShouldBeNil)
			var size int
			So(raw.Control(func(fd uintptr) {
				size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
			}), ShouldBeNil)
			So(err, ShouldBeNil)
			So(size, ShouldBeLessThanOrEqualTo, 2*c.bytes) // the system doubles it
		})
	}
}

// BenchmarkUpload measures what the small buffers of the callers' port cost a body, on a
// connection of its own and on a kept one.
func BenchmarkUpload(b *testing.B) {
	for _, c := range []struct {
		name   string
		listen func(addr string) (net.Listener, error)
	}{
		{"callers", ListenCallers},
		{"plain", func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }},
	} {
		for _, size := range []int{16 << 10, 64 << 10, 400 << 10} {
			b.Run(c.name+"/"+strconv.Itoa(size>>10)+"KB/new", func(b *testing.B) { benchmarkUpload(b, c.listen, size, false) })
			b.Run(c.name+"/"+strconv.Itoa(size>>10)+"KB/kept", func(b *testing.B) { benchmarkUpload(b, c.listen, size, true) })
		}
	}
}

func benchmarkUpload(b *testing.B, listen func(addr string) (net.Listener, error), size int, keep bool) {
	l, err := listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := NewServer(Config{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
	})})
	go srv.Serve(l)
	defer srv.Close()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: !keep}}
	defer client.CloseIdleConnections()
	url, body := "http://"+l.Addr().String(), bytes.Repeat([]byte("a"), size)
	for b.Loop() {
		resp, err := client.Post(url, "text/plain", bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		resp.Body.Close()
	}
}
