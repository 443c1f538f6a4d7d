package loop

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"golang.org/x/sys/unix"
)

// failingKernel is a kernel whose next calls fail as they are told to.
type failingKernel struct {
	Linux
	mu      sync.Mutex
	accept  []error
	socket  []error
	connect []error
	watch   []error
	write   []error
	short   int // writes that take one byte
}

// next is the error with which a call fails now; nil: it doesn't.
func (k *failingKernel) next(errs *[]error) (err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(*errs) > 0 {
		err, *errs = (*errs)[0], (*errs)[1:]
	}
	return err
}

func (k *failingKernel) Accept(fd int) (int, unix.Sockaddr, error) {
	if err := k.next(&k.accept); err != nil {
		return -1, nil, err
	}
	return k.Linux.Accept(fd)
}

func (k *failingKernel) Write(fd int, p []byte) (int, error) {
	if err := k.next(&k.write); err != nil {
		return -1, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.short > 0 {
		k.short--
		p = p[:1]
	}
	return k.Linux.Write(fd, p)
}

func (k *failingKernel) Socket(family int) (int, error) {
	if err := k.next(&k.socket); err != nil {
		return -1, err
	}
	return k.Linux.Socket(family)
}

func (k *failingKernel) Connect(fd int, to unix.Sockaddr) error {
	err := k.next(&k.connect)
	if err == nil || err == unix.EINTR { // one that is interrupted goes on
		if made := k.Linux.Connect(fd, to); err == nil {
			return made
		}
	}
	return err
}

func (k *failingKernel) Watch(p *netpoll.Poller, fd, had, want int) error {
	if err := k.next(&k.watch); err != nil {
		return err
	}
	return k.Linux.Watch(p, fd, had, want)
}

// startLoopOn runs a loop on a kernel until the test ends.
func startLoopOn(t *testing.T, k Kernel) *Loop {
	l, err := NewOn(k)
	if err != nil {
		t.Fatal(err)
	}
	runUntilEnd(t, l)
	return l
}

// TestTransientAcceptFailure has accept fail once in each way that Linux documents while a client has sent its words:
// it is served.
func TestTransientAcceptFailure(t *testing.T) {
	for _, err := range []error{unix.EINTR, unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM} {
		k := &failingKernel{}
		l := startLoopOn(t, k)
		addr := listenEcho(t, l)
		answered := make(chan error, 1)
		whileLoopHeld(t, l, func() {
			c, failed := net.Dial("tcp", addr)
			if failed != nil {
				t.Error(failed)
				return
			}
			t.Cleanup(func() { c.Close() })
			sendArrived(t, c, "x")
			k.mu.Lock()
			k.accept = []error{err}
			k.mu.Unlock()
			go func() { answered <- readEcho(c) }()
		})
		if lost := receive(t, answered); lost != nil {
			t.Errorf("%v: the client got %v", err, lost)
		}
		k.mu.Lock()
		if len(k.accept) > 0 {
			t.Errorf("the crossing did not take place: accept did not fail with %v", err)
		}
		k.mu.Unlock()
	}
}

// TestNothingWrittenAfterFailedWrite has a write fail and the next one succeed before the failure is told: the second
// is not written, since the other side would read its bytes behind those that came before the failure.
func TestNothingWrittenAfterFailedWrite(t *testing.T) {
	k := &failingKernel{}
	l := startLoopOn(t, k)
	r := record()
	c, peer := acceptedPair(t, l, func(*Conn) Handler { return r })
	whileLoopHeld(t, l, func() {
		c.Write([]byte("one "))
		k.mu.Lock()
		k.write = []error{unix.EHOSTUNREACH}
		k.mu.Unlock()
		c.Write([]byte("two "))
		c.Write([]byte("three"))
	})
	if err := receive(t, r.end); err == nil {
		t.Error("no failure is told")
	}
	if got, _ := io.ReadAll(peer); string(got) != "one " {
		t.Errorf("the other side got %q", got)
	}
}

// TestEvictedGetsWholeAnswer has the kernel take a part of the answer to a client whose place another one needs: the
// rest follows.
func TestEvictedGetsWholeAnswer(t *testing.T) {
	k := &failingKernel{}
	l := startLoopOn(t, k)
	_, peer := acceptedPair(t, l, func(c *Conn) Handler { return &restingHandler{record(), c} })
	onLoop(l, func() {
		k.mu.Lock()
		k.short = 1
		k.mu.Unlock()
		l.EvictIdle(0)
	})
	if got, err := io.ReadAll(peer); string(got) != "BUSY" || err != nil {
		t.Errorf("it got %q, %v", got, err)
	}
}

// TestTransientDialFailure has what a dial needs be short once, in each way that Linux documents: the connection
// comes up in its time.
func TestTransientDialFailure(t *testing.T) {
	for _, err := range []error{unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EAGAIN, unix.EINTR} {
		k := &failingKernel{}
		l := startLoopOn(t, k)
		addr := listenEcho(t, l)
		r := record()
		onLoop(l, func() {
			k.mu.Lock()
			if k.connect = []error{err}; isScarceSocket(err) {
				k.socket, k.connect = k.connect, nil
			}
			k.mu.Unlock()
			l.Dial(addr, l.Now().Add(10*time.Second), r)
		})
		select {
		case <-r.up:
		case ended := <-r.end:
			t.Errorf("%v: the dial ended with %v", err, ended)
		case <-time.After(20 * time.Second):
			t.Errorf("%v: nothing came of the dial", err)
		}
	}
}

func isScarceSocket(err error) bool { return err == unix.ENFILE || err == unix.EMFILE }

// TestTransientWatchFailure has epoll find no memory for a client's connection: the client is served.
func TestTransientWatchFailure(t *testing.T) {
	for _, err := range []error{unix.ENOMEM, unix.ENOSPC} {
		k := &failingKernel{}
		l := startLoopOn(t, k)
		addr := listenEcho(t, l)
		onLoop(l, func() {
			k.mu.Lock()
			k.watch = []error{err, err}
			k.mu.Unlock()
		})
		if lost := checkServed(addr); lost != nil {
			t.Errorf("%v: the client got %v", err, lost)
		}
	}
}
