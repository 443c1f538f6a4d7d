package loop

import (
	"container/heap"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// timerTolerance is how late a timer may be and still count as on time. A later one lets all that lies ready go first.
const timerTolerance = 2 * time.Millisecond

type timer struct {
	due      time.Time
	sequence uint64
	callback func()
	position int // in the heap; -1: it is not there
}

// timers is a heap.Interface. Of two that are due at the same time the one that was set first comes first.
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
	last := added.(*timer) //nolint:forcetypeassert // heap.Push is called with timers alone
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

// pop takes out the timer that is due next.
func (t *timers) pop() *timer {
	return heap.Pop(t).(*timer) //nolint:forcetypeassert // the heap holds timers alone
}

// At runs fn at a time, never before the present callback has returned. The function that it returns cancels it.
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

// timerReady runs the timers that are due. Late ones go last: on a small part of a core an answer and the time set
// for it are found in one poll, and whichever the kernel names first must not decide. Their descriptor is left unread
// then, so that the next poll finds it again.
func (l *Loop) timerReady(uint32) {
	late := len(l.timers.heap) > 0 && time.Since(l.timers.heap[0].due) > timerTolerance
	if late && !l.timersYielded {
		l.timersYielded = true
		return
	}
	var expirations [8]byte
	_, _ = unix.Read(l.timerFD, expirations[:]) // where it is interrupted, the next poll finds it once more
	l.timerArmedFor = time.Time{}
	l.runTimers()
}

func (l *Loop) runTimers() {
	l.timersYielded = false
	now := time.Now()
	last := l.timers.sequence // what these callbacks set waits for the next round, so that none can hold the loop
	var nextRound []*timer
	for len(l.timers.heap) > 0 && !l.timers.heap[0].due.After(now) {
		next := l.timers.pop()
		if next.sequence > last {
			nextRound = append(nextRound, next)
			continue
		}
		next.callback()
		l.runAfterCallback()
	}
	for _, next := range nextRound {
		heap.Push(&l.timers, next)
	}
}

// armTimer has the timer's descriptor become ready when the next timer is due.
func (l *Loop) armTimer() {
	if len(l.timers.heap) == 0 || l.timersYielded {
		return
	}
	due := l.timers.heap[0].due
	if due.Equal(l.timerArmedFor) {
		return
	}
	l.timerArmedFor = due
	left := max(time.Until(due), time.Microsecond) // 0 would disarm it
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(left))}
	if err := unix.TimerfdSettime(l.timerFD, 0, &spec, nil); err != nil {
		l.timerArmedFor = time.Time{} // set again after the next callback
		zap.L().Error("loop_timer_failed", zap.Error(err))
	}
}
