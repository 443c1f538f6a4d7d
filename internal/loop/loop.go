// Package loop is the one event loop of the program: gnet's poller under connections that are objects with
// callbacks, with non-blocking dialling, accepting and timers. All callbacks run on the loop's goroutine, which owns
// the state of the whole program; nothing is started for a single connection.
//
// It stands on gnet's poller (pkg/netpoll) and not on gnet's engine. The engine was probed and lacks three things
// that the node can't do without: a connect that doesn't block, a pause in reading (back-pressure), and outliving
// an accept that fails for want of descriptors.
package loop

import (
	"container/heap"
	"container/list"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"golang.org/x/sys/unix"

	gneterrors "github.com/panjf2000/gnet/v2/pkg/errors"

	"go.uber.org/zap"
)

const (
	readSize    = 16 << 10 // most that one read takes
	acceptBurst = 64       // connections taken in one go; the rest wait for the next round

	// timerTolerance is how late a timer may be and still count as on time. A later one lets all that lies ready go first.
	timerTolerance = 2 * time.Millisecond
)

// Loop runs callbacks. All methods but Post belong to the loop's goroutine, or to the time before Run.
type Loop struct {
	poller        *netpoll.Poller
	kernel        Kernel
	handlers      map[int]func(events uint32)
	timers        timers
	posts         *postQueue
	timerFD       int
	timerArmedFor time.Time
	timersYielded bool // late timers wait for what lies ready
	afterCallback []func()
	readBuffer    [readSize]byte
	spareFD       int // a descriptor kept back, to turn a client away when there is no other left
	stopping      bool
	open          int
	idleQueue     list.List // connections that may go for others, oldest first: see room.go
	idleLimit     int       // connections from which on they go; 0: never
	ownIdleLimit  int       // the same, when no other process shares the node's descriptors
	highWater     int
}

// New makes a loop that is not running yet.
func New() (*Loop, error) { return NewOn(Linux{}) }

// NewOn makes a loop on another kernel.
func NewOn(kernel Kernel) (*Loop, error) {
	p, err := netpoll.OpenPoller()
	if err != nil {
		return nil, fmt.Errorf("loop: %w", err)
	}
	l := &Loop{poller: p, kernel: kernel, handlers: map[int]func(uint32){}, spareFD: -1, highWater: maxHighWater}
	l.timerFD, err = unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("loop: timerfd: %w", err)
	}
	l.handlers[l.timerFD] = l.timerReady
	if err := p.AddRead(&netpoll.PollAttachment{FD: l.timerFD}, false); err != nil {
		return nil, fmt.Errorf("loop: %w", err)
	}
	if l.posts, err = newPostQueue(); err != nil {
		return nil, fmt.Errorf("loop: %w", err)
	}
	l.handlers[l.posts.fd] = l.runPosted
	if err := p.AddRead(&netpoll.PollAttachment{FD: l.posts.fd}, false); err != nil {
		return nil, fmt.Errorf("loop: %w", err)
	}
	l.openSpare()
	return l, nil
}

// Now is the time, from the system's clocks.
func (l *Loop) Now() time.Time { return time.Now() }

// Open counts the connections, both sides.
func (l *Loop) Open() int { return l.open }

// After adds a function that runs whenever a callback has returned.
func (l *Loop) After(fn func()) { l.afterCallback = append(l.afterCallback, fn) }

// Post runs fn on the loop; any goroutine may call it.
func (l *Loop) Post(fn func()) { l.posts.add(fn) }

// runPosted runs what other goroutines have posted.
func (l *Loop) runPosted(uint32) {
	for _, fn := range l.posts.take() {
		fn()
		for _, after := range l.afterCallback {
			after()
		}
	}
}

// Stop ends Run.
func (l *Loop) Stop() { l.stopping = true }

// Run runs until Stop.
func (l *Loop) Run() error {
	l.runAfterCallback()
	err := l.poller.Polling(func(fd int, ev netpoll.IOEvent, _ netpoll.IOFlags) error {
		if fn := l.handlers[fd]; fn != nil {
			fn(uint32(ev))
		}
		l.runAfterCallback()
		if l.stopping {
			return gneterrors.ErrEngineShutdown
		}
		return nil
	})
	if errors.Is(err, gneterrors.ErrEngineShutdown) {
		return nil
	}
	return err
}

// Serves reports whether a descriptor is one of the loop's.
func (l *Loop) Serves(fd int) bool { return l.handlers[fd] != nil }

