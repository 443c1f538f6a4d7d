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
	readSize    = 16 << 10 // maximum number of bytes of one read
	acceptBurst = 64       // connections accepted in a row; the others wait for the next poll
)

// Loop is an event loop that runs callbacks. All methods except Post must be called on the loop's goroutine, or while
// Run is not running.
type Loop struct {
	poller        *netpoll.Poller
	kernel        Kernel
	handlers      map[int]func(events uint32) // by descriptor
	timers        timers
	posts         *postQueue
	timerFD       int
	timerArmedFor time.Time
	timersYielded bool // late timers wait until the events that are ready have been handled
	afterCallback []func()
	readBuffer    [readSize]byte
	spareFD       int // reserved, to reply to a client when no other descriptor is left; -1: none
	stopping      bool
	open          int       // counted connections that are open
	idleQueue     list.List // of *Conn that may be evicted, oldest first: see idle.go
	idleLimit     int       // open connections above which idle ones are evicted; 0: never
	ownIdleLimit  int       // the limit while no other process shares the node's descriptors; 0: none
	highWater     int       // pending bytes of a connection above which its source should pause
}

// New returns a loop that is not running yet.
func New() (*Loop, error) { return NewWithKernel(Linux{}) }

// NewWithKernel is like New, with another implementation of the system calls.
func NewWithKernel(kernel Kernel) (*Loop, error) {
	poller, err := netpoll.OpenPoller()
	if err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	created := &Loop{
		poller: poller, kernel: kernel, handlers: map[int]func(uint32){}, spareFD: -1, highWater: maxHighWater,
	}
	created.timerFD, err = unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("event loop: timerfd: %w", err)
	}
	if err := created.watchInternal(created.timerFD, created.timerReady); err != nil {
		return nil, err
	}
	if created.posts, err = newPostQueue(); err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	if err := created.watchInternal(created.posts.fd, created.runPosted); err != nil {
		return nil, err
	}
	created.openSpare()
	return created, nil
}

// watchInternal makes the poller watch a descriptor that the loop itself uses.
func (l *Loop) watchInternal(fd int, ready func(events uint32)) error {
	l.handlers[fd] = ready
	if err := l.poller.AddRead(&netpoll.PollAttachment{FD: fd}, false); err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	return nil
}

// Now returns the present time of the system's clocks.
func (l *Loop) Now() time.Time { return time.Now() }

// Open returns the number of open connections from clients and to servers. Uncounted connections are not included.
func (l *Loop) Open() int { return l.open }

// AfterCallback registers a function that runs after every callback.
func (l *Loop) AfterCallback(fn func()) { l.afterCallback = append(l.afterCallback, fn) }

// Post runs fn on the loop's goroutine. Any goroutine may call it.
func (l *Loop) Post(fn func()) { l.posts.add(fn) }

// runPosted runs the posted functions.
func (l *Loop) runPosted(uint32) {
	for _, fn := range l.posts.take() {
		fn()
		l.runAfterCallback()
	}
}

// Stop makes Run return after the current event. It must be called on the loop's goroutine.
func (l *Loop) Stop() { l.stopping = true }

// Run handles events until Stop is called.
func (l *Loop) Run() error {
	l.finishEvent()
	err := l.poller.Polling(func(fd int, events netpoll.IOEvent, _ netpoll.IOFlags) error {
		if ready := l.handlers[fd]; ready != nil {
			ready(events)
		}
		l.finishEvent()
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

// Serves reports whether the loop handles a descriptor.
func (l *Loop) Serves(fd int) bool { return l.handlers[fd] != nil }

// Close closes all descriptors of the loop, as the end of the process would. It must be called after Run has returned.
func (l *Loop) Close() {
	delete(l.handlers, l.posts.fd)
	l.posts.close()
	for fd := range l.handlers {
		closeFD(fd)
	}
	clear(l.handlers)
	_ = l.poller.Close() // the poller is no longer used
	if l.spareFD >= 0 {
		closeFD(l.spareFD)
		l.spareFD = -1
	}
}

// runAfterCallback runs the functions that AfterCallback has registered.
func (l *Loop) runAfterCallback() {
	for _, fn := range l.afterCallback {
		fn()
	}
}

// finishEvent is called before the first event and after each event. It runs the functions that AfterCallback has
// registered and arms the timer.
func (l *Loop) finishEvent() {
	l.runAfterCallback()
	l.armTimer()
}

// openSpare opens the spare descriptor, if the process has a descriptor left.
func (l *Loop) openSpare() {
	fd, err := unix.Open(os.DevNull, unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		fd = -1
	}
	l.spareFD = fd
}
