package wire

import (
	"github.com/rotisserie/eris"
)

var (
	// ErrClosed is returned for calls on a closed connection.
	ErrClosed = eris.New("connection closed")
	// ErrSuspect is returned by Get for a peer that does not answer pings.
	ErrSuspect = eris.New("peer does not answer")
	// ErrSilent is why a connection was closed whose peer did not answer pings.
	ErrSilent = eris.New("connection went silent")
)
