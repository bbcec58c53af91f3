package wire

import (
	"net"
	"slices"
	"time"
)

const (
	// firstFrameTimeout is how long a connection may send no frame. An unused connection
	// of a node is pinged well before.
	firstFrameTimeout = 3 * IdleKeepaliveTimeout
	// minSilentTime is how long a connection may send no frame beside others that
	// wait. After a restart of all nodes their first frames are there, and unread.
	minSilentTime = 20 * time.Millisecond
	// silentPollInterval is how often a server without room looks for it.
	silentPollInterval = 5 * time.Millisecond
)

// silentConn is a connection that has sent no frame.
type silentConn struct {
	net.Conn
	opened time.Time
}

// awaitRoom waits until there are fewer silent connections than MaxSilentConns. A program
// that is no node could else open connections until the process has no descriptors left
// for its target and its callers.
func (s *Server) awaitRoom() {
	for !s.makeRoom() {
		time.Sleep(silentPollInterval)
	}
}

// makeRoom closes the first silent connection if there are too many, unless it is new.
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.MaxSilentConns <= 0 || len(s.silent) < s.MaxSilentConns:
		return true
	case time.Since(s.silent[0].opened) < minSilentTime:
		return false
	}
	s.silent[0].Close()
	s.silent = slices.Delete(s.silent, 0, 1)
	return true
}

// track adds a connection that has sent no frame.
func (s *Server) track(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[net.Conn]struct{}{}
	}
	s.conns[nc] = struct{}{}
	if s.MaxSilentConns <= 0 {
		return
	}
	now := time.Now()
	nc.SetReadDeadline(now.Add(firstFrameTimeout))
	s.silent = append(s.silent, silentConn{nc, now})
}

// recognize records that a connection has sent a frame.
func (s *Server) recognize(nc net.Conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.MaxSilentConns <= 0 {
		return nil
	}
	s.removeSilent(nc)
	return nc.SetReadDeadline(time.Time{})
}

func (s *Server) forget(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, nc)
	s.removeSilent(nc)
}

func (s *Server) removeSilent(nc net.Conn) {
	i := slices.IndexFunc(s.silent, func(o silentConn) bool { return o.Conn == nc })
	if i >= 0 {
		s.silent = slices.Delete(s.silent, i, i+1)
	}
}
