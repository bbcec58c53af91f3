package answertest

import (
	"bufio"
	"net"
	"net/http"
	"testing"
)

// Serve listens on a loopback address until the test ends, reads the head of one request
// on each connection, calls answer and closes the connection. It returns host:port.
func Serve(t testing.TB, answer func(c *net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c, answer)
		}
	}()
	return l.Addr().String()
}

func serve(c net.Conn, answer func(c *net.TCPConn)) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		answer(c.(*net.TCPConn))
	}
}
