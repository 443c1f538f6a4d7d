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
	damageStart      = 40  // bytes at the start of a log file that damage leaves unchanged
	damageInterval   = 997 // bytes
	damageMask       = 0x55
	listeningBacklog = 4
)

// node is one node of the fleet with its process.
type node struct {
	harness     *harness
	index       int
	name        string
	zone        string
	isVoter     bool
	dir         string
	fleetAddr   string      // address on which the node listens for other nodes
	nodeLinks   []string    // addresses at which this node reaches the other nodes, by their index
	serverLinks []string    // addresses at which this node reaches the servers, by their index
	clientAddr  string      // address at which clients reach this node through the relay
	listening   chan string // addresses on which the process listens for the platform's clients

	mu        sync.Mutex
	cmd       *exec.Cmd     // nil: no process runs
	exited    chan struct{} // closed when the process has exited
	exitedAt  time.Time
	runsSince time.Time // when the process started or resumed
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

// acceptsClients reports whether the front end directs clients to the node.
func (n *node) acceptsClients() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil && !n.paused && time.Since(n.runsSince) > acceptClientsDelay
}

// hasRunSince reports whether the node's process has run without interruption since a time.
func (n *node) hasRunSince(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil && n.exitedAt.Before(at) && !n.paused && n.runsSince.Before(at)
}

// start starts a process of the node. files is the state in which it finds the node's files, such as FilesIntact.
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
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd = cmd
	n.exited = exited
	n.runsSince = time.Now()
	n.paused = false
	n.mu.Unlock()
	go n.follow(cmd, log, file, exited)
	return nil
}

// prepareFiles removes or damages the files of the node's previous process according to files.
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

// damage alters one byte in each damageInterval.
func damage(raw []byte) []byte {
	for i := damageStart; i < len(raw); i += damageInterval {
		raw[i] ^= damageMask
	}
	return raw
}

// rewriteLogs applies change to each log file of a directory.
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

// command returns the command that starts the node's program with its configuration and an empty directory for
// temporary files.
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
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the process ends with the harness
	return cmd, nil
}

// follow reads the process's log until the process exits, and copies it to a file.
func (n *node) follow(cmd *exec.Cmd, log io.Reader, file io.WriteCloser, exited chan struct{}) {
	defer close(exited)
	defer closeQuietly(file)
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		n.readLogLine(scanner.Bytes())
		_, _ = fmt.Fprintf(file, "%s\n", scanner.Text()) // no check reads the file, so an error does no harm
	}
	_ = cmd.Wait() // the exit status means nothing, since most processes are killed
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == cmd {
		n.cmd = nil
		n.exitedAt = time.Now()
	}
}

// isRunning reports whether the node has a process, running or paused.
func (n *node) isRunning() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil
}

// restart starts the process again, unless it is running, and directs the clients to the address on which it then
// listens.
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

// pause suspends the process. It returns false if the node has no process.
func (n *node) pause() bool {
	if !n.signal(syscall.SIGSTOP) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused = true
	return true
}

// resume continues a paused process.
func (n *node) resume() {
	n.mu.Lock()
	n.paused = false
	n.runsSince = time.Now()
	n.mu.Unlock()
	n.signal(syscall.SIGCONT)
}

// signal sends a signal to the process. It returns false if the node has no process or the signal can't be sent.
func (n *node) signal(signal syscall.Signal) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil && n.cmd.Process.Signal(signal) == nil
}

// kill kills the process, records the crash and waits until the process has exited.
func (n *node) kill() {
	n.mu.Lock()
	exited := n.exited
	runs := n.cmd != nil
	n.mu.Unlock()
	if !runs {
		return
	}
	n.harness.record(Event{Kind: KindCrash, Node: n.name, Zone: n.zone})
	n.signal(syscall.SIGKILL)
	<-exited
}
