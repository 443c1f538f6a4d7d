package faults

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	maxLogLine       = 4 << 20
	damageStart      = 40  // bytes of a log file that damage leaves alone
	damageInterval   = 997 // bytes
	damageMask       = 0x55
	listeningBacklog = 4
)

// node is one node with its process.
type node struct {
	harness     *harness
	index       int
	name        string
	zone        string
	isVoter     bool
	dir         string
	fleetAddr   string   // its own, for other nodes
	nodeLinks   []string // the other nodes' addresses, as it sees them
	serverLinks []string // the servers', as it sees them
	clientAddr  string   // for its clients, through the relay
	listening   chan string

	mu        sync.Mutex
	cmd       *exec.Cmd     // nil: no process runs
	gone      chan struct{} // closed when the process has ended
	diedAt    time.Time
	runsSince time.Time // its process has started, or gone on
	paused    bool
}

func newNode(h *harness, index int, fleetAddr string) *node {
	name := fmt.Sprintf("n%03d", index)
	return &node{
		harness:   h,
		index:     index,
		name:      name,
		zone:      h.zones[index%len(h.zones)],
		dir:       filepath.Join(h.options.Dir, name),
		fleetAddr: fleetAddr,
		listening: make(chan string, listeningBacklog),
	}
}

// takesClients reports whether the front brings clients to the node.
func (n *node) takesClients() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil && !n.paused && time.Since(n.runsSince) > admissionDelay
}

// hasRunSince reports whether a node's process has run without a break since a time.
func (n *node) hasRunSince(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil && n.diedAt.Before(at) && !n.paused && n.runsSince.Before(at)
}

// start starts a process of the node. files says what it finds of its files, such as FilesIntact.
func (n *node) start(files string) error {
	if err := n.prepareFiles(files); err != nil {
		return err
	}
	cmd, err := n.command()
	if err != nil {
		return err
	}
	log, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	file, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.harness.record(Event{Kind: KindStart, Node: n.name, Zone: n.zone, Detail: files})
	if err := cmd.Start(); err != nil {
		closeQuietly(file)
		return fmt.Errorf("node program %s: %w", cmd.Path, err)
	}
	gone := make(chan struct{})
	n.mu.Lock()
	n.cmd = cmd
	n.gone = gone
	n.runsSince = time.Now()
	n.paused = false
	n.mu.Unlock()
	go n.follow(cmd, log, file, gone)
	return nil
}

// prepareFiles loses or damages the files of the node's process before, as said.
func (n *node) prepareFiles(files string) error {
	dir := filepath.Join(n.dir, "files")
	switch files {
	case FilesLost:
		return os.RemoveAll(dir)
	case FilesCut:
		return rewriteLogs(dir, func(raw []byte) []byte { return raw[:len(raw)*2/3] })
	case FilesSpoiled:
		return rewriteLogs(dir, damage)
	}
	return nil
}

// damage alters some bytes.
func damage(raw []byte) []byte {
	for i := damageStart; i < len(raw); i += damageInterval {
		raw[i] ^= damageMask
	}
	return raw
}

// rewriteLogs changes each log file of a directory.
func rewriteLogs(dir string, change func(raw []byte) []byte) error {
	paths, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return err
	}
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if err := os.WriteFile(path, change(raw), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// command is the node's program with its configuration and an empty directory for temporary files.
func (n *node) command() (*exec.Cmd, error) {
	options := n.harness.options
	args := []string{"-log", "json", "-log-level", "debug"}
	if !options.Standalone {
		args = append(args, "-operator", filepath.Join(n.dir, "operator.toml"))
	}
	program := options.Program
	if options.ProgramOf != nil {
		program = options.ProgramOf(n.index)
	}
	cmd := exec.Command(program, args...)
	temporary := filepath.Join(n.dir, "tmp")
	if err := os.RemoveAll(temporary); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(temporary, 0o700); err != nil {
		return nil, err
	}
	cmd.Env = []string{"GW_CONFIG=" + filepath.Join(n.dir, "config.json"), "GOMAXPROCS=1", "TMPDIR=" + temporary}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with the harness
	return cmd, nil
}

// follow reads what the process logs until it ends, and writes it to a file.
func (n *node) follow(cmd *exec.Cmd, log io.Reader, file io.WriteCloser, gone chan struct{}) {
	defer close(gone)
	defer closeQuietly(file)
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		n.readLogLine(scanner.Bytes())
		_, _ = fmt.Fprintf(file, "%s\n", scanner.Text()) // the file is for people; no check needs it
	}
	_ = cmd.Wait() // how it ended says nothing: most processes are killed
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == cmd {
		n.cmd = nil
		n.diedAt = time.Now()
	}
}

// isRunning reports whether the node has a process.
func (n *node) isRunning() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil
}

// restart starts the process again, unless it runs, and has its clients come to where it listens then.
func (n *node) restart(files string) error {
	if n.isRunning() {
		return nil
	}
	if files == "" {
		files = FilesIntact
	}
	if err := n.start(files); err != nil {
		return err
	}
	n.harness.background.Go(func() {
		select {
		case address := <-n.listening:
			n.harness.relay.MoveClients(n.name, address)
		case <-n.harness.done:
		}
	})
	return nil
}

// pause stops the process where it is, and reports whether there is one.
func (n *node) pause() bool {
	if !n.signal(syscall.SIGSTOP) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused = true
	return true
}

// resume has a paused process go on.
func (n *node) resume() {
	n.mu.Lock()
	n.paused = false
	n.runsSince = time.Now()
	n.mu.Unlock()
	n.signal(syscall.SIGCONT)
}

// signal sends a signal to the process, and reports whether there is one.
func (n *node) signal(signal syscall.Signal) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil && n.cmd.Process.Signal(signal) == nil
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	gone := n.gone
	runs := n.cmd != nil
	n.mu.Unlock()
	if !runs {
		return
	}
	n.harness.record(Event{Kind: KindCrash, Node: n.name, Zone: n.zone})
	n.signal(syscall.SIGKILL)
	<-gone
}
