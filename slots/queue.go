package slots

import "iter"

// PriorityQueue is a queue with priority levels: Pop returns the oldest
// entry of the lowest non-empty level. The zero value is an empty queue. It
// is not safe for concurrent use.
type PriorityQueue[T any] struct {
	queues [][]T
	n      int
}

// Push adds an entry at a level, which must not be negative.
func (q *PriorityQueue[T]) Push(level int, v T) {
	for len(q.queues) <= level {
		q.queues = append(q.queues, nil)
	}
	q.queues[level] = append(q.queues[level], v)
	q.n++
}

// Pop removes and returns the next entry; ok is false if the queue is empty.
func (q *PriorityQueue[T]) Pop() (v T, ok bool) {
	for i, entries := range q.queues {
		if len(entries) == 0 {
			continue
		}
		v = entries[0]
		var zero T
		entries[0] = zero
		q.queues[i] = entries[1:]
		q.n--
		return v, true
	}
	return v, false
}

// Remove removes the entries of a level for which drop returns true.
func (q *PriorityQueue[T]) Remove(level int, drop func(T) bool) {
	if level >= len(q.queues) {
		return
	}
	var kept []T
	for _, v := range q.queues[level] {
		if drop(v) {
			q.n--
			continue
		}
		kept = append(kept, v)
	}
	q.queues[level] = kept
}

// Ahead returns the number of entries that are popped before a new one at a
// level.
func (q *PriorityQueue[T]) Ahead(level int) int {
	n := 0
	for i := 0; i <= level && i < len(q.queues); i++ {
		n += len(q.queues[i])
	}
	return n
}

// All returns the entries in the order in which Pop returns them.
func (q *PriorityQueue[T]) All() iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, entries := range q.queues {
			for _, v := range entries {
				if !yield(v) {
					return
				}
			}
		}
	}
}

// Len returns the number of entries.
func (q *PriorityQueue[T]) Len() int { return q.n }
