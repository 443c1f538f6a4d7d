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
	listenTimeout = 30 * time.Second // from the start of the program until it listens
	exitTimeout   = 60 * time.Second // limit for a planned stop
	freePort      = "127.0.0.1:0"
)

// process is a running program that was started as the platform starts it.
type process struct {
	cmd       *exec.Cmd
	addr      string     // address of the first front end
	adminAddr string     // address of the admin server; empty if the node has none
	done      chan error // receives the result of cmd.Wait
}

// build builds the node's program.
func build(tb testing.TB) string {
	tb.Helper()
	return goBuild(tb, nil, "-o", filepath.Join(tb.TempDir(), "spurwinch"), ".")
}

// buildAsDeployed builds the program as deploy/balancer.toml does, dynamically linked against the C library.
func buildAsDeployed(tb testing.TB) string {
	tb.Helper()
	program := filepath.Join(tb.TempDir(), "spurwinch")
	return goBuild(tb, []string{"CGO_ENABLED=1"}, "-o", program, "-ldflags=-linkmode=external", ".")
}

// buildAll builds spurwinch, spurwinch-voter and spurwinchctl in one directory and returns the path of spurwinch.
func buildAll(tb testing.TB) string {
	tb.Helper()
	dir := tb.TempDir() + "/"
	goBuild(tb, nil, "-o", dir, ".", "../spurwinch-voter", "../spurwinchctl")
	return filepath.Join(dir, "spurwinch")
}

// goBuild runs go build. The first two arguments must be -o and the path of the output, which goBuild returns.
func goBuild(tb testing.TB, env []string, args ...string) string {
	tb.Helper()
	command := exec.Command("go", append([]string{"build"}, args...)...)
	command.Env = append(os.Environ(), env...)
	if out, err := command.CombinedOutput(); err != nil {
		tb.Fatalf("go build: %v\n%s", err, out)
	}
	return args[1]
}

// start starts a program and waits for the log lines with its addresses.
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
	tb.Cleanup(func() { _ = proc.cmd.Process.Kill() }) // most processes have exited by then
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
			tb.Fatal("the program exited before it listened: ", err)
		case <-time.After(listenTimeout):
			tb.Fatal("the program does not listen in time")
		}
	}
	return proc
}

// noteAddress records the address in a log line.
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

// waitForExit waits until the process exits after a planned stop and checks that its status is 0.
func (p *process) waitForExit(tb testing.TB) {
	tb.Helper()
	select {
	case err := <-p.done:
		if err != nil {
			tb.Fatal("the program exited with an error: ", err)
		}
	case <-time.After(exitTimeout):
		tb.Fatal("the program does not exit in time after SIGTERM")
	}
}

// wait waits until the process exits and returns an error if its status isn't 0.
func (p *process) wait() error { return <-p.done }

// signal sends a signal. It ignores errors because the test's later checks fail if the process has already exited.
func (p *process) signal(signal os.Signal) { _ = p.cmd.Process.Signal(signal) }

// readiness returns the HTTP status of the admin server's readiness check, or 0 if there was no response.
func (p *process) readiness() int {
	status, _ := transcript.AdminRequest(p.adminAddr, "/api/ready")
	return status
}

// waitUntilReady waits until the process reports that it accepts clients.
func (p *process) waitUntilReady(tb testing.TB) {
	tb.Helper()
	transcript.WaitFor(tb, "the process is ready", func() bool { return p.readiness() == http.StatusOK })
}

// usage returns the descriptors and the resident memory in MB that the processes use in total. A process that has
// exited uses none.
func usage(processes ...*process) (descriptors, memory int) {
	for _, proc := range processes {
		dir := fmt.Sprintf("/proc/%d/", proc.cmd.Process.Pid)
		files, _ := os.ReadDir(dir + "fd")
		descriptors += len(files)
		text, _ := os.ReadFile(dir + "statm")
		var size, resident int
		_, _ = fmt.Sscan(string(text), &size, &resident) // resident stays 0 if the process has exited
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

// removeFile removes a file if it exists.
func removeFile(tb testing.TB, path string) {
	tb.Helper()
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		tb.Fatal(err)
	}
}

// nodeConfig is the configuration of a node. Its fields are JSON unless their comments say otherwise.
type nodeConfig struct {
	listen    string // address; a free port if empty
	discovery string // address
	seed      string // plain text; "1" if empty
	limits    string
	known     string // endpoint list
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

// settings returns the platform's settings with the given mode of load reports. The replacements are pairs of an old
// text and a new one.
func settings(reports string, replacements ...string) string {
	return strings.NewReplacer(append([]string{"REPORTS", reports}, replacements...)...).Replace(transcript.Settings)
}

// knownServers returns an endpoint list with the given entries.
func knownServers(version int, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`, version, strings.Join(entries, ","))
}

func serverEntry(id, addr string) string {
	return fmt.Sprintf(
		`{"id":%q,"addr":%q,"zone":"a","kind":"m","cell":0,"state":"SERVING","weight":1,"started_ms":0}`, id, addr)
}

// send writes to a connection. It ignores errors because the read of the answer then fails as well.
func send(conn net.Conn, format string, args ...any) { _, _ = fmt.Fprintf(conn, format, args...) }

// setReadTimeout limits the time of all later reads. It fails only on a closed connection, where reads fail too.
func setReadTimeout(conn net.Conn, timeout time.Duration) {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
}

// readLine reads the first line from a connection on which only one line arrives.
func readLine(conn net.Conn) (string, error) { return bufio.NewReader(conn).ReadString('\n') }

// closeAtEnd closes a connection, a listener or a file when the test ends.
func closeAtEnd(tb testing.TB, closer interface{ Close() error }) {
	tb.Helper()
	tb.Cleanup(func() { _ = closer.Close() }) // some have already been closed
}

func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		_ = conn.Close() // some have been closed by the other side
	}
}
