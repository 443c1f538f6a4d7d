package loop

import (
	"errors"
	"fmt"
	"sync"

	"golang.org/x/sys/unix"
)

// postQueue holds the functions that goroutines post to the loop. It wakes the loop through its own descriptor and not
// through gnet's: if a signal interrupts gnet's write, gnet's flag that the loop was woken stays set, and no later post
// wakes the loop.
type postQueue struct {
	fd      int // an eventfd, readable while functions wait
	mu      sync.Mutex
	waiting []func()
	closed  bool // the descriptor's number may belong to another file now
}

func newPostQueue() (*postQueue, error) {
	fd, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	return &postQueue{fd: fd}, nil
}

// add queues fn and wakes the loop. It drops fn if the loop is closed.
func (p *postQueue) add(fn func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.waiting = append(p.waiting, fn)
	one := [8]byte{1}
	for {
		// EAGAIN means that the eventfd's counter is full. The descriptor is readable then, which suffices.
		if _, err := unix.Write(p.fd, one[:]); !errors.Is(err, unix.EINTR) {
			return
		}
	}
}

// close closes the descriptor; functions that are posted later are dropped.
func (p *postQueue) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		closeFD(p.fd)
	}
}

// take removes and returns the waiting functions, in the order in which they were added.
func (p *postQueue) take() []func() {
	var count [8]byte
	// The counter must be reset before the functions are taken: a later reset could undo the wake-up of a function that
	// is added in between. If the read is interrupted, the next poll reports the descriptor again.
	_, _ = unix.Read(p.fd, count[:])
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.waiting
	p.waiting = nil
	return taken
}
