package downstream

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"testing"

	"golang.org/x/sys/unix"

	"spurwinch/internal/loop"
)

// shortWriter is a kernel that takes half of the first request line that is written to a host, and the rest only when it is told to.
type shortWriter struct {
	loop.Linux
	mu   sync.Mutex
	fd   int // that took half
	full bool
}

func (k *shortWriter) Write(fd int, p []byte) (int, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.fd == 0 && bytes.HasPrefix(p, []byte("OPEN")):
		k.fd, k.full = fd, true
		return k.Linux.Write(fd, p[:len(p)/2])
	case fd == k.fd && k.full:
		return 0, unix.EAGAIN
	}
	return k.Linux.Write(fd, p)
}

func (k *shortWriter) goesOn() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.full = false
}

// TestGivenUpHalfWritten has the kernel take half of a request line, and the attempt given up: the rest must never follow, since the
// request has gone to another host by then, and must not run twice.
func TestGivenUpHalfWritten(t *testing.T) {
	k := &shortWriter{}
	x := newCrossingOn(t, k, 2, `"safe"`, `"unsafe"`)
	c, _ := x.client()
	fmt.Fprint(c, opening+"\r\n")
	first := x.accept()
	second := x.accept() // the first one's time is over
	k.goesOn()
	x.gets(second, "OPEN 01 01")
	fmt.Fprint(second, "UP 1\r\n")
	x.gets(c, "UP 1")
	got, _ := io.ReadAll(first)
	if len(got) == 0 {
		t.Error("the crossing did not take place: nothing was written at first")
	}
	if bytes.HasSuffix(got, []byte("\n")) {
		t.Errorf("the host that was given up got the whole line: %q", got)
	}
}
