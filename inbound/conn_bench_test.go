package inbound

import (
	"io"
	"net"
	"testing"
)

// BenchmarkConnWrite measures what the bound on stalled writes adds to the
// write of a small answer.
func BenchmarkConnWrite(b *testing.B) {
	for _, c := range []struct {
		name string
		wrap func(net.Conn) net.Conn
	}{
		{"bounded", func(c net.Conn) net.Conn { return &conn{Conn: c} }},
		{"plain", func(c net.Conn) net.Conn { return c }},
	} {
		b.Run(c.name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			go func() {
				if peer, err := l.Accept(); err == nil {
					io.Copy(io.Discard, peer)
				}
			}()
			nc, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer nc.Close()
			conn, answer := c.wrap(nc), make([]byte, 600)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(answer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
