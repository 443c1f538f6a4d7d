// Package shim injects failures of system calls into a running process and steps its wall clock. It compiles a small C
// library with the machine's C compiler. The library is preloaded into the process and reads a control file that the
// process shares with the laboratory. The package works on Linux on x86-64 and arm64 only.
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

// Kind is a kind of injected failure.
type Kind int

// The kinds of failures, in the order of enum kind in shim.c.
const (
	Accept     Kind = iota // accept fails temporarily
	Socket                 // no socket can be created
	Connect                // connect fails immediately, or is interrupted and continues in the background
	Read                   // a read is interrupted
	ShortRead              // a read returns only part of the available data
	Write                  // a write is interrupted, or the kernel has no memory for it
	ShortWrite             // a write accepts only part of the data
	Wait                   // epoll_wait is interrupted
	Watch                  // epoll_ctl rejects a descriptor
	Break                  // a connection that the process has opened times out or becomes unreachable
	Open                   // the configuration file can't be opened
	KindCount              // number of kinds
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

// Layout of the control file, in the machine's byte order: the seed, the clock offset in nanoseconds, the failure rate
// of each kind in parts per million, a word of padding, and the number of injected failures of each kind.
const (
	clockOffsetPosition = 8
	ratesPosition       = 16
	rateSize            = 4
	countsPosition      = ratesPosition + rateSize*int(KindCount) + 4
	countSize           = 8
	fileSize            = 4096
	partsPerMillion     = 1_000_000
)

// Build compiles the library in dir and returns its path.
func Build(dir string) (string, error) {
	code := filepath.Join(dir, "shim.c")
	library := filepath.Join(dir, "shim.so")
	if err := os.WriteFile(code, source, 0o600); err != nil {
		return "", err
	}
	compiler := exec.Command("cc", "-shared", "-fPIC", "-O2", "-o", library, code, "-ldl")
	if out, err := compiler.CombinedOutput(); err != nil {
		return "", fmt.Errorf("compile the fault injection library: %w\n%s", err, out)
	}
	return library, nil
}

// Control is the laboratory's mapping of the control file that it shares with a process.
type Control struct {
	path   string
	shared []byte
}

// NewControl creates the control file. The seed determines which calls fail.
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
	defer func() { _ = file.Close() }() // the mapping remains valid
	shared, err := unix.Mmap(int(file.Fd()), 0, fileSize, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("map %s: %w", path, err)
	}
	return &Control{path, shared}, nil
}

// Environment returns the environment variables that load the library into a new process.
func (c *Control) Environment(library string) []string {
	return []string{"LD_PRELOAD=" + library, "SPURWINCH_FAULTS=" + c.path}
}

// Fail makes a fraction of the calls of the given kind fail from now on.
func (c *Control) Fail(kind Kind, fraction float64) {
	rate := (*uint32)(c.pointer(ratesPosition + rateSize*int(kind)))
	atomic.StoreUint32(rate, uint32(fraction*partsPerMillion))
}

// Heal stops all failures. It leaves the clock offset unchanged.
func (c *Control) Heal() {
	for kind := range KindCount {
		c.Fail(kind, 0)
	}
}

// StepClock sets how far the process's wall clock is ahead of the machine's clock. Negative values set it behind.
func (c *Control) StepClock(ahead time.Duration) {
	atomic.StoreInt64((*int64)(c.pointer(clockOffsetPosition)), int64(ahead))
}

// Injected returns the number of failures injected into calls of the given kind.
func (c *Control) Injected(kind Kind) uint64 {
	return atomic.LoadUint64((*uint64)(c.pointer(countsPosition + countSize*int(kind))))
}

// Close unmaps the control file. The settings in the file stay in effect for the process that shares it.
func (c *Control) Close() error { return unix.Munmap(c.shared) }

func (c *Control) pointer(position int) unsafe.Pointer { return unsafe.Pointer(&c.shared[position]) }
