package driver

import (
	"container/heap"
	"time"
)

// timers is a heap of times with what is due then. What no longer holds is found out when it comes due.
type timers struct {
	heap timerHeap
	seq  uint64
}

type timer struct {
	at  time.Duration
	seq uint64 // ties go in the order of setting
	due func(now time.Duration)
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}

func (t *timers) set(at time.Duration, due func(now time.Duration)) {
	t.seq++
	heap.Push(&t.heap, timer{at, t.seq, due})
}

// run calls what is due by now.
func (t *timers) run(now time.Duration) {
	for len(t.heap) > 0 && t.heap[0].at <= now {
		heap.Pop(&t.heap).(timer).due(now)
	}
}

func (t *timers) next() (time.Duration, bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}
