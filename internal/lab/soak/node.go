package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"spurwinch/internal/lab/fakeserver"
	"spurwinch/internal/lab/shim"
)

const (
	readyWithin  = 10 * time.Second
	readySlack   = 2 * time.Second
	killAfter    = longestPatience + 700*time.Millisecond // after SIGTERM
	noticeAfter  = 300 * time.Millisecond                 // the front learns of a planned stop
	upgradeEnds  = 14 * time.Second
	configTaken  = 4 * time.Second
	breakExcuse  = 3 * time.Second // after connections were broken under the node
	longestLine  = 1 << 20
	lastLogLines = 6
)

// process is one process of a node.
type process struct {
	cmd      *exec.Cmd
	gone     chan struct{}
	expected bool     // it is to end
	door     string   // of operators; a start that is tried again has another one
	last     []string // lines of its log
}

// node is a node with its present process.
type node struct {
	lab     *lab
	name    string
	zone    string
	index   int
	dir     string
	addr    string // where clients come
	peer    string
	doors   []string // of discovery, of which the configuration names one
	control *shim.Control

	mu       sync.Mutex
	process  *process
	run      int  // planned and other restarts so far
	admitted bool // the front sends clients
	busy     bool // a trouble of this node's process is under way
	door     int  // of doors
	begun    time.Time
	reloaded time.Time
	killed   []time.Time
	broke    time.Time             // connections are broken under it until then
	leaving  map[*host]time.Time   // since when this process was told that the host leaves
	starts   map[*host][]time.Time // the starts that it was told of
}

// configuration writes the node's file as it is to be now.
func (n *node) configuration() error {
	var peers []string
	for _, o := range n.lab.nodes {
		peers = append(peers, o.peer)
	}
	var known []fakeserver.ListEntry
	for _, h := range n.lab.hosts {
		known = append(known, fakeserver.ListEntry{ID: h.id, Addr: h.proxy.listen.Addr().String(), Zone: h.zone, Kind: "k", State: "SERVING", Weight: 1})
	}
	raw, err := json.Marshal(map[string]any{
		"name": n.name, "listen": n.addr, "discovery": n.doors[n.door], "seed": fmt.Sprintf("%x", n.lab.o.Seed*1000+uint64(n.index)),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "peer_listen": n.peer, "peers": peers,
		"known": json.RawMessage(fakeserver.EncodeList(1, known)), "settings": settingsJSON(n.lab.deployment, len(n.lab.nodes), n.index, len(n.lab.hosts), n.zone)})
	if err != nil {
		return err
	}
	path := n.configPath()
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func (n *node) configPath() string { return filepath.Join(n.dir, "config.json") }

// start starts a process of the node.
func (n *node) start() (*process, error) {
	tmp := filepath.Join(n.dir, "tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	cmd := exec.Command(n.lab.o.Program, "-log", "json", "-log-level", "debug")
	cmd.Env = append([]string{"GW_CONFIG=" + n.configPath(), "GW_MGMT=127.0.0.1:0", "GOMAXPROCS=1", "TMPDIR=" + tmp}, n.control.Environment(n.lab.library)...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nothing outlives the laboratory
	log, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	file, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, gone: make(chan struct{})}
	if err := cmd.Start(); err != nil {
		file.Close()
		return nil, fmt.Errorf("node program %s: %w", n.lab.o.Program, err)
	}
	n.lab.wait.Add(1)
	go n.follow(p, log, file)
	return p, nil
}

// follow reads a process's log to its end.
func (n *node) follow(p *process, log io.Reader, file io.WriteCloser) {
	defer n.lab.wait.Done()
	defer file.Close()
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		n.read(p, lines.Bytes())
		fmt.Fprintf(file, "%s\n", lines.Text())
	}
	err := p.cmd.Wait()
	n.mu.Lock()
	expected, last := p.expected, strings.Join(p.last, " | ")
	n.mu.Unlock()
	if !expected && !n.lab.over() {
		n.lab.judge.broken(Crash, "%s: a process ended by itself (%v): %s", n.name, err, last)
	}
	close(p.gone)
}

// read takes what the laboratory needs out of a line of the log.
func (n *node) read(p *process, raw []byte) {
	n.mu.Lock()
	if !bytes.Contains(raw, []byte(`"level":"debug"`)) {
		p.last = append(p.last, string(raw))
		p.last = p.last[max(0, len(p.last)-lastLogLines):]
	}
	n.mu.Unlock()
	var line struct{ Event, Protocol, Address, Rule, Request, Host string }
	if json.Unmarshal(raw, &line) != nil {
		return
	}
	switch line.Event {
	case "listening":
		if line.Protocol == "operators" {
			n.mu.Lock()
			p.door = line.Address
			n.mu.Unlock()
		}
	case "invariant_broken":
		n.lab.judge.broken(Guard, "%s: %s for %s at %s", n.name, line.Rule, line.Request, line.Host)
	case "deadline_unanswered", "send_without_request":
		n.lab.judge.broken(Guard, "%s: %s for %s", n.name, line.Event, line.Request)
	case "configuration_reloaded":
		n.lab.judge.saw("configurations taken")
	}
}

// begin has a new process be the node's, and the front admit it once it answers.
func (n *node) begin() error {
	p, err := n.start()
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.process, n.begun = p, time.Now()
	n.run++
	n.leaving, n.starts = map[*host]time.Time{}, map[*host][]time.Time{}
	n.mu.Unlock()
	go n.admit(p)
	return nil
}

// admit waits for PONG.
func (n *node) admit(p *process) {
	for end := time.Now().Add(readyWithin + readySlack); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-p.gone:
			return
		default:
		}
		if answersPing(n.addr) {
			n.mu.Lock()
			if n.process == p && !p.expected {
				n.admitted = true
			}
			n.mu.Unlock()
			return
		}
	}
	if !n.lab.over() {
		n.lab.judge.broken(Start, "%s: no PONG %v after its start", n.name, readyWithin)
	}
}

