// Package shim injects failures of system calls into a running process, and steps its wall clock: a small library in C,
// built by the machine's C compiler, is preloaded into the process and reads a file that it shares with the laboratory.
// It works on Linux, x86-64.
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

// Kind is a kind of failure.
type Kind int

// The kinds of failures, in the order of the library.
const (
	Accept     Kind = iota // accept fails for a moment
	Socket                 // no socket is available
	Connect                // connect fails at once, or is interrupted and goes on
	Read                   // a read is interrupted
	ShortRead              // a read returns a part of the available data
	Write                  // a write is interrupted, or the kernel has no memory for it
	ShortWrite             // a write accepts a part
	Wait                   // a wait is interrupted
	Watch                  // epoll accepts no descriptor
	Break                  // a connection that the process has dialled times out
	Open                   // the configuration can't be opened
	KindCount              // how many kinds there are
)

var kindNames = [KindCount]string{
	Accept:     "accept",
	Socket:     "socket",
	Connect:    "connect",
	Read:       "read",
	ShortRead:  "short_read",
	Write:      "write",
	ShortWrite: "short_write",
	Wait:       "wait",
	Watch:      "watch",
	Break:      "break",
	Open:       "open",
}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// Layout of the file that a process and the laboratory share, in the machine's byte order: the seed, the clock offset
// in nanoseconds, the failure rate of each kind in parts per million, and after a word of padding the count of injected
// failures of each kind.
const (
	clockOffsetPosition = 8
	ratesPosition       = 16
	rateSize            = 4
	countsPosition      = ratesPosition + rateSize*int(KindCount) + 4
	countSize           = 8
	fileSize            = 4096
	partsPerMillion     = 1_000_000
)

// Build compiles the library in a directory and returns its path.
func Build(dir string) (string, error) {
	code := filepath.Join(dir, "shim.c")
	library := filepath.Join(dir, "shim.so")
	if err := os.WriteFile(code, source, 0o600); err != nil {
		return "", err
	}
	compiler := exec.Command("cc", "-shared", "-fPIC", "-O2", "-o", library, code, "-ldl")
	if out, err := compiler.CombinedOutput(); err != nil {
		return "", fmt.Errorf("the C compiler does not make the library of failing system calls: %w\n%s", err, out)
	}
	return library, nil
}

// Control is the laboratory's side of the file that it shares with a process.
type Control struct {
	path   string
	shared []byte
}

// NewControl creates the file; the seed determines which calls fail.
func NewControl(path string, seed uint64) (*Control, error) {
	content := make([]byte, fileSize)
	binary.LittleEndian.PutUint64(content, seed)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the mapping stays
	shared, err := unix.Mmap(int(file.Fd()), 0, fileSize, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("map %s: %w", path, err)
	}
	return &Control{path, shared}, nil
}

// Environment returns the variables that a process needs to be started with.
func (c *Control) Environment(library string) []string {
	return []string{"LD_PRELOAD=" + library, "SPURWINCH_FAULTS=" + c.path}
}

// Fail makes a fraction of the calls of a kind fail from now on.
func (c *Control) Fail(kind Kind, fraction float64) {
	rate := (*uint32)(c.pointer(ratesPosition + rateSize*int(kind)))
	atomic.StoreUint32(rate, uint32(fraction*partsPerMillion))
}

// Heal makes all calls succeed from now on; the wall clock stays where it is.
func (c *Control) Heal() {
	for kind := range KindCount {
		c.Fail(kind, 0)
	}
}

// StepClock sets how far the process's wall clock is ahead of the machine's; below 0: behind.
func (c *Control) StepClock(ahead time.Duration) {
	atomic.StoreInt64((*int64)(c.pointer(clockOffsetPosition)), int64(ahead))
}

// Injected returns how many calls of a kind have failed by injection.
func (c *Control) Injected(kind Kind) uint64 {
	return atomic.LoadUint64((*uint64)(c.pointer(countsPosition + countSize*int(kind))))
}

// Close unmaps the file. The process that shares it goes on by what the file says.
func (c *Control) Close() error { return unix.Munmap(c.shared) }

func (c *Control) pointer(position int) unsafe.Pointer { return unsafe.Pointer(&c.shared[position]) }
