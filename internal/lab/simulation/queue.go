package simulation

import (
	"container/heap"
	"time"
)

// event is a function that runs at a point in simulated time.
type event struct {
	at       time.Duration
	sequence uint64 // the order in which events were scheduled
	run      func()
}

// eventQueue is a heap of events, the earliest first; those of one time in the order in which they were scheduled. It
// implements heap.Interface.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) {
	next, ok := x.(*event)
	if !ok {
		panic("the queue takes events only")
	}
	*q = append(*q, next)
}

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return popped
}

// next removes the earliest event and returns it; nil, if there is none until end.
func (q *eventQueue) next(end time.Duration) *event {
	if len(*q) == 0 || (*q)[0].at > end {
		return nil
	}
	earliest := (*q)[0]
	heap.Pop(q)
	return earliest
}

// schedule runs a function at a time, or now where that time is over.
func (w *World) schedule(at time.Duration, run func()) {
	w.lastSequence++
	heap.Push(&w.queue, &event{at: max(w.now, at), sequence: w.lastSequence, run: run})
}

// scheduleEvery runs a function again and again.
func (w *World) scheduleEvery(interval time.Duration, run func()) {
	w.schedule(w.now+interval, func() {
		run()
		w.scheduleEvery(interval, run)
	})
}
