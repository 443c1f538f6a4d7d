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

// proc is one process of the program.
type proc struct {
	lab   *Lab
	i     int
	name  string
	zone  string
	voter bool
	dir   string
	fleet string   // its own address for other nodes
	links []string // the others' addresses, as it sees them
	hosts []string // the hosts', as it sees them
	front string   // its clients' address, through the relay

	mu    sync.Mutex
	cmd   *exec.Cmd
	gone  chan struct{}
	died  time.Time
	since time.Time
	still bool
	addr  chan string
}

// start starts the process, with its files as they are to be.
func (n *proc) start(files string) error {
	if err := n.prepareFiles(files); err != nil {
		return err
	}
	cmd, err := n.command()
	if err != nil {
		return err
	}
	logged, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	file, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.lab.note(Event{Kind: KindStart, Node: n.name, Zone: n.zone, Detail: files})
	if err := cmd.Start(); err != nil {
		file.Close()
		return fmt.Errorf("node program %s: %w", cmd.Path, err)
	}
	gone := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.gone, n.since, n.still = cmd, gone, time.Now(), false
	n.mu.Unlock()
	go n.follow(cmd, logged, file, gone)
	return nil
}

// prepareFiles has the files that the process kept before stay, be lost, or be damaged.
func (n *proc) prepareFiles(files string) error {
	dir := filepath.Join(n.dir, "files")
	switch files {
	case "lost":
		os.RemoveAll(dir)
	case "cut":
		return rewriteLogs(dir, func(raw []byte) []byte { return raw[:len(raw)*2/3] })
	case "spoilt":
		return rewriteLogs(dir, func(raw []byte) []byte {
			for i := 40; i < len(raw); i += 997 {
				raw[i] ^= 0x55
			}
			return raw
		})
	}
	return nil
}

// rewriteLogs changes each log file of a directory.
func rewriteLogs(dir string, change func(raw []byte) []byte) error {
	all, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, path := range all {
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
func (n *proc) command() (*exec.Cmd, error) {
	args := []string{"-log", "json", "-log-level", "debug"}
	if !n.lab.o.Alone {
		args = append(args, "-operator", filepath.Join(n.dir, "operator.toml"))
	}
	program := n.lab.o.Program
	if n.lab.o.ProgramOf != nil {
		program = n.lab.o.ProgramOf(n.i)
	}
	cmd := exec.Command(program, args...)
	tmp := filepath.Join(n.dir, "tmp")
	os.RemoveAll(tmp)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	cmd.Env = []string{"GW_CONFIG=" + filepath.Join(n.dir, "config.json"), "GOMAXPROCS=1", "TMPDIR=" + tmp}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nothing outlives the laboratory
	return cmd, nil
}

// follow reads what the process logs until it ends, and keeps it in a file.
func (n *proc) follow(cmd *exec.Cmd, logged io.Reader, file io.WriteCloser, gone chan struct{}) {
	defer close(gone)
	defer file.Close()
	lines := bufio.NewScanner(logged)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		n.readLogLine(lines.Bytes())
		fmt.Fprintf(file, "%s\n", lines.Text())
	}
	cmd.Wait()
	n.mu.Lock()
	if n.cmd == cmd {
		n.cmd, n.died = nil, time.Now()
	}
	n.mu.Unlock()
}

// restart starts the process again, if it does not run, and has its clients come to where it listens then.
func (n *proc) restart(files string) error {
	n.mu.Lock()
	up := n.cmd != nil
	n.mu.Unlock()
	if up {
		return nil
	}
	if files == "" {
		files = "kept"
	}
	if err := n.start(files); err != nil {
		return err
	}
	n.lab.wait.Add(1)
	go func() {
		defer n.lab.wait.Done()
		select {
		case at := <-n.addr:
			n.lab.relay.moveFront(n, at)
		case <-n.lab.done:
		}
	}()
	return nil
}

// stall stops the process where it stands. ok is false if it doesn't run.
func (n *proc) stall() (ok bool) {
	if !n.signal(syscall.SIGSTOP) {
		return false
	}
	n.mu.Lock()
	n.still = true
	n.mu.Unlock()
	return true
}

// resume has a stalled process go on.
func (n *proc) resume() {
	n.mu.Lock()
	n.still, n.since = false, time.Now()
	n.mu.Unlock()
	n.signal(syscall.SIGCONT)
}

func (n *proc) signal(s syscall.Signal) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil && n.cmd.Process.Signal(s) == nil
}

// kill ends the process and waits for that.
func (n *proc) kill() {
	n.mu.Lock()
	cmd, gone := n.cmd, n.gone
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	n.lab.note(Event{Kind: KindCrash, Node: n.name, Zone: n.zone})
	cmd.Process.Kill()
	<-gone
}
