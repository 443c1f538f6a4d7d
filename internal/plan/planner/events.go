package planner

import "time"

// event is an action that the simulation runs at a given time. A cancelled event has a nil action.
type event struct {
	action func()
	node   *node // node whose core is flushed after the action; may be nil
}

// scheduledEvent is an event in the queue.
type scheduledEvent struct {
	at       time.Duration
	sequence uint64 // events with the same time run in the order in which they were scheduled
	event    *event
}

func (e scheduledEvent) before(other scheduledEvent) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// eventQueue is a heap of events with the next one first. Each entry has four children and entries are compared without
// an interface, unlike in container/heap, because a long run spends half its time here.
type eventQueue []scheduledEvent

const heapChildren = 4

func (q *eventQueue) push(added scheduledEvent) {
	heap := append(*q, added)
	index := len(heap) - 1
	for index > 0 {
		parent := (index - 1) / heapChildren
		if !added.before(heap[parent]) {
			break
		}
		heap[index] = heap[parent]
		index = parent
	}
	heap[index] = added
	*q = heap
}

func (q *eventQueue) pop() scheduledEvent {
	heap := *q
	first := heap[0]
	last := heap[len(heap)-1]
	heap[len(heap)-1] = scheduledEvent{} // lets the garbage collector free the event
	heap = heap[:len(heap)-1]
	*q = heap
	if len(heap) == 0 {
		return first
	}
	index := 0
	for {
		smallest := heapChildren*index + 1
		if smallest >= len(heap) {
			break
		}
		for child := smallest + 1; child < min(heapChildren*(index+1)+1, len(heap)); child++ {
			if heap[child].before(heap[smallest]) {
				smallest = child
			}
		}
		if !heap[smallest].before(last) {
			break
		}
		heap[index] = heap[smallest]
		index = smallest
	}
	heap[index] = last
	return first
}
