package simulation

import (
	"container/heap"
	"time"
)

// item is something that happens at a time.
type item struct {
	at  time.Duration
	seq uint64
	fn  func()
	off bool
	pos int
}

// queue is a heap of items, the next one first; those of one time in the order in which they were put.
type queue []*item

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i]; q[i].pos, q[j].pos = i, j }

func (q *queue) Push(x any) { it := x.(*item); it.pos = len(*q); *q = append(*q, it) }

func (q *queue) Pop() any {
	old := *q
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	it.pos = -1
	return it
}

// at has something happen at a time, or now where that is over.
func (w *World) at(d time.Duration, fn func()) *item {
	w.seq++
	it := &item{at: max(w.now, d), seq: w.seq, fn: fn}
	heap.Push(&w.q, it)
	return it
}

// every has something happen again and again.
func (w *World) every(d time.Duration, fn func()) {
	w.at(w.now+d, func() { fn(); w.every(d, fn) })
}
