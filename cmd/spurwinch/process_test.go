package main

import (
	"bufio"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
)

const (
	listenTimeout = 30 * time.Second // of a start, until the program listens
	exitTimeout   = 60 * time.Second // of a planned stop
	freePort      = "127.0.0.1:0"
)

// process is the built program, started as the platform starts it.
type process struct {
	cmd       *exec.Cmd
	addr      string // of the first front end
	adminAddr string // of the admin server; empty: none was set
	done      chan error
}

// build builds the node's program.
func build(tb testing.TB) string {
	tb.Helper()
	return goBuild(tb, nil, "-o", filepath.Join(tb.TempDir(), "spurwinch"), ".")
}

// buildAsDeployed builds the program as deploy/balancer.toml does: dynamically, against the C library.
func buildAsDeployed(tb testing.TB) string {
	tb.Helper()
	program := filepath.Join(tb.TempDir(), "spurwinch")
	return goBuild(tb, []string{"CGO_ENABLED=1"}, "-o", program, "-ldflags=-linkmode=external", ".")
}

// buildAll builds the node's programs and the operators' beside one another.
func buildAll(tb testing.TB) string {
	tb.Helper()
	dir := tb.TempDir() + "/"
	goBuild(tb, nil, "-o", dir, ".", "../spurwinch-voter", "../spurwinchctl")
	return filepath.Join(dir, "spurwinch")
}

// goBuild calls go build. The first arguments are -o and the path of the program, which it returns.
func goBuild(tb testing.TB, env []string, args ...string) string {
	tb.Helper()
	command := exec.Command("go", append([]string{"build"}, args...)...)
	command.Env = append(os.Environ(), env...)
	if out, err := command.CombinedOutput(); err != nil {
		tb.Fatalf("go build: %v\n%s", err, out)
	}
	return args[1]
}

// start starts a program and waits for the lines of its log that name its addresses.
func start(tb testing.TB, program string, env []string, args ...string) *process {
	tb.Helper()
	proc := &process{cmd: exec.Command(program, args...), done: make(chan error, 1)}
	proc.cmd.Env = append(os.Environ(), env...)
	log, err := proc.cmd.StderrPipe()
	if err == nil {
		err = proc.cmd.Start()
	}
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = proc.cmd.Process.Kill() }) // most have ended by then
	lines := make(chan string, 8)
	go func() {
		for scanner := bufio.NewScanner(log); scanner.Scan(); {
			if strings.Contains(scanner.Text(), "listening") {
				lines <- scanner.Text()
			}
		}
		proc.done <- proc.cmd.Wait()
	}()
	hasAdmin := strings.Contains(strings.Join(env, " "), "GW_MGMT=")
	for proc.addr == "" || hasAdmin && proc.adminAddr == "" {
		select {
		case line := <-lines:
			proc.noteAddress(line)
		case err := <-proc.done:
			tb.Fatal("the program ended: ", err)
		case <-time.After(listenTimeout):
			tb.Fatal("the program does not listen")
		}
	}
	return proc
}

// noteAddress takes an address from a line of the log.
func (p *process) noteAddress(line string) {
	_, rest, _ := strings.Cut(line, `"address": "`)
	addr := strings.TrimRight(rest, `"}`)
	switch {
	case strings.Contains(line, `"operators"`):
		p.adminAddr = addr
	case p.addr == "":
		p.addr = addr
	}
}

// waitForExit waits for the end of a planned stop, with status 0.
func (p *process) waitForExit(tb testing.TB) {
	tb.Helper()
	select {
	case err := <-p.done:
		if err != nil {
			tb.Fatal("the program ended with ", err)
		}
	case <-time.After(exitTimeout):
		tb.Fatal("the program does not end after SIGTERM")
	}
}

// wait waits for the end of a process and returns its status as an error.
func (p *process) wait() error { return <-p.done }

// signal sends a signal. A process that has ended already shows in what the test waits for.
func (p *process) signal(signal os.Signal) { _ = p.cmd.Process.Signal(signal) }

// readiness is the status of the admin server's readiness check; 0: there was no answer.
func (p *process) readiness() int {
	status, _ := transcript.AdminRequest(p.adminAddr, "/api/ready")
	return status
}

// waitUntilReady waits until the process says that it accepts clients.
func (p *process) waitUntilReady(tb testing.TB) {
	tb.Helper()
	transcript.WaitFor(tb, "the process is ready", func() bool { return p.readiness() == http.StatusOK })
}

// usage is what processes use together: descriptors and resident memory in MB. A process that has ended uses nothing.
func usage(processes ...*process) (descriptors, memory int) {
	for _, proc := range processes {
		dir := fmt.Sprintf("/proc/%d/", proc.cmd.Process.Pid)
		files, _ := os.ReadDir(dir + "fd")
		descriptors += len(files)
		text, _ := os.ReadFile(dir + "statm")
		var size, resident int
		_, _ = fmt.Sscan(string(text), &size, &resident) // nothing, of a process that has ended
		memory += resident * os.Getpagesize() >> 20
	}
	return descriptors, memory
}

func writeFile(tb testing.TB, path, text string) {
	tb.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
}

// removeFile removes a file, if there is one.
func removeFile(tb testing.TB, path string) {
	tb.Helper()
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		tb.Fatal(err)
	}
}

// nodeConfig is the configuration of a node. Its fields are JSON where no other form is said.
type nodeConfig struct {
	listen    string // an address; empty: a free port
	discovery string // an address
	seed      string // a text; empty: 1
	limits    string
	known     string // the endpoint list
	settings  string
}

func (c nodeConfig) json() string {
	if c.listen == "" {
		c.listen = freePort
	}
	if c.seed == "" {
		c.seed = "1"
	}
	return fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":%q,"limits":%s,"known":%s,"settings":%s}`,
		c.listen, c.discovery, c.seed, c.limits, c.known, c.settings)
}

// write writes the configuration to a file.
func (c nodeConfig) write(tb testing.TB, path string) {
	tb.Helper()
	writeFile(tb, path, c.json())
}

// settings are the platform's settings, with load reports as given and with pairs of an old text and its replacement.
func settings(reports string, replacements ...string) string {
	return strings.NewReplacer(append([]string{"REPORTS", reports}, replacements...)...).Replace(transcript.Settings)
}

// knownServers is an endpoint list of complete entries.
func knownServers(version int, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`, version, strings.Join(entries, ","))
}

func serverEntry(id, addr string) string {
	return fmt.Sprintf(
		`{"id":%q,"addr":%q,"zone":"a","kind":"m","cell":0,"state":"SERVING","weight":1,"started_ms":0}`, id, addr)
}

// send writes to a connection. An error is dropped: whoever reads the answer notices.
func send(conn net.Conn, format string, args ...any) { _, _ = fmt.Fprintf(conn, format, args...) }

// setReadTimeout bounds the reads from now on. It fails on a closed connection only, where reads fail too.
func setReadTimeout(conn net.Conn, timeout time.Duration) {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
}

// readLine reads the first line of a connection that answers with one line.
func readLine(conn net.Conn) (string, error) { return bufio.NewReader(conn).ReadString('\n') }

// closeAtEnd closes a connection, a listener or a file as the test ends.
func closeAtEnd(tb testing.TB, closer interface{ Close() error }) {
	tb.Helper()
	tb.Cleanup(func() { _ = closer.Close() }) // some are closed before
}

func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		_ = conn.Close() // some have been closed by the other side
	}
}
