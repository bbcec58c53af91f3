package sidecar

import (
	stdlog "log"
	"strings"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/timeline"
)

// serverLog writes the lines of an http.Server to the log of the node.
type serverLog struct{ log *timeline.LimitedLogger }

// newServerLog returns a logger for an http.Server.
func newServerLog(l log.Interface) *stdlog.Logger {
	return stdlog.New(serverLog{timeline.NewLimitedLogger(l, timeline.DefaultLinesPerSecond)}, "", 0)
}

// Write logs one line.
func (w serverLog) Write(line []byte) (int, error) {
	w.log.Log("http_server", func() log.Fields { return log.Fields{"line": strings.TrimSpace(string(line))} })
	return len(line), nil
}