func answersPing(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(c, "PING\r\n")
	line, _ := bufio.NewReader(c).ReadString('\n')
	return line == "PONG\r\n"
}

// take claims the node for a trouble of its process; false: another one is under way.
func (n *node) take() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy || !n.admitted {
		return false
	}
	n.busy = true
	return true
}

func (n *node) free() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.busy = false
}

// stop is a planned restart.
func (n *node) stop(again bool) {
	defer n.free()
	n.mu.Lock()
	p := n.process
	p.expected = true
	withFiles := (n.index+n.run)%3 == 0
	n.mu.Unlock()
	if withFiles { // two signals at once
		n.reload()
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	end := time.After(killAfter)
	time.Sleep(noticeAfter)
	n.mu.Lock()
	n.admitted = false
	n.mu.Unlock()
	select {
	case <-p.gone:
		n.lab.judge.broken(Stop, "%s: ended before its time was up", n.name)
	case <-end:
	}
	p.cmd.Process.Kill()
	<-p.gone
	n.lab.judge.saw("planned stops")
	if again && !n.lab.over() {
		n.beginAgain()
	}
}

// kill ends the process without a word, and starts another one a little later.
func (n *node) kill() {
	defer n.free()
	n.mu.Lock()
	p := n.process
	p.expected, n.admitted = true, false
	n.killed = append(n.killed, time.Now())
	n.mu.Unlock()
	p.cmd.Process.Kill()
	<-p.gone
	n.lab.judge.saw("kills")
	time.Sleep(300 * time.Millisecond)
	if !n.lab.over() {
		n.beginAgain()
	}
}

func (n *node) beginAgain() {
	if err := n.begin(); err != nil {
		n.lab.judge.broken(Start, "%s: %v", n.name, err)
	}
}

// hold stops the process for a moment, some times.
func (n *node) hold(until time.Time) {
	defer n.free()
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()
	for time.Now().Before(until) {
		p.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(140 * time.Millisecond)
		p.cmd.Process.Signal(syscall.SIGCONT)
		time.Sleep(200 * time.Millisecond)
	}
	n.lab.judge.saw("holds")
}

// reload has the node follow discovery at its other address.
func (n *node) reload() {
	n.mu.Lock()
	n.door = 1 - n.door
	p := n.process
	n.reloaded = time.Now()
	err := n.configuration()
	n.mu.Unlock()
	if err == nil {
		err = p.cmd.Process.Signal(syscall.SIGHUP)
	}
	if err == nil {
		n.lab.judge.saw("reloads")
	}
}

// upgrade starts a second process beside the running one, and stops that one when the second is ready.
func (n *node) upgrade() {
	defer n.free()
	next, err := n.start()
	if err != nil {
		n.lab.judge.broken(Start, "%s: %v", n.name, err)
		return
	}
	if !n.awaitReady(next) {
		n.lab.judge.broken(Start, "%s: the process started beside the running one is not ready", n.name)
		n.expect(next)
		n.mu.Lock()
		n.killed = append(n.killed, time.Now())
		n.mu.Unlock()
		next.cmd.Process.Kill()
		<-next.gone
		return
	}
	n.mu.Lock()
	old := n.process
	old.expected, n.process = true, next
	n.mu.Unlock()
	old.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-old.gone:
		if !old.cmd.ProcessState.Success() {
			n.lab.judge.broken(Stop, "%s: the process that was replaced ended with %v", n.name, old.cmd.ProcessState)
		}
	case <-time.After(upgradeEnds):
		n.lab.judge.broken(Stop, "%s: the process that was replaced is still there", n.name)
		old.cmd.Process.Kill()
		<-old.gone
	}
	n.lab.judge.saw("upgrades")
}

