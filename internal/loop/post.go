package loop

import (
	"errors"
	"fmt"
	"sync"

	"golang.org/x/sys/unix"
)

// postQueue holds the functions that other goroutines have the loop run. It wakes the loop by a descriptor of its own,
// not by gnet's: there an interrupted write leaves the flag set that the loop was woken, and no later one wakes it.
type postQueue struct {
	fd      int // an eventfd, readable while functions wait
	mu      sync.Mutex
	waiting []func()
	closed  bool // the descriptor's number may belong to another file by now
}

func newPostQueue() (*postQueue, error) {
	fd, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	return &postQueue{fd: fd}, nil
}

// add has the loop run fn, unless the loop is closed.
func (p *postQueue) add(fn func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.waiting = append(p.waiting, fn)
	one := [8]byte{1}
	for {
		// EAGAIN says that the counter is full: then it is readable, which is all that is wanted.
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

// take returns what waits, in the order in which it was added.
func (p *postQueue) take() []func() {
	var count [8]byte
	// Before the functions are taken; where it is interrupted, the next poll finds the descriptor again.
	_, _ = unix.Read(p.fd, count[:])
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.waiting
	p.waiting = nil
	return taken
}
