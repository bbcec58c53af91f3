package wire

import (
	"github.com/rotisserie/eris"
)

var (
	// ErrClosed is returned for calls on a closed connection.
	ErrClosed = eris.New("connection closed")
	// ErrPeerSuspected is returned by Get for a peer that does not answer
	// pings.
	ErrPeerSuspected = eris.New("peer does not answer")
	// ErrKeepaliveTimeout is why a connection was closed whose peer did not
	// answer pings.
	ErrKeepaliveTimeout = eris.New("connection went silent")
)