// Close closes all that the loop served, as the process's end would. It is called once Run has returned.
func (l *Loop) Close() {
	delete(l.handlers, l.posts.fd)
	l.posts.close()
	for fd := range l.handlers {
		unix.Close(fd)
	}
	clear(l.handlers)
	l.poller.Close()
	if l.spareFD >= 0 {
		unix.Close(l.spareFD)
		l.spareFD = -1
	}
}

func (l *Loop) runAfterCallback() {
	for _, fn := range l.afterCallback {
		fn()
	}
	l.armTimer()
}

// Timers.

type timer struct {
	due      time.Time
	sequence uint64
	callback func()
	position int
}

type timers struct {
	heap     []*timer
	sequence uint64
}

func (t *timers) Len() int { return len(t.heap) }
func (t *timers) Less(i, j int) bool {
	a, b := t.heap[i], t.heap[j]
	return a.due.Before(b.due) || a.due.Equal(b.due) && a.sequence < b.sequence
}
func (t *timers) Swap(i, j int) {
	t.heap[i], t.heap[j] = t.heap[j], t.heap[i]
	t.heap[i].position, t.heap[j].position = i, j
}
func (t *timers) Push(x any) {
	n := x.(*timer)
	n.position = len(t.heap)
	t.heap = append(t.heap, n)
}
func (t *timers) Pop() any {
	n := t.heap[len(t.heap)-1]
	t.heap[len(t.heap)-1] = nil
	t.heap = t.heap[:len(t.heap)-1]
	n.position = -1
	return n
}

// At runs fn at a time, never before the present callback has returned. The function that it returns takes it back.
func (l *Loop) At(at time.Time, fn func()) (stop func()) {
	l.timers.sequence++
	t := &timer{due: at, sequence: l.timers.sequence, callback: fn}
	heap.Push(&l.timers, t)
	return func() {
		if t.position >= 0 {
			heap.Remove(&l.timers, t.position)
		}
	}
}

// timerReady runs the timers that are due. Late ones go last: on a small share of a core an answer and the time set for it are found in
// one poll, and whichever the kernel names first must not decide. Their descriptor is left unread then, so that the next poll finds it again.
func (l *Loop) timerReady(uint32) {
	late := len(l.timers.heap) > 0 && time.Since(l.timers.heap[0].due) > timerTolerance
	if late && !l.timersYielded {
		l.timersYielded = true
		return
	}
	var b [8]byte
	unix.Read(l.timerFD, b[:]) // where it is interrupted, the next poll finds it once more
	l.timerArmedFor = time.Time{}
	l.runTimers()
}

func (l *Loop) runTimers() {
	l.timersYielded = false
	now := time.Now()
	last := l.timers.sequence // what these callbacks set waits for the next round, so that none can hold the loop
	var later []*timer
	for len(l.timers.heap) > 0 && !l.timers.heap[0].due.After(now) {
		t := heap.Pop(&l.timers).(*timer)
		if t.sequence > last {
			later = append(later, t)
			continue
		}
		t.callback()
		for _, fn := range l.afterCallback {
			fn()
		}
	}
	for _, t := range later {
		heap.Push(&l.timers, t)
	}
}

func (l *Loop) armTimer() {
	if len(l.timers.heap) == 0 || l.timersYielded {
		return
	}
	at := l.timers.heap[0].due
	if at.Equal(l.timerArmedFor) {
		return
	}
	l.timerArmedFor = at
	in := max(time.Until(at), time.Microsecond)
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(in))}
	if err := unix.TimerfdSettime(l.timerFD, 0, &spec, nil); err != nil {
		l.timerArmedFor = time.Time{} // set again after the next callback
		zap.L().Error("loop_timer_failed", zap.Error(err))
	}
}

// setOptions has small writes go out at once, and the kernel notice in minutes peers that vanished.
func setOptions(fd int) {
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 60)
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 20)
}

func (l *Loop) openSpare() {
	f, err := unix.Open(os.DevNull, unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		f = -1
	}
	l.spareFD = f
}

func sockaddr(ap netip.AddrPort) (unix.Sockaddr, int) {
	if ap.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(ap.Port()), Addr: ap.Addr().As4()}, unix.AF_INET
	}
	return &unix.SockaddrInet6{Port: int(ap.Port()), Addr: ap.Addr().As16()}, unix.AF_INET6
}

func addrPort(sa unix.Sockaddr) netip.AddrPort {
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(sa.Addr), uint16(sa.Port))
	}
	return netip.AddrPort{}
}
