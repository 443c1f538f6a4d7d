// Package shim has system calls of one process fail, and its wall clock be stepped, while it runs: a small library in C, made by the
// machine's C compiler, is preloaded into the process and goes by a file that it shares with the laboratory. It works on Linux, x86-64.
package shim

import (
	_ "embed"
	"encoding/binary"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

//go:embed source/shim.c
var source []byte

// Kind is a kind of failure. The order is that of the library.
type Kind int

const (
	Accept     Kind = iota // accept fails for a moment
	Socket                 // no socket is to be had
	Connect                // connect fails at once, or is interrupted and goes on
	Read                   // a read is interrupted
	ShortRead              // a read takes a part of what is there
	Write                  // a write is interrupted, or the kernel has no memory for it
	ShortWrite             // a write takes a part
	Wait                   // a wait is interrupted
	Watch                  // epoll takes no descriptor
	Break                  // a connection that the process has dialled times out
	Open                   // the configuration can't be opened
	Kinds
)

var kindNames = [Kinds]string{"accept", "socket", "connect", "read", "short_read", "write", "short_write", "wait", "watch", "break", "open"}

// String is the kind's name.
func (k Kind) String() string { return kindNames[k] }

// The file that a process and the laboratory share.
const (
	offsetAt   = 8
	ratesAt    = 16
	injectedAt = ratesAt + 4*int(Kinds) + 4
	fileBytes  = 4096
	million    = 1_000_000
)

// Build makes the library in a directory and returns its path.
func Build(dir string) (string, error) {
	code, library := filepath.Join(dir, "shim.c"), filepath.Join(dir, "shim.so")
	if err := os.WriteFile(code, source, 0o600); err != nil {
		return "", err
	}
	if out, err := exec.Command("cc", "-shared", "-fPIC", "-O2", "-o", library, code, "-ldl").CombinedOutput(); err != nil {
		return "", fmt.Errorf("the C compiler does not make the library of failing system calls: %w\n%s", err, out)
	}
	return library, nil
}

// Control is the laboratory's side of the file that it shares with a process.
type Control struct {
	path   string
	shared []byte
}

// NewControl makes the file; the seed draws which calls fail.
func NewControl(path string, seed uint64) (*Control, error) {
	head := binary.LittleEndian.AppendUint64(make([]byte, 0, fileBytes), seed)
	if err := os.WriteFile(path, head[:fileBytes], 0o600); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	shared, err := unix.Mmap(int(f.Fd()), 0, fileBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	return &Control{path, shared}, err
}

// Environment is what a process needs to be started with.
func (c *Control) Environment(library string) []string {
	return []string{"LD_PRELOAD=" + library, "SPURWINCH_FAULTS=" + c.path}
}

// Fail has a part of the calls of a kind fail from now on.
func (c *Control) Fail(k Kind, part float64) {
	atomic.StoreUint32((*uint32)(c.at(ratesAt+4*int(k))), uint32(part*million))
}

// Heal has all calls succeed from now on; the wall clock stays where it is.
func (c *Control) Heal() {
	for k := range Kinds {
		c.Fail(k, 0)
	}
}

// Step puts the process's wall clock so far ahead of the machine's; below 0: behind.
func (c *Control) Step(ahead time.Duration) {
	atomic.StoreInt64((*int64)(c.at(offsetAt)), int64(ahead))
}

// Injected counts the calls of a kind that have failed.
func (c *Control) Injected(k Kind) uint64 {
	return atomic.LoadUint64((*uint64)(c.at(injectedAt + 8*int(k))))
}

// Close gives the memory back.
func (c *Control) Close() error { return unix.Munmap(c.shared) }

func (c *Control) at(offset int) unsafe.Pointer { return unsafe.Pointer(&c.shared[offset]) }
