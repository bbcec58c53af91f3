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
	// minStrangerTime is how long a connection may send no frame beside others that
	// wait. After a restart of all nodes their first frames are there, and unread.
	minStrangerTime = 20 * time.Millisecond
	// strangerPollInterval is how often a server without room looks for it.
	strangerPollInterval = 5 * time.Millisecond
)

// stranger is a connection that has sent no frame.
type stranger struct {
	net.Conn
	opened time.Time
}

// awaitRoom waits until there are fewer strangers than MaxStrangers. A program that is
// no node could else open connections until the process has no descriptors left for its
// target and its callers.
func (s *Server) awaitRoom() {
	for !s.makeRoom() {
		time.Sleep(strangerPollInterval)
	}
}

// makeRoom closes the first stranger if there are too many, unless it is new.
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.MaxStrangers <= 0 || len(s.strangers) < s.MaxStrangers:
		return true
	case time.Since(s.strangers[0].opened) < minStrangerTime:
		return false
	}
	s.strangers[0].Close()
	s.strangers = slices.Delete(s.strangers, 0, 1)
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
	if s.MaxStrangers <= 0 {
		return
	}
	now := time.Now()
	nc.SetReadDeadline(now.Add(firstFrameTimeout))
	s.strangers = append(s.strangers, stranger{nc, now})
}

// recognize records that a connection has sent a frame.
func (s *Server) recognize(nc net.Conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.MaxStrangers <= 0 {
		return nil
	}
	s.removeStranger(nc)
	return nc.SetReadDeadline(time.Time{})
}

func (s *Server) forget(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, nc)
	s.removeStranger(nc)
}

func (s *Server) removeStranger(nc net.Conn) {
	i := slices.IndexFunc(s.strangers, func(o stranger) bool { return o.Conn == nc })
	if i >= 0 {
		s.strangers = slices.Delete(s.strangers, i, i+1)
	}
}
