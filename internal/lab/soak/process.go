package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	readyTimeout = 10 * time.Second
	readySlack   = 2 * time.Second
	maxLogLine   = 1 << 20
	lastLogLines = 6 // that are reported when a process crashes
)

// process is one process of a node. Its fields but the first two are guarded by the node's mutex.
type process struct {
	cmd      *exec.Cmd
	gone     chan struct{} // closed when it has ended
	expected bool          // it is to end
	admin    string        // address of its admin endpoint; one that starts again has another one
	lastLog  []string
}

// logLine is what the harness needs of a line of a node's log.
type logLine struct {
	Event    string `json:"event"`
	Protocol string `json:"protocol"`
	Address  string `json:"address"`
	Rule     string `json:"rule"`
	Request  string `json:"request"`
	Host     string `json:"host"`
}

// signal sends a signal. A process that has ended meanwhile needs none; follow reports an end that was not expected.
func (p *process) signal(signal os.Signal) { _ = p.cmd.Process.Signal(signal) }

// kill kills the process; as signal.
func (p *process) kill() { _ = p.cmd.Process.Kill() }

// start starts a process of the node.
func (n *node) start() (*process, error) {
	temporary := filepath.Join(n.dir, "tmp")
	if err := os.MkdirAll(temporary, 0o700); err != nil {
		return nil, err
	}
	cmd := exec.Command(n.harness.options.Program, "-log", "json", "-log-level", "debug")
	cmd.Env = append([]string{
		"GW_CONFIG=" + n.configurationPath(),
		"GW_MGMT=127.0.0.1:0",
		"GOMAXPROCS=1",
		"TMPDIR=" + temporary,
	}, n.control.Environment(n.harness.library)...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with the harness
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
		closeQuietly(file)
		return nil, fmt.Errorf("node program %s: %w", n.harness.options.Program, err)
	}
	n.harness.inBackground(func() { n.follow(p, log, file) })
	return p, nil
}

// follow reads a process's log to its end, writes it to a file, and waits for the process.
func (n *node) follow(followed *process, log io.Reader, file io.WriteCloser) {
	defer closeQuietly(file)
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		n.readLogLine(followed, scanner.Bytes())
		_, _ = fmt.Fprintf(file, "%s\n", scanner.Text()) // the file is for people; no check needs it
	}
	err := followed.cmd.Wait()
	n.mu.Lock()
	expected := followed.expected
	last := strings.Join(followed.lastLog, " | ")
	n.mu.Unlock()
	if !expected && !n.harness.over() {
		n.harness.checker.violated(Crash, "%s: a process ended by itself (%v): %s", n.name, err, last)
	}
	close(followed.gone)
}

// readLogLine takes what the harness needs from a line of the log.
func (n *node) readLogLine(followed *process, raw []byte) {
	n.keepLogLine(followed, raw)
	var line logLine
	if json.Unmarshal(raw, &line) != nil {
		return // a line of the runtime, as of a panic
	}
	switch line.Event {
	case "listening":
		if line.Protocol == "operators" {
			n.mu.Lock()
			followed.admin = line.Address
			n.mu.Unlock()
		}
	case "invariant_broken":
		n.harness.checker.violated(Guard, "%s: %s for %s at %s", n.name, line.Rule, line.Request, line.Host)
	case "deadline_unanswered", "send_without_request":
		n.harness.checker.violated(Guard, "%s: %s for %s", n.name, line.Event, line.Request)
	case "configuration_reloaded":
		n.harness.checker.count("configurations taken")
	}
}

// keepLogLine keeps the last lines above level debug.
func (n *node) keepLogLine(p *process, raw []byte) {
	if bytes.Contains(raw, []byte(`"level":"debug"`)) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p.lastLog = append(p.lastLog, string(raw))
	p.lastLog = p.lastLog[max(0, len(p.lastLog)-lastLogLines):]
}

// expectEnd notes that a process is to end.
func (n *node) expectEnd(p *process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p.expected = true
}

// awaitPong waits until the node answers PING, and has the front send it clients.
func (n *node) awaitPong(p *process) {
	for end := time.Now().Add(readyTimeout + readySlack); time.Now().Before(end); time.Sleep(pollInterval) {
		select {
		case <-p.gone:
			return
		default:
		}
		if answersPing(n.addr) {
			n.admit(p)
			return
		}
	}
	if !n.harness.over() {
		n.harness.checker.violated(Start, "%s: no PONG %v after its start", n.name, readyTimeout)
	}
}

// admit has the front send clients to the node, if the process is still its own.
func (n *node) admit(p *process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == p && !p.expected {
		n.admitted = true
	}
}

// answersPing reports whether a node answers PING.
func answersPing(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer closeQuietly(conn)
	if conn.SetDeadline(time.Now().Add(time.Second)) != nil {
		return false
	}
	if _, err := io.WriteString(conn, linePing); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == linePong
}

// awaitReady waits until a process reports at its admin endpoint that it is ready.
func (n *node) awaitReady(p *process) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyTimeout + readySlack); time.Now().Before(end); time.Sleep(pollInterval) {
		n.mu.Lock()
		admin := p.admin
		n.mu.Unlock()
		if isReady(&client, admin) {
			return true
		}
	}
	return false
}

// isReady asks a process at its admin endpoint whether it is ready.
func isReady(client *http.Client, admin string) bool {
	url := "http://" + admin + "/api/ready"
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	closeQuietly(response.Body)
	return response.StatusCode == http.StatusOK
}
