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

// site is a node's surroundings: a server that accepts all, a discovery that never answers, a configuration.
type site struct {
	program    string
	configPath string
	listen     string
	tmp        string // TMPDIR of the node's processes, where they find each other
}

// newSite sets a site up for a node of at most so many descriptors and MB. Messages may take their time: the module
// would move a client that doesn't read.
func newSite(tb testing.TB, limits string) *site {
	tb.Helper()
	tmp := tb.TempDir()
	surroundings := &site{
		program:    build(tb),
		configPath: filepath.Join(tmp, "config.json"),
		listen:     transcript.FreeAddr(tb),
		tmp:        tmp,
	}
	nodeConfig{
		listen:    surroundings.listen,
		discovery: (&transcript.Player{}).Listen(tb, "d"),
		limits:    limits,
		known:     knownServers(41, serverEntry("s-1", transcript.EchoServer(tb))),
		settings:  settings("off", `"giveUpS":4`, `"giveUpS":1`, `"messageAimS":[0.06]`, `"messageAimS":[600]`),
	}.write(tb, surroundings.configPath)
	return surroundings
}

const usualLimits = `{"cores":1,"memory_mb":128,"sockets":384}`

// start starts a process of the node and waits until it is ready.
func (s *site) start(tb testing.TB, tmp string, args ...string) *process {
	tb.Helper()
	env := []string{"GW_CONFIG=" + s.configPath, "GW_MGMT=127.0.0.1:0", "TMPDIR=" + tmp}
	proc := start(tb, s.program, env, args...)
	proc.waitUntilReady(tb)
	return proc
}

