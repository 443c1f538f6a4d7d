package loop

import (
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"golang.org/x/sys/unix"
)

// failingKernel is a kernel whose next calls fail as a test says.
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
func (k *failingKernel) next(errs *[]error) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(*errs) == 0 {
		return nil
	}
	err := (*errs)[0]
	*errs = (*errs)[1:]
	return err
}

func (k *failingKernel) Accept(fd int) (int, unix.Sockaddr, error) {
	if err := k.next(&k.accept); err != nil {
		return -1, nil, err
	}
	return k.Linux.Accept(fd)
}

func (k *failingKernel) Write(fd int, data []byte) (int, error) {
	if err := k.next(&k.write); err != nil {
		return -1, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.short > 0 {
		k.short--
		data = data[:1]
	}
	return k.Linux.Write(fd, data)
}

func (k *failingKernel) Socket(family int) (int, error) {
	if err := k.next(&k.socket); err != nil {
		return -1, err
	}
	return k.Linux.Socket(family)
}

func (k *failingKernel) Connect(fd int, to unix.Sockaddr) error {
	err := k.next(&k.connect)
	if err == nil || errors.Is(err, unix.EINTR) { // one that is interrupted goes on
		if made := k.Linux.Connect(fd, to); err == nil {
			return made
		}
	}
	return err
}

func (k *failingKernel) Watch(poller *netpoll.Poller, fd, watched, wanted int) error {
	if err := k.next(&k.watch); err != nil {
		return err
	}
	return k.Linux.Watch(poller, fd, watched, wanted)
}

// set changes what fails next.
func (k *failingKernel) set(change func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change()
}

// TestTransientAcceptFailure has accept fail once in each way that Linux documents while a client has sent data:
// it is served.
func TestTransientAcceptFailure(t *testing.T) {
	for _, failure := range []error{
		unix.EINTR, unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM,
	} {
		kernel := &failingKernel{}
		eventLoop := startLoopOn(t, kernel)
		address := listenEcho(t, eventLoop)
		answered := make(chan error, 1)
		whileLoopHeld(t, eventLoop, func() {
			conn, err := dialDeadline(address)
			if err != nil {
				t.Error(err)
				return
			}
			t.Cleanup(func() { _ = conn.Close() }) // it may have been cut off
			sendArrived(t, conn, "x")
			kernel.set(func() { kernel.accept = []error{failure} })
			go func() { answered <- readEcho(conn) }()
		})
		if err := receive(t, answered); err != nil {
			t.Errorf("%v: the client gets %v, want an answer", failure, err)
		}
		kernel.set(func() {
			if len(kernel.accept) > 0 {
				t.Errorf("the race did not take place: accept did not fail with %v", failure)
			}
		})
	}
}

// TestNothingWrittenAfterFailedWrite has a write fail and the next one succeed before the failure is reported: the
// second is not written, since the other side would read its bytes behind those that came before the failure.
func TestNothingWrittenAfterFailedWrite(t *testing.T) {
	kernel := &failingKernel{}
	eventLoop := startLoopOn(t, kernel)
	handler := record()
	conn, peer := acceptedPair(t, eventLoop, func(*Conn) Handler { return handler })
	whileLoopHeld(t, eventLoop, func() {
		conn.Write([]byte("one "))
		kernel.set(func() { kernel.write = []error{unix.EHOSTUNREACH} })
		conn.Write([]byte("two "))
		conn.Write([]byte("three"))
	})
	if err := receive(t, handler.end); err == nil {
		t.Error("no failure is reported")
	}
	// How the other side's connection ends does not matter, only what came before.
	if got, _ := io.ReadAll(peer); string(got) != "one " {
		t.Errorf("the other side gets %q, want what was written before the failure", got)
	}
}

// TestEvictedGetsWholeAnswer has the kernel take a part of the answer to a client that is evicted: the rest follows.
func TestEvictedGetsWholeAnswer(t *testing.T) {
	kernel := &failingKernel{}
	eventLoop := startLoopOn(t, kernel)
	_, peer := acceptedPair(t, eventLoop, func(c *Conn) Handler { return &evictableHandler{record(), c} })
	onLoop(eventLoop, func() {
		kernel.set(func() { kernel.short = 1 })
		eventLoop.EvictIdle(0)
	})
	if got, err := io.ReadAll(peer); string(got) != "BUSY" || err != nil {
		t.Errorf("it gets %q, %v, want the whole answer", got, err)
	}
}

// TestTransientDialFailure has what a dial needs be short once, in each way that Linux documents: the connection
// comes up in its time.
func TestTransientDialFailure(t *testing.T) {
	for _, failure := range []error{
		unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM,
		unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EAGAIN, unix.EINTR,
	} {
		kernel := &failingKernel{}
		eventLoop := startLoopOn(t, kernel)
		address := listenEcho(t, eventLoop)
		handler := record()
		onLoop(eventLoop, func() {
			kernel.set(func() {
				if isOneOf(failure, unix.ENFILE, unix.EMFILE) { // what a socket needs
					kernel.socket = []error{failure}
				} else {
					kernel.connect = []error{failure}
				}
			})
			eventLoop.Dial(address, eventLoop.Now().Add(10*time.Second), handler)
		})
		select {
		case <-handler.up:
		case err := <-handler.end:
			t.Errorf("%v: the dial ends with %v, want a connection", failure, err)
		case <-time.After(testTimeout):
			t.Errorf("%v: nothing comes of the dial", failure)
		}
	}
}

// TestTransientWatchFailure has epoll find no memory for a client's connection: the client is served.
func TestTransientWatchFailure(t *testing.T) {
	for _, failure := range []error{unix.ENOMEM, unix.ENOSPC} {
		kernel := &failingKernel{}
		eventLoop := startLoopOn(t, kernel)
		address := listenEcho(t, eventLoop)
		onLoop(eventLoop, func() {
			kernel.set(func() { kernel.watch = []error{failure, failure} })
		})
		if err := checkServed(address); err != nil {
			t.Errorf("%v: the client gets %v, want an answer", failure, err)
		}
	}
}
