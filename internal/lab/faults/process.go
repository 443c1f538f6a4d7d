package faults

import (
	"bufio"
	"fmt"
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
	lab := n.lab
	path := filepath.Join(n.dir, "files")
	switch files {
	case "lost":
		os.RemoveAll(path)
	case "cut", "spoilt":
		all, _ := filepath.Glob(filepath.Join(path, "*.log"))
		for _, f := range all {
			raw, err := os.ReadFile(f)
			if err != nil {
				return err
			}
			if files == "cut" {
				raw = raw[:len(raw)*2/3]
			} else {
				for i := 40; i < len(raw); i += 997 {
					raw[i] ^= 0x55
				}
			}
			if err := os.WriteFile(f, raw, 0o600); err != nil {
				return err
			}
		}
	}
	args := []string{"-log", "json", "-log-level", "debug"}
	if !lab.o.Alone {
		args = append(args, "-operator", filepath.Join(n.dir, "operator.toml"))
	}
	cmd := exec.Command(lab.o.Program, args...)
	tmp := filepath.Join(n.dir, "tmp")
	os.RemoveAll(tmp)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return err
	}
	cmd.Env = []string{"GW_CONFIG=" + filepath.Join(n.dir, "config.json"), "GOMAXPROCS=1", "TMPDIR=" + tmp}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nothing outlives the laboratory
	logged, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	file, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	lab.note(Event{Kind: KindStart, Node: n.name, Zone: n.zone, Detail: files})
	if err := cmd.Start(); err != nil {
		file.Close()
		return fmt.Errorf("node program %s: %w", lab.o.Program, err)
	}
	gone := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.gone, n.since, n.still = cmd, gone, time.Now(), false
	n.mu.Unlock()
	go func() {
		defer close(gone)
		defer file.Close()
		in := bufio.NewScanner(logged)
		in.Buffer(nil, 4<<20)
		for in.Scan() {
			n.line(in.Bytes())
			fmt.Fprintf(file, "%s\n", in.Text())
		}
		cmd.Wait()
		n.mu.Lock()
		if n.cmd == cmd {
			n.cmd, n.died = nil, time.Now()
		}
		n.mu.Unlock()
	}()
	return nil
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
