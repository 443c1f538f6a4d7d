//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{file: file, start: time.Now()}
}

// add writes one line with the time since the start of the case.
func (r *record) add(format string, args ...any) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

var (
	nodesMu sync.Mutex
	nodes   []*node
	// starts runs functions on one thread that lives as long as this process: the kernel kills a child when the thread that
	// started it ends (Pdeathsig).
	starts = make(chan func())
)

func init() {
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
}

// node is one process of the program under test.
type node struct {
	name string
	mgmt string
	cmd  *exec.Cmd
	done chan struct{}
}

// startNode starts the deploy file's run command with the given arguments and environment. The log goes to a file in
// dir.
func startNode(rec *record, name, dir, arguments string, env ...string) *node {
	n := &node{name: name, mgmt: freeAddr(), done: make(chan struct{})}
	n.cmd = exec.Command("/bin/sh", "-c", "exec bin/spurwinch "+arguments)
	n.cmd.Env = append(append(os.Environ(), "GW_MGMT="+n.mgmt), env...)
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		cannotRun("log: %v", err)
	}
	n.cmd.Stderr = log
	n.cmd.Stdout = log
	started := make(chan error)
	starts <- func() { started <- n.cmd.Start() }
	if err := <-started; err != nil {
		cannotRun("start %s: %v", name, err)
	}
	nodesMu.Lock()
	nodes = append(nodes, n)
	nodesMu.Unlock()
	rec.add("node %s: started, pid %d", name, n.cmd.Process.Pid)
	go func() {
		err := n.cmd.Wait()
		rec.add("node %s: ended: %v", name, err)
		close(n.done)
	}()
	return n
}

// awaitReady waits for the yes of GET /api/ready.
func (n *node) awaitReady(rec *record, limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		reply, err := client.Get("http://" + n.mgmt + "/api/ready")
		if err != nil {
			continue
		}
		_ = reply.Body.Close()
		if reply.StatusCode/100 == 2 {
			rec.add("node %s: ready", n.name)
			return true
		}
	}
	rec.add("node %s: not ready within %v", n.name, limit)
	return false
}

func (n *node) signal(rec *record, sig syscall.Signal) {
	rec.add("node %s: gets %v", n.name, sig)
	_ = n.cmd.Process.Signal(sig)
}

// awaitEnd reports whether the process ended within the limit.
func (n *node) awaitEnd(limit time.Duration) bool {
	select {
	case <-n.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// ended reports whether the process has ended.
func (n *node) ended() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// kill ends the process, if it still runs.
func (n *node) kill() {
	_ = n.cmd.Process.Kill()
	<-n.done
}

// killAll ends all processes that this program started.
func killAll() {
	nodesMu.Lock()
	defer nodesMu.Unlock()
	for _, n := range nodes {
		n.kill()
	}
	nodes = nil
}

// cannotRun ends the program with status 2.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	killAll()
	os.Exit(2)
}

var (
	portsMu sync.Mutex
	ports   = map[string]bool{}
)

// freeAddr returns a loopback address with a port that is free now and that it has not returned before.
func freeAddr() string {
	portsMu.Lock()
	defer portsMu.Unlock()
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			cannotRun("free port: %v", err)
		}
		addr := listener.Addr().String()
		_ = listener.Close()
		if !ports[addr] {
			ports[addr] = true
			return addr
		}
	}
}
