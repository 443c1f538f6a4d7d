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
	lastLogLines = 6 // reported when a process crashes
)

// process is one process of a node. The node's mutex guards all fields except cmd and gone.
type process struct {
	cmd         *exec.Cmd
	gone        chan struct{} // closed when the process has ended
	endExpected bool          // the harness is ending the process
	admin       string        // address of the admin endpoint; each process has a different one
	lastLog     []string
}

// logLine holds the fields that the harness needs from a line of a node's log.
type logLine struct {
	Event    string `json:"event"`
	Protocol string `json:"protocol"`
	Address  string `json:"address"`
	Rule     string `json:"rule"`
	Request  string `json:"request"`
	Host     string `json:"host"`
}

// signal sends a signal. It ignores the error, which occurs if the process has ended; follow reports an unexpected end.
func (p *process) signal(signal os.Signal) { _ = p.cmd.Process.Signal(signal) }

// kill kills the process. It ignores errors for the same reason as signal.
func (p *process) kill() { _ = p.cmd.Process.Kill() }

// startProcess starts a process of the node and follows its log. The node's current process stays the same.
func (n *node) startProcess() (*process, error) {
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
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the process ends with the harness
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

// follow copies a process's log to a file until the log ends, and then waits for the process to end. It reports an end
// that was not expected.
func (n *node) follow(followed *process, log io.Reader, file io.WriteCloser) {
	defer closeQuietly(file)
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		n.readLogLine(followed, scanner.Bytes())
		_, _ = fmt.Fprintf(file, "%s\n", scanner.Text()) // error ignored: the file is for people, no check reads it
	}
	err := followed.cmd.Wait()
	n.mu.Lock()
	expected := followed.endExpected
	last := strings.Join(followed.lastLog, " | ")
	n.mu.Unlock()
	if !expected && !n.harness.over() {
		n.harness.checker.violated(Crash, "%s: a process ended unexpectedly (%v): %s", n.name, err, last)
	}
	close(followed.gone)
}

// readLogLine handles the log events that the harness needs.
func (n *node) readLogLine(followed *process, raw []byte) {
	n.keepLogLine(followed, raw)
	var line logLine
	if json.Unmarshal(raw, &line) != nil {
		return // a line of the Go runtime, such as a line of a panic
	}
	switch line.Event {
	case "listening":
		if line.Protocol == "operators" {
			n.mu.Lock()
			followed.admin = line.Address
			n.mu.Unlock()
		}
	case "invariant_broken":
		n.harness.checker.violated(InvariantMonitor, "%s: %s for %s at %s", n.name, line.Rule, line.Request, line.Host)
	case "deadline_unanswered", "send_without_request":
		n.harness.checker.violated(InvariantMonitor, "%s: %s for %s", n.name, line.Event, line.Request)
	case "configuration_reloaded":
		n.harness.checker.count("configurations taken")
	}
}

// keepLogLine keeps the last log lines above level debug.
func (n *node) keepLogLine(p *process, raw []byte) {
	if bytes.Contains(raw, []byte(`"level":"debug"`)) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p.lastLog = append(p.lastLog, string(raw))
	p.lastLog = p.lastLog[max(0, len(p.lastLog)-lastLogLines):]
}

// expectEnd marks a process that the harness is about to end.
func (n *node) expectEnd(p *process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p.endExpected = true
}

// awaitPong waits until the node answers PING, and then admits it. It records a violation if the node does not answer
// in time.
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
		n.harness.checker.violated(Start, "%s: no PONG within %v after its start", n.name, readyTimeout)
	}
}

// admit makes the front end send clients to the node, if the process is still the node's current one and is not about
// to end.
func (n *node) admit(p *process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == p && !p.endExpected {
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

// awaitReady waits until a process reports at its admin endpoint that it is ready. It returns false if that does not
// happen in time.
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
