package slots

// Levels is a queue of queues: Pop takes the oldest entry of the lowest
// level that has one. The zero value is empty and ready.
type Levels[T any] struct {
	queues [][]T
	n      int
}

// Push adds an entry at a level (0 or more).
func (l *Levels[T]) Push(level int, v T) {
	for len(l.queues) <= level {
		l.queues = append(l.queues, nil)
	}
	l.queues[level] = append(l.queues[level], v)
	l.n++
}

// Pop takes the next entry out; ok is false when there is none.
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

// Remove takes out the entries of a level for which drop is true.
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

// Ahead returns how many entries come before a new one at a level.
func (l *Levels[T]) Ahead(level int) int {
	n := 0
	for i := 0; i <= level && i < len(l.queues); i++ {
		n += len(l.queues[i])
	}
	return n
}

// Len returns how many entries wait.
func (l *Levels[T]) Len() int { return l.n }
