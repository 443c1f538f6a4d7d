package loop

import (
	"container/heap"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// timerTolerance is how late a timer may run and still count as on time. Timers that are later than this run after the
// events that are ready.
const timerTolerance = 2 * time.Millisecond

// timer is a callback that runs at a time.
type timer struct {
	due      time.Time
	sequence uint64
	callback func()
	position int // index in the heap; -1: not in the heap
}

// timers is a heap.Interface. If two timers are due at the same time, the one that was set first comes first.
type timers struct {
	heap     []*timer
	sequence uint64
}

func (t *timers) Len() int { return len(t.heap) }

func (t *timers) Less(i, j int) bool {
	first, second := t.heap[i], t.heap[j]
	return first.due.Before(second.due) || first.due.Equal(second.due) && first.sequence < second.sequence
}

func (t *timers) Swap(i, j int) {
	t.heap[i], t.heap[j] = t.heap[j], t.heap[i]
	t.heap[i].position = i
	t.heap[j].position = j
}

func (t *timers) Push(added any) {
	last := added.(*timer) //nolint:forcetypeassert // heap.Push is called only with timers
	last.position = len(t.heap)
	t.heap = append(t.heap, last)
}

func (t *timers) Pop() any {
	end := len(t.heap) - 1
	last := t.heap[end]
	t.heap[end] = nil
	t.heap = t.heap[:end]
	last.position = -1
	return last
}

// pop removes and returns the timer that is due next.
func (t *timers) pop() *timer {
	return heap.Pop(t).(*timer) //nolint:forcetypeassert // the heap holds only timers
}

// At runs fn at the time due, but never before the present callback has returned. stop cancels the timer.
func (l *Loop) At(due time.Time, fn func()) (stop func()) {
	l.timers.sequence++
	added := &timer{due: due, sequence: l.timers.sequence, callback: fn}
	heap.Push(&l.timers, added)
	return func() {
		if added.position >= 0 {
			heap.Remove(&l.timers, added.position)
		}
	}
}

// timerReady runs the timers that are due. Late timers run after the other events that are ready: when the process gets
// only a small share of a core, one poll may report both a reply and its timeout, and the order in which the kernel
// lists them must not decide which one is handled first. To delay the late timers, timerReady leaves their descriptor
// unread, so that the next poll reports it again.
func (l *Loop) timerReady(uint32) {
	late := len(l.timers.heap) > 0 && time.Since(l.timers.heap[0].due) > timerTolerance
	if late && !l.timersYielded {
		l.timersYielded = true
		return
	}
	var expirations [8]byte
	_, _ = unix.Read(l.timerFD, expirations[:]) // if interrupted, the next poll reports the descriptor again
	l.timerArmedFor = time.Time{}
	l.runTimers()
}

// runTimers runs the timers that are due.
func (l *Loop) runTimers() {
	l.timersYielded = false
	now := time.Now()
	// Timers that these callbacks set run only in the next call, so that no callback can monopolize the loop.
	lastSequence := l.timers.sequence
	var deferred []*timer
	for len(l.timers.heap) > 0 && !l.timers.heap[0].due.After(now) {
		next := l.timers.pop()
		if next.sequence > lastSequence {
			deferred = append(deferred, next)
			continue
		}
		next.callback()
		l.runAfterCallback()
	}
	for _, next := range deferred {
		heap.Push(&l.timers, next)
	}
}

// armTimer makes the timer descriptor become readable when the next timer is due.
func (l *Loop) armTimer() {
	if len(l.timers.heap) == 0 || l.timersYielded {
		return
	}
	due := l.timers.heap[0].due
	if due.Equal(l.timerArmedFor) {
		return
	}
	l.timerArmedFor = due
	remaining := max(time.Until(due), time.Microsecond) // 0 would disarm the descriptor
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(remaining))}
	if err := unix.TimerfdSettime(l.timerFD, 0, &spec, nil); err != nil {
		l.timerArmedFor = time.Time{} // armTimer sets it again after the next callback
		zap.L().Error("loop_timer_failed", zap.Error(err))
	}
}
