package wire

import (
	"github.com/rotisserie/eris"
)

var (
	// ErrClosed is returned for calls on a connection that has closed.
	ErrClosed = eris.New("connection closed")
	// ErrSuspect is returned by Get for a peer that does not answer a ping.
	ErrSuspect = eris.New("peer does not answer")
	// ErrSilent is returned when a connection stopped answering pings.
	ErrSilent = eris.New("connection went silent")
)
