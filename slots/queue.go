package slots

// Levels is a priority queue: Pop returns the oldest entry of the lowest
// non-empty level. The zero value is an empty queue. It is not safe for
// concurrent use.
type Levels[T any] struct {
	queues [][]T
	n      int
}

// Push adds an entry at a level, which must not be negative.
func (l *Levels[T]) Push(level int, v T) {
	for len(l.queues) <= level {
		l.queues = append(l.queues, nil)
	}
	l.queues[level] = append(l.queues[level], v)
	l.n++
}

// Pop removes and returns the next entry; ok is false if the queue is empty.
func (l *Levels[T]) Pop() (v T, ok bool) {
	for i, q := range l.queues {
		if len(q) == 0 {
			continue
		}
		v = q[0]
		var zero T
		q[0] = zero
		l.queues[i] = q[1:]
		l.n--
		return v, true
	}
	return v, false
}

// Remove removes the entries of a level for which drop returns true.
func (l *Levels[T]) Remove(level int, drop func(T) bool) {
	if level >= len(l.queues) {
		return
	}
	var kept []T
	for _, v := range l.queues[level] {
		if drop(v) {
			l.n--
			continue
		}
		kept = append(kept, v)
	}
	l.queues[level] = kept
}

// Ahead returns the number of entries that are popped before a new one at a
// level.
func (l *Levels[T]) Ahead(level int) int {
	n := 0
	for i := 0; i <= level && i < len(l.queues); i++ {
		n += len(l.queues[i])
	}
	return n
}

// Len returns the number of entries.
func (l *Levels[T]) Len() int { return l.n }
