package main

import (
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
)

const (
	upgradeCount    = 20
	upgradeInterval = 100 * time.Millisecond
)

// nodeFixture starts processes of a node, with a server that accepts each request, a discovery that never answers and a
// configuration.
type nodeFixture struct {
	program    string
	configPath string
	listen     string
	tmp        string // TMPDIR of the node's processes, which find each other by a socket in it
}

// newNodeFixture returns a fixture for a node with the given limits of cores, memory and descriptors. The objective for
// the latency of messages is 600 s because with a short one the node would migrate a client that doesn't read.
func newNodeFixture(tb testing.TB, limits string) *nodeFixture {
	tb.Helper()
	tmp := tb.TempDir()
	fixture := &nodeFixture{
		program:    build(tb),
		configPath: filepath.Join(tmp, "config.json"),
		listen:     transcript.FreeAddr(tb),
		tmp:        tmp,
	}
	nodeConfig{
		listen:    fixture.listen,
		discovery: (&transcript.Player{}).Listen(tb, "d"),
		limits:    limits,
		known:     knownServers(41, serverEntry("s-1", transcript.EchoServer(tb))),
		settings:  settings("off", `"giveUpS":4`, `"giveUpS":1`, `"messageAimS":[0.06]`, `"messageAimS":[600]`),
	}.write(tb, fixture.configPath)
	return fixture
}

const defaultLimits = `{"cores":1,"memory_mb":128,"sockets":384}`

// start starts a process of the node and waits until it is ready.
func (f *nodeFixture) start(tb testing.TB, tmp string, args ...string) *process {
	tb.Helper()
	env := []string{"GW_CONFIG=" + f.configPath, "GW_MGMT=127.0.0.1:0", "TMPDIR=" + tmp}
	proc := start(tb, f.program, env, args...)
	proc.waitUntilReady(tb)
	return proc
}

// TestUpgrades replaces the process of a node under load again and again, faster than the old processes exit, so that
// up to about five run at once. No new connection may be lost, no open one cut off or told to migrate, no byte of a
// stream lost, repeated or reordered, and each old process must exit by itself.
func TestUpgrades(t *testing.T) {
	fixture := newNodeFixture(t, defaultLimits)
	clients := &transcript.Clients{Addr: fixture.listen}
	current := fixture.start(t, fixture.tmp)
	clients.Start(24)
	streams := &transcript.Streams{Addr: fixture.listen, Server: "s-1"}
	streams.Start(t, 10, transcript.OneByOne)
	streams.Start(t, 6, transcript.ByteByByte)
	streams.Start(t, 4, transcript.Bulk)
	var replaced []*process
	for range upgradeCount {
		next := fixture.start(t, fixture.tmp)
		current.signal(syscall.SIGHUP) // both reload the file, which hasn't changed
		next.signal(syscall.SIGHUP)
		current.signal(syscall.SIGTERM)
		transcript.WaitFor(t, "the replaced process reports that it accepts no clients",
			func() bool { return current.readiness() != http.StatusOK })
		replaced = append(replaced, current)
		current = next
		time.Sleep(upgradeInterval)
	}
	for _, proc := range replaced {
		proc.waitForExit(t)
	}
	clients.Stop()
	clients.Check(t, "20 upgrades")
	streams.Stop(t)
	if moved := clients.Migrated.Load(); moved > 0 {
		t.Errorf("%d connections were told to migrate, want 0 because the successor takes them over", moved)
	}
	_, figures := transcript.AdminRequest(current.adminAddr, "/api/telemetry")
	if !strings.Contains(figures, "gw.reloads_ok:1|c") || !strings.Contains(figures, "gw.reloads_failed:0|c") {
		t.Errorf("reloads while another process runs: got metrics %s, want gw.reloads_ok 1 and gw.reloads_failed 0",
			figures)
	}
}

// failedUpgrade is an upgrade in which a process exits or the processes don't find each other.
type failedUpgrade struct {
	name    string
	prepare func(t *testing.T, old *process) // called before the second process is started; may be nil
	tmp     string                           // TMPDIR of the second process
	// finish returns the process that remains. If finish is nil, the test stops the old process.
	finish func(old, next *process) (remaining *process)
}

// TestFailedUpgrades runs upgrades in which a process exits at a critical moment or the processes don't find each
// other.
func TestFailedUpgrades(t *testing.T) {
	fixture := newNodeFixture(t, defaultLimits)
	tmp := fixture.tmp
	socket := filepath.Join(tmp, "spurwinch-"+strings.ReplaceAll(fixture.listen, ":", "-")+".sock")
	missingDir := filepath.Join(t.TempDir(), "none", "there")
	for _, upgrade := range []failedUpgrade{
		{name: "the new process is killed at once", tmp: tmp, finish: func(old, next *process) *process {
			next.signal(syscall.SIGKILL)
			return old
		}},
		{name: "the old process is found after a new process was killed", tmp: tmp},
		{
			name:    "the old process is stopped before the new one starts",
			prepare: func(_ *testing.T, old *process) { old.signal(syscall.SIGTERM) },
			tmp:     tmp,
			finish:  func(_, next *process) *process { return next },
		},
		{name: "the socket's directory is missing", tmp: missingDir},
		{name: "no TMPDIR", tmp: ""},
		{name: "the socket's path is too long", tmp: tmp + strings.Repeat("/x", 60)},
		{name: "another file exists at the socket's path", tmp: tmp, prepare: func(t *testing.T, _ *process) {
			t.Helper()
			removeFile(t, socket)
			writeFile(t, socket, "no socket")
		}},
	} {
		t.Run(upgrade.name, func(t *testing.T) { upgrade.check(t, fixture) })
	}
	t.Run("the old process is killed", func(t *testing.T) { checkOldKilled(t, fixture) })
}

