package simulation

import (
	"container/heap"
	"time"
)

// event is a function scheduled for a point in simulated time.
type event struct {
	at       time.Duration
	sequence uint64 // position in the order in which events were scheduled
	run      func()
}

// eventQueue is a heap with the earliest event first. Events at the same time keep the order in which they were
// scheduled. It implements heap.Interface.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) {
	next, ok := x.(*event)
	if !ok {
		panic("eventQueue.Push: the value must be an *event")
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

// next removes and returns the earliest event. It returns nil if no event is scheduled up to the time end.
func (q *eventQueue) next(end time.Duration) *event {
	if len(*q) == 0 || (*q)[0].at > end {
		return nil
	}
	earliest := (*q)[0]
	heap.Pop(q)
	return earliest
}

// schedule schedules a function for a given time, or for the current time if the given time has passed.
func (w *World) schedule(at time.Duration, run func()) {
	w.lastSequence++
	heap.Push(&w.queue, &event{at: max(w.now, at), sequence: w.lastSequence, run: run})
}

// scheduleEvery runs a function at each interval until the end of the run.
func (w *World) scheduleEvery(interval time.Duration, run func()) {
	w.schedule(w.now+interval, func() {
		run()
		w.scheduleEvery(interval, run)
	})
}
