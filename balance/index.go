package balance

import "time"

// timeIndex is a binary min-heap of items by time. Each item's slot knows its place in the heap, so that
// items can be moved and removed.
type timeIndex[T any] struct{ heap []*timeSlot[T] }

// timeSlot is an item's handle in an index. The zero value is in no index.
type timeSlot[T any] struct {
	item  T
	at    time.Duration
	place int // in the heap, counted from 1; 0 if not in it
}

// set inserts the slot's item at a time, or moves it to that time.
func (d *timeIndex[T]) set(s *timeSlot[T], at time.Duration) {
	s.at = at
	if s.place == 0 {
		d.heap = append(d.heap, s)
		s.place = len(d.heap)
	}
	d.fix(s.place - 1)
}

func (d *timeIndex[T]) remove(s *timeSlot[T]) {
	if s.place == 0 {
		return
	}
	i, last := s.place-1, len(d.heap)-1
	d.swap(i, last)
	d.heap[last], d.heap = nil, d.heap[:last]
	if s.place = 0; i < last {
		d.fix(i)
	}
}

// next returns the least time, or false if the index is empty.
func (d *timeIndex[T]) next() (time.Duration, bool) {
	if len(d.heap) == 0 {
		return 0, false
	}
	return d.heap[0].at, true
}

// popDue removes the items whose time is now or earlier and appends them to list in no particular order.
func (d *timeIndex[T]) popDue(now time.Duration, list []T) []T {
	for len(d.heap) > 0 && d.heap[0].at <= now {
		s := d.heap[0]
		d.remove(s)
		list = append(list, s.item)
	}
	return list
}

func (d *timeIndex[T]) swap(i, j int) {
	d.heap[i], d.heap[j] = d.heap[j], d.heap[i]
	d.heap[i].place, d.heap[j].place = i+1, j+1
}

// fix restores the heap order after the time of the slot at i has changed.
func (d *timeIndex[T]) fix(i int) {
	for i > 0 && d.heap[i].at < d.heap[(i-1)/2].at {
		d.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(d.heap); c++ {
			if d.heap[c].at < d.heap[least].at {
				least = c
			}
		}
		if least == i {
			return
		}
		d.swap(i, least)
		i = least
	}
}
