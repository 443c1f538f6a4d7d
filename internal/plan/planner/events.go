package planner

import "time"

// event is something that happens at a time of the simulation. A cancelled one has no action.
type event struct {
	action func()
	node   *node // whose core is flushed after the action; nil: none
}

// scheduledEvent is an event in the queue.
type scheduledEvent struct {
	at       time.Duration
	sequence uint64 // events of one time happen in the order in which they were scheduled
	event    *event
}

func (e scheduledEvent) before(other scheduledEvent) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// eventQueue is a heap of events, the next one first. Each place has four children and elements are compared without an
// interface, unlike in container/heap: a long run spends half its time here.
type eventQueue []scheduledEvent

const heapChildren = 4

func (q *eventQueue) push(added scheduledEvent) {
	heap := append(*q, added)
	place := len(heap) - 1
	for place > 0 {
		parent := (place - 1) / heapChildren
		if !added.before(heap[parent]) {
			break
		}
		heap[place] = heap[parent]
		place = parent
	}
	heap[place] = added
	*q = heap
}

func (q *eventQueue) pop() scheduledEvent {
	heap := *q
	first := heap[0]
	last := heap[len(heap)-1]
	heap[len(heap)-1] = scheduledEvent{} // for the garbage collector
	heap = heap[:len(heap)-1]
	*q = heap
	if len(heap) == 0 {
		return first
	}
	place := 0
	for {
		least := heapChildren*place + 1
		if least >= len(heap) {
			break
		}
		for child := least + 1; child < min(heapChildren*(place+1)+1, len(heap)); child++ {
			if heap[child].before(heap[least]) {
				least = child
			}
		}
		if !heap[least].before(last) {
			break
		}
		heap[place] = heap[least]
		place = least
	}
	heap[place] = last
	return first
}