// expect notes that a process is to end.
func (n *node) expect(p *process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p.expected = true
}

// awaitReady waits until a process says that it is ready.
func (n *node) awaitReady(p *process) bool {
	call := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyWithin + readySlack); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		n.mu.Lock()
		door := p.door
		n.mu.Unlock()
		r, err := call.Get("http://" + door + "/api/ready")
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// told notes what discovery writes to the node.
func (n *node) told(states []hostState) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range states {
		if s.state == "SERVING" {
			delete(n.leaving, s.host)
		} else if n.leaving[s.host].IsZero() {
			n.leaving[s.host] = now
		}
		if !s.started.IsZero() {
			n.starts[s.host] = append(n.starts[s.host], s.started)
		}
	}
}

// toldLeaving is since when the node knows, or counts as knowing, that a host leaves; zero: it doesn't.
func (n *node) toldLeaving(h *host) time.Time {
	h.mu.Lock()
	changed, leaves := h.changed, h.state != "SERVING"
	h.mu.Unlock()
	if !leaves {
		return time.Time{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	told := n.leaving[h]
	if since, ok := n.lab.discovery.reachable(); ok {
		by := changed
		for _, t := range []time.Time{since, n.begun, n.reloaded.Add(configTaken)} {
			if t.After(by) {
				by = t
			}
		}
		if !n.lab.deployment.pushed { // what an agent has counts as told
			by = by.Add(toldWithin)
		}
		if told.IsZero() || by.Before(told) {
			told = by
		}
	}
	return told
}

// toldStart says whether the process that a request went to was told of a host's start.
func (n *node) toldStart(h *host, started time.Time, run int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if run != n.run {
		return false
	}
	for _, t := range n.starts[h] {
		if t.Equal(started) {
			return true
		}
	}
	return false
}

// excused says whether the node was killed between two times.
func (n *node) excused(from, to time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, at := range n.killed {
		if !at.Before(from) && !at.After(to) {
			return true
		}
	}
	return false
}

// brokeUnder says whether the laboratory broke connections under the node lately.
func (n *node) brokeUnder() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.broke)
}

var errNoNode = errors.New("no node takes clients")