// TestUpgrades has a node under load replaced process by process, faster than the old ones leave, so that up to a
// handful run at once. No new connection is lost, no standing one is cut off or told to move, no byte of a stream is
// lost, repeated or out of place, and each old process ends by itself.
func TestUpgrades(t *testing.T) {
	surroundings := newSite(t, usualLimits)
	clients := &transcript.Clients{Addr: surroundings.listen}
	current := surroundings.start(t, surroundings.tmp)
	clients.Start(24)
	streams := &transcript.Streams{Addr: surroundings.listen, Server: "s-1"}
	streams.Start(t, 10, transcript.OneByOne)
	streams.Start(t, 6, transcript.ByteByByte)
	streams.Start(t, 4, transcript.Bulk)
	var replaced []*process
	for range upgradeCount {
		next := surroundings.start(t, surroundings.tmp)
		current.signal(syscall.SIGHUP) // the file is as it was: both reload it
		next.signal(syscall.SIGHUP)
		current.signal(syscall.SIGTERM)
		transcript.WaitFor(t, "the replaced process says that it accepts nobody",
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
		t.Errorf("%d connections were told to move: they change their process and stay", moved)
	}
	_, figures := transcript.AdminRequest(current.adminAddr, "/api/telemetry")
	if !strings.Contains(figures, "gw.reloads_ok:1|c") || !strings.Contains(figures, "gw.reloads_failed:0|c") {
		t.Errorf("reloads beside another process: %s", figures)
	}
}

// failedUpgrade is an upgrade in which a process ends, or the processes don't find each other.
type failedUpgrade struct {
	name    string
	prepare func(t *testing.T, old *process) // before the second process is started; may be nil
	tmp     string                           // TMPDIR of the second process
	// finish returns the process that stays; nil: the old one is stopped.
	finish func(old, next *process) (stays *process)
}

// TestFailedUpgrades has processes end, or not find each other, at the worst moments.
func TestFailedUpgrades(t *testing.T) {
	surroundings := newSite(t, usualLimits)
	tmp := surroundings.tmp
	socket := filepath.Join(tmp, "spurwinch-"+strings.ReplaceAll(surroundings.listen, ":", "-")+".sock")
	missingDir := filepath.Join(t.TempDir(), "none", "there")
	for _, upgrade := range []failedUpgrade{
		{name: "the new one is killed at once", tmp: tmp, finish: func(old, next *process) *process {
			next.signal(syscall.SIGKILL)
			return old
		}},
		{name: "and the next one finds the old one again", tmp: tmp},
		{
			name:    "the old one is stopped before a new one starts",
			prepare: func(_ *testing.T, old *process) { old.signal(syscall.SIGTERM) },
			tmp:     tmp,
			finish:  func(_, next *process) *process { return next },
		},
		{name: "no place for a socket", tmp: missingDir},
		{name: "no TMPDIR", tmp: ""},
		{name: "a path too long", tmp: tmp + strings.Repeat("/x", 60)},
		{name: "something else stands in its place", tmp: tmp, prepare: func(t *testing.T, _ *process) {
			t.Helper()
			removeFile(t, socket)
			writeFile(t, socket, "no socket")
		}},
	} {
		t.Run(upgrade.name, func(t *testing.T) { upgrade.check(t, surroundings) })
	}
	t.Run("the old one is killed", func(t *testing.T) { checkOldKilled(t, surroundings) })
}

func (u *failedUpgrade) check(t *testing.T, surroundings *site) {
	t.Helper()
	const clientCount = 12
	old := surroundings.start(t, surroundings.tmp)
	clients := &transcript.Clients{Addr: surroundings.listen}
	clients.Start(clientCount)
	time.Sleep(100 * time.Millisecond)
	if u.prepare != nil {
		u.prepare(t, old)
	}
	next := surroundings.start(t, u.tmp)
	stays := next
	if u.finish == nil {
		old.signal(syscall.SIGTERM)
	} else {
		stays = u.finish(old, next)
	}
	time.Sleep(2 * time.Second) // a draining process has moved all by 1.2 s
	clients.Stop()
	nextKilled := stays == old
	if !nextKilled {
		clients.Check(t, u.name)
	} else if lost := clients.NotAccepted.Load() + clients.Lost.Load(); lost > clientCount ||
		clients.Established.Load() <= clientCount {
		// The connections of the killed one end with it, one a client at most; all others are the old one's.
		t.Errorf("%d lost before they were accepted, %d cut off, of %d that stood",
			clients.NotAccepted.Load(), clients.Lost.Load(), clients.Established.Load())
	}
	stays.signal(syscall.SIGKILL)
	old.signal(syscall.SIGKILL)
	_ = stays.wait() // killed
}

// checkOldKilled has the old process killed while both run: its connections end with it, one a client at most; those
// that aren't accepted yet are the new one's.
func checkOldKilled(t *testing.T, surroundings *site) {
	t.Helper()
	const clientCount = 12
	old := surroundings.start(t, surroundings.tmp)
	next := surroundings.start(t, surroundings.tmp)
	clients := &transcript.Clients{Addr: surroundings.listen}
	clients.Start(clientCount)
	time.Sleep(300 * time.Millisecond)
	old.signal(syscall.SIGKILL)
	_ = old.wait() // killed
	clients.Stop()
	if clients.NotAccepted.Load()+clients.Lost.Load() > clientCount {
		t.Errorf("%d lost before they were accepted, %d cut off", clients.NotAccepted.Load(), clients.Lost.Load())
	}
	laterClients := &transcript.Clients{Addr: surroundings.listen}
	laterClients.Start(clientCount)
	time.Sleep(300 * time.Millisecond)
	laterClients.Stop()
	laterClients.Check(t, "after the old one was killed")
	next.signal(syscall.SIGKILL)
}

// BenchmarkUpgrades replaces a node under 300 standing connections process by process, 20 times, and reports how long
// the lines of their clients took: go test -run - -bench Upgrades -benchtime 1x ./cmd/spurwinch
func BenchmarkUpgrades(b *testing.B) {
	for range b.N {
		surroundings := newSite(b, `{"cores":1,"memory_mb":128,"sockets":1024}`)
		current := surroundings.start(b, surroundings.tmp)
		streams := &transcript.Streams{Addr: surroundings.listen, Server: "s-1"}
		streams.Start(b, 300, transcript.OneByOne)
		for range upgradeCount {
			next := surroundings.start(b, surroundings.tmp)
			began := time.Now()
			current.signal(syscall.SIGTERM)
			_ = current.wait() // the lines of the clients are measured
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

// TestUpgradeInFleet has a node whose fleet has its policy on the log replaced by a process beside it, which can join
// the fleet only when the first one leaves: it is ready all the same, and accepts clients by a lease of its own soon
// after.
func TestUpgradeInFleet(t *testing.T) {
	surroundings := newSite(t, usualLimits)
	surroundings.program = buildAll(t)
	addr := transcript.FreeAddr(t)
	operatorFile := fleetFiles(t, "[policy]\n", addr, addr)
	startNext := func() *process {
		return surroundings.start(t, surroundings.tmp, "-operator", operatorFile)
	}
	requests := 0
	served := func() bool {
		requests++
		return isServed(surroundings.listen, requests)
	}
	first := startNext()
	transcript.WaitFor(t, "a client is served by the first process", served)
	second := startNext()
	first.signal(syscall.SIGTERM)
	began := time.Now()
	_ = first.wait() // what is served after it counts
	transcript.WaitFor(t, "a client is served by the second process", served)
	t.Logf("served again %v after the first was told to leave", time.Since(began).Round(10*time.Millisecond))
	if second.readiness() != http.StatusOK {
		t.Error("the second process is not ready")
	}
}

// isServed makes a request and returns whether it is accepted.
func isServed(addr string, number int) bool {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }() // the answer is in
	setReadTimeout(conn, 2*time.Second)
	send(conn, "OPEN up%d 1 c=chat,d=1000\r\n", number)
	buffer := make([]byte, 64)
	count, _ := conn.Read(buffer) // without an answer it is 0
	return strings.HasPrefix(string(buffer[:count]), "UP")
}
