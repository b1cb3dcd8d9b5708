// Package schedule provides a queue of items ordered by time, and by insertion where times are equal. It allocates
// only to grow, unlike container/heap, which boxes each item twice.
package schedule

import (
	"slices"
	"time"
)

// Queue is a priority queue of items by time. The zero Queue is empty. It is not safe for concurrent use.
type Queue[T any] struct {
	heap []item[T]
	seq  uint64
}

type item[T any] struct {
	at    time.Duration
	seq   uint64
	value T
}

func (a *item[T]) before(b *item[T]) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.heap) }

// Put inserts an item at a time, after those already there at the same time.
func (q *Queue[T]) Put(at time.Duration, value T) {
	q.seq++
	q.heap = append(q.heap, item[T]{at, q.seq, value})
	i := len(q.heap) - 1
	for i > 0 && q.heap[i].before(&q.heap[(i-1)/2]) {
		q.heap[i], q.heap[(i-1)/2] = q.heap[(i-1)/2], q.heap[i]
		i = (i - 1) / 2
	}
}

// Next returns the time of the first item, or false if the queue is empty.
func (q *Queue[T]) Next() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// Take removes the first item and returns it with its time. It panics if the queue is empty.
func (q *Queue[T]) Take() (time.Duration, T) {
	first, last := q.heap[0], len(q.heap)-1
	q.heap[0] = q.heap[last]
	q.heap[last] = item[T]{}
	q.heap = q.heap[:last]
	q.siftDown(0)
	return first.at, first.value
}

// DeleteFunc removes the items for which del returns true. The order of the others stays.
func (q *Queue[T]) DeleteFunc(del func(T) bool) {
	q.heap = slices.DeleteFunc(q.heap, func(x item[T]) bool { return del(x.value) })
	for i := len(q.heap)/2 - 1; i >= 0; i-- {
		q.siftDown(i)
	}
}

// first returns the first item. It panics if the queue is empty.
func (q *Queue[T]) first() T { return q.heap[0].value }

// siftDown moves the item at an index down to its place in the heap, if items below it come before it.
func (q *Queue[T]) siftDown(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(q.heap); c++ {
			if q.heap[c].before(&q.heap[least]) {
				least = c
			}
		}
		if least == i {
			return
		}
		q.heap[i], q.heap[least] = q.heap[least], q.heap[i]
		i = least
	}
}
