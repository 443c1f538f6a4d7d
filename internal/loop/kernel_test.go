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

// failingKernel is a Kernel whose next calls fail with the errors that a test sets.
type failingKernel struct {
	Linux
	mu      sync.Mutex
	accept  []error
	socket  []error
	connect []error
	watch   []error
	write   []error
	short   int // number of next writes that take only one byte
}

// next removes and returns the error with which a call must fail, or nil if it must succeed.
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
	if err == nil || errors.Is(err, unix.EINTR) { // an interrupted connect continues
		if connectErr := k.Linux.Connect(fd, to); err == nil {
			return connectErr
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

// set changes which calls fail next.
func (k *failingKernel) set(change func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change()
}

// TestClientServedAfterTransientAcceptFailure makes accept fail once with each error that Linux documents, after a
// client has sent data. The client must be served.
func TestClientServedAfterTransientAcceptFailure(t *testing.T) {
	for _, failure := range []error{
		unix.EINTR, unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM,
	} {
		kernel := &failingKernel{}
		eventLoop := startLoopOn(t, kernel)
		address := listenEcho(t, eventLoop)
		echoed := make(chan error, 1)
		whileLoopBlocked(t, eventLoop, func() {
			conn, err := dialDeadline(address)
			if err != nil {
				t.Error(err)
				return
			}
			t.Cleanup(func() { _ = conn.Close() }) // the loop may have closed it
			sendAndAwaitAck(t, conn, "x")
			kernel.set(func() { kernel.accept = []error{failure} })
			go func() { echoed <- readEcho(conn) }()
		})
		if err := receive(t, echoed); err != nil {
			t.Errorf("reading the echo after accept failed with %v: got error %v, want none", failure, err)
		}
		kernel.set(func() {
			if len(kernel.accept) > 0 {
				t.Errorf("accept: got no failure with %v, so the test did not provoke it", failure)
			}
		})
	}
}

// TestNothingWrittenAfterFailedWrite makes a write fail and calls Write again, when the kernel would take the data,
// before the failure is reported. The second Write must send nothing, since the peer would read its bytes directly
// after those from before the failure.
func TestNothingWrittenAfterFailedWrite(t *testing.T) {
	kernel := &failingKernel{}
	eventLoop := startLoopOn(t, kernel)
	handler := newRecordingHandler()
	conn, peer := acceptedPair(t, eventLoop, func(*Conn) Handler { return handler })
	whileLoopBlocked(t, eventLoop, func() {
		conn.Write([]byte("one "))
		kernel.set(func() { kernel.write = []error{unix.EHOSTUNREACH} })
		conn.Write([]byte("two "))
		conn.Write([]byte("three"))
	})
	if err := receive(t, handler.end); err == nil {
		t.Error("OnEnd got no error, want the write failure")
	}
	// Only the received bytes matter, not how the peer's connection ends.
	if got, _ := io.ReadAll(peer); string(got) != "one " {
		t.Errorf("reading as the peer: got %q, want only the data written before the failure", got)
	}
}

// TestEvictedClientGetsWholeReply makes the kernel take only a part of the reply to a client that is evicted. The rest
// must follow.
func TestEvictedClientGetsWholeReply(t *testing.T) {
	kernel := &failingKernel{}
	eventLoop := startLoopOn(t, kernel)
	_, peer := acceptedPair(t, eventLoop, func(c *Conn) Handler { return &evictableHandler{newRecordingHandler(), c} })
	onLoop(eventLoop, func() {
		kernel.set(func() { kernel.short = 1 })
		eventLoop.EvictIdle(0)
	})
	if got, err := io.ReadAll(peer); string(got) != "BUSY" || err != nil {
		t.Errorf("reading as the evicted client: got %q and error %v, want the whole reply BUSY", got, err)
	}
}

// TestDialSucceedsAfterTransientFailure makes a system call of a dial fail once with each transient error that Linux
// documents for it. The connection must be established by its deadline.
func TestDialSucceedsAfterTransientFailure(t *testing.T) {
	for _, failure := range []error{
		unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM,
		unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EAGAIN, unix.EINTR,
	} {
		kernel := &failingKernel{}
		eventLoop := startLoopOn(t, kernel)
		address := listenEcho(t, eventLoop)
		handler := newRecordingHandler()
		onLoop(eventLoop, func() {
			kernel.set(func() {
				if isOneOf(failure, unix.ENFILE, unix.EMFILE) { // errors of socket; the others are errors of connect
					kernel.socket = []error{failure}
				} else {
					kernel.connect = []error{failure}
				}
			})
			eventLoop.Dial(address, eventLoop.Now().Add(10*time.Second), handler)
		})
		select {
		case <-handler.connected:
		case err := <-handler.end:
			t.Errorf("dial after %v: got error %v, want a connection", failure, err)
		case <-time.After(testTimeout):
			t.Errorf("dial after %v: got neither a connection nor an error, want a connection", failure)
		}
	}
}

// TestClientServedAfterTransientWatchFailure makes epoll run out of memory (ENOMEM) or of watches (ENOSPC) for a
// client's connection. The client must be served.
func TestClientServedAfterTransientWatchFailure(t *testing.T) {
	for _, failure := range []error{unix.ENOMEM, unix.ENOSPC} {
		kernel := &failingKernel{}
		eventLoop := startLoopOn(t, kernel)
		address := listenEcho(t, eventLoop)
		onLoop(eventLoop, func() {
			kernel.set(func() { kernel.watch = []error{failure, failure} })
		})
		if err := checkServed(address); err != nil {
			t.Errorf("echo after epoll failed with %v: got error %v, want none", failure, err)
		}
	}
}
