package inbound

import "bytes"

// headScan finds the lines and the end of a head in bytes as they arrive.
type headScan struct {
	size  int  // bytes
	line  int  // bytes of the line that has begun
	cr    bool // that line begins with a carriage return
	ended bool
}

// scan returns how many of b belong to the head, and how many lines end in them. What
// comes after the empty line at the end of the head does not.
func (s *headScan) scan(b []byte) (size, lines int) {
	for size < len(b) && !s.ended {
		rest := b[size:]
		if s.line == 0 {
			s.cr = rest[0] == '\r'
		}
		i := bytes.IndexByte(rest, '\n')
		if i < 0 {
			s.line += len(rest)
			size += len(rest)
			break
		}
		length := s.line + i
		s.ended = length == 0 || (length == 1 && s.cr)
		s.line = 0
		size += i + 1
		lines++
	}
	s.size += size
	return size, lines
}

// skipStart continues within a head of which some bytes were read before. They may end
// within a line, so that the rest of that line is not taken for an empty one.
func (s *headScan) skipStart(size int) { *s = headScan{size: size, line: 2} }