func (u *failedUpgrade) check(t *testing.T, fixture *nodeFixture) {
	t.Helper()
	const clientCount = 12
	old := fixture.start(t, fixture.tmp)
	clients := &transcript.Clients{Addr: fixture.listen}
	clients.Start(clientCount)
	time.Sleep(100 * time.Millisecond)
	if u.prepare != nil {
		u.prepare(t, old)
	}
	next := fixture.start(t, u.tmp)
	remaining := next
	if u.finish == nil {
		old.signal(syscall.SIGTERM)
	} else {
		remaining = u.finish(old, next)
	}
	time.Sleep(2 * time.Second) // a draining process has migrated all clients after 1.2 s
	clients.Stop()
	nextKilled := remaining == old
	if !nextKilled {
		clients.Check(t, u.name)
	} else if lost := clients.NotAccepted.Load() + clients.Lost.Load(); lost > clientCount ||
		clients.Established.Load() <= clientCount {
		// The connections of the killed process end with it, at most one per client. The old process has all others.
		t.Errorf("%d lost before they were accepted and %d cut off, want 12 at most; %d established, want more than 12",
			clients.NotAccepted.Load(), clients.Lost.Load(), clients.Established.Load())
	}
	remaining.signal(syscall.SIGKILL)
	old.signal(syscall.SIGKILL)
	_ = remaining.wait() // fails because the process was killed
}

// checkOldKilled kills the old process while both run. Its connections end with it, at most one per client. The new
// process accepts the connections that aren't accepted yet.
func checkOldKilled(t *testing.T, fixture *nodeFixture) {
	t.Helper()
	const clientCount = 12
	old := fixture.start(t, fixture.tmp)
	next := fixture.start(t, fixture.tmp)
	clients := &transcript.Clients{Addr: fixture.listen}
	clients.Start(clientCount)
	time.Sleep(300 * time.Millisecond)
	old.signal(syscall.SIGKILL)
	_ = old.wait() // fails because the process was killed
	clients.Stop()
	if clients.NotAccepted.Load()+clients.Lost.Load() > clientCount {
		t.Errorf("%d lost before they were accepted, %d cut off, want at most 12 in total",
			clients.NotAccepted.Load(), clients.Lost.Load())
	}
	laterClients := &transcript.Clients{Addr: fixture.listen}
	laterClients.Start(clientCount)
	time.Sleep(300 * time.Millisecond)
	laterClients.Stop()
	laterClients.Check(t, "after the old process was killed")
	next.signal(syscall.SIGKILL)
}

// BenchmarkUpgrades replaces the process of a node with 300 open connections 20 times and reports how long the round
// trips of the clients' lines took.
//
//	go test -run - -bench Upgrades -benchtime 1x ./cmd/spurwinch
func BenchmarkUpgrades(b *testing.B) {
	for range b.N {
		fixture := newNodeFixture(b, `{"cores":1,"memory_mb":128,"sockets":1024}`)
		current := fixture.start(b, fixture.tmp)
		streams := &transcript.Streams{Addr: fixture.listen, Server: "s-1"}
		streams.Start(b, 300, transcript.OneByOne)
		for range upgradeCount {
			next := fixture.start(b, fixture.tmp)
			began := time.Now()
			current.signal(syscall.SIGTERM)
			_ = current.wait() // the exit status doesn't matter for the measurements
			b.ReportMetric(float64(time.Since(began).Milliseconds()), "ms-leaving")
			current = next
			time.Sleep(upgradeInterval)
		}
		pauses := streams.Stop(b)
		for name, at := range map[string]int{
			"ms-p50":     len(pauses) / 2,
			"ms-p99":     len(pauses) * 99 / 100,
			"ms-highest": len(pauses) - 1,
		} {
			b.ReportMetric(milliseconds(pauses[at]), name)
		}
		current.signal(syscall.SIGKILL)
	}
}

func milliseconds(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

// TestUpgradeInFleet replaces the process of a node in a fleet that keeps its policy in the log. The second process can
// join the fleet only after the first one has left it. It must be ready before that, and accept clients with its own
// lease soon after.
func TestUpgradeInFleet(t *testing.T) {
	fixture := newNodeFixture(t, defaultLimits)
	fixture.program = buildAll(t)
	addr := transcript.FreeAddr(t)
	operatorFile := fleetFiles(t, "[policy]\n", addr, addr)
	startNext := func() *process {
		return fixture.start(t, fixture.tmp, "-operator", operatorFile)
	}
	requests := 0
	served := func() bool {
		requests++
		return isServed(fixture.listen, requests)
	}
	first := startNext()
	transcript.WaitFor(t, "a client is served by the first process", served)
	second := startNext()
	first.signal(syscall.SIGTERM)
	began := time.Now()
	_ = first.wait() // only requests that are served after the exit count
	transcript.WaitFor(t, "a client is served by the second process", served)
	t.Logf("served again %v after SIGTERM to the first process", time.Since(began).Round(10*time.Millisecond))
	if second.readiness() != http.StatusOK {
		t.Error("readiness of the second process: got not ready, want ready")
	}
}

// isServed sends a request and reports whether it is accepted.
func isServed(addr string, number int) bool {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }() // an error doesn't change the result
	setReadTimeout(conn, 2*time.Second)
	send(conn, "OPEN up%d 1 c=chat,d=1000\r\n", number)
	buffer := make([]byte, 64)
	count, _ := conn.Read(buffer) // 0 if there is no answer
	return strings.HasPrefix(string(buffer[:count]), "UP")
}
