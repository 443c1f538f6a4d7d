package loop

import (
	"container/list"
	"errors"
	"fmt"
	"os"
	"time"

	gneterrors "github.com/panjf2000/gnet/v2/pkg/errors"
	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"golang.org/x/sys/unix"
)

const (
	readSize    = 16 << 10 // bytes that one read takes at the most
	acceptBurst = 64       // connections accepted in one go; the rest wait for the next round
)

// Loop runs callbacks. All methods but Post belong to the loop's goroutine, or to the time before Run.
type Loop struct {
	poller        *netpoll.Poller
	kernel        Kernel
	handlers      map[int]func(events uint32) // by descriptor
	timers        timers
	posts         *postQueue
	timerFD       int
	timerArmedFor time.Time
	timersYielded bool // late timers wait for what lies ready
	afterCallback []func()
	readBuffer    [readSize]byte
	spareFD       int // reserved, to answer a client when no other descriptor is left; -1: none
	stopping      bool
	open          int
	idleQueue     list.List // of *Conn that may be evicted, oldest first: see idle.go
	idleLimit     int       // connections from which on they are evicted; 0: never
	ownIdleLimit  int       // the same, when no other process shares the node's descriptors
	highWater     int       // bytes that wait to be written on a connection before its source should pause
}

// New makes a loop that is not running yet.
func New() (*Loop, error) { return NewOn(Linux{}) }

// NewOn makes a loop on another kernel.
func NewOn(kernel Kernel) (*Loop, error) {
	poller, err := netpoll.OpenPoller()
	if err != nil {
		return nil, fmt.Errorf("loop: %w", err)
	}
	created := &Loop{
		poller: poller, kernel: kernel, handlers: map[int]func(uint32){}, spareFD: -1, highWater: maxHighWater,
	}
	created.timerFD, err = unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("loop: timerfd: %w", err)
	}
	if err := created.watchOwn(created.timerFD, created.timerReady); err != nil {
		return nil, err
	}
	if created.posts, err = newPostQueue(); err != nil {
		return nil, fmt.Errorf("loop: %w", err)
	}
	if err := created.watchOwn(created.posts.fd, created.runPosted); err != nil {
		return nil, err
	}
	created.openSpare()
	return created, nil
}

// watchOwn has the poller watch a descriptor of the loop itself.
func (l *Loop) watchOwn(fd int, ready func(events uint32)) error {
	l.handlers[fd] = ready
	if err := l.poller.AddRead(&netpoll.PollAttachment{FD: fd}, false); err != nil {
		return fmt.Errorf("loop: %w", err)
	}
	return nil
}

// Now is the time, from the system's clocks.
func (l *Loop) Now() time.Time { return time.Now() }

// Open counts the connections, those of clients and those to servers.
func (l *Loop) Open() int { return l.open }

// After adds a function that runs whenever a callback has returned.
func (l *Loop) After(fn func()) { l.afterCallback = append(l.afterCallback, fn) }

// Post runs fn on the loop; any goroutine may call it.
func (l *Loop) Post(fn func()) { l.posts.add(fn) }

// runPosted runs what other goroutines have posted.
func (l *Loop) runPosted(uint32) {
	for _, fn := range l.posts.take() {
		fn()
		l.runAfterCallback()
	}
}

// Stop ends Run.
func (l *Loop) Stop() { l.stopping = true }

// Run runs until Stop.
func (l *Loop) Run() error {
	l.finishRound()
	err := l.poller.Polling(func(fd int, events netpoll.IOEvent, _ netpoll.IOFlags) error {
		if ready := l.handlers[fd]; ready != nil {
			ready(events)
		}
		l.finishRound()
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

// Close closes all descriptors of the loop, as the end of the process would. It is called once Run has returned.
func (l *Loop) Close() {
	delete(l.handlers, l.posts.fd)
	l.posts.close()
	for fd := range l.handlers {
		closeFD(fd)
	}
	clear(l.handlers)
	_ = l.poller.Close() // nothing runs on it any more
	if l.spareFD >= 0 {
		closeFD(l.spareFD)
		l.spareFD = -1
	}
}

// runAfterCallback runs what is to run whenever a callback has returned.
func (l *Loop) runAfterCallback() {
	for _, fn := range l.afterCallback {
		fn()
	}
}

func (l *Loop) finishRound() {
	l.runAfterCallback()
	l.armTimer()
}

// openSpare opens the reserved descriptor, if there is one left.
func (l *Loop) openSpare() {
	fd, err := unix.Open(os.DevNull, unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		fd = -1
	}
	l.spareFD = fd
}
