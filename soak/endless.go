package soak

import (
	"io"
	"net/http"
	"strings"
)

// endlessAnswer is an answer that begins with start and goes on with repeated until
// the connection is closed.
type endlessAnswer struct{ start, repeated string }

// endlessAnswers are what a faulty Target sends.
var endlessAnswers = []endlessAnswer{
	{"HTTP/1.1 200 ", strings.Repeat("x", 32<<10)},
	{"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 32<<10)},
	{"HTTP/1.1 200 OK\r\n", strings.Repeat("X: y\r\n", 4<<10)},
	{"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 32<<10)},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n" + strings.Repeat("x", 32<<10) + "\r\n"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 4<<10)},
	{"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<10)},
}

// SetEndless makes the target execute requests and answer them without end; nil makes
// it answer as usual again.
func (t *Target) SetEndless(a *endlessAnswer) { t.endless.Store(a) }

// writeEndless writes an answer without end in place of the usual one.
func writeEndless(w http.ResponseWriter, a *endlessAnswer) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is gone
	}
	defer c.Close()
	_, err = io.WriteString(c, a.start)
	for err == nil {
		_, err = io.WriteString(c, a.repeated)
	}
}
