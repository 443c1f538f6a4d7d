package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"spurwinch/internal/lab/shim"
	"spurwinch/internal/lab/transcript"
)

// shimmedProcess is a started program whose system calls fail, and whose wall clock is stepped, as the test says.
type shimmedProcess struct {
	*process
	*shim.Control
	player     *transcript.Player
	configPath string
}

// startShimmed starts the program with a host h1 and discovery d. Each prepare sets failures up for the start.
func startShimmed(t *testing.T, prepare ...func(*shim.Control)) *shimmedProcess {
	t.Helper()
	program := buildAsDeployed(t)
	dir := t.TempDir()
	library, err := shim.Build(dir)
	if err != nil {
		t.Fatal(err)
	}
	control, err := shim.NewControl(filepath.Join(dir, "faults"), 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, set := range prepare {
		set(control)
	}
	player := &transcript.Player{Values: map[string]string{}}
	host := player.Listen(t, "h1")
	configPath := filepath.Join(dir, "config.json")
	nodeConfig{
		discovery: player.Listen(t, "d"),
		limits:    `{"cores":1,"memory_mb":192,"sockets":1024}`,
		known:     knownServers(41, serverEntry("s-1", host)),
		settings:  settings("off", `"mayProbe":true`, `"mayProbe":false`),
	}.write(t, configPath)
	env := append(control.Environment(library), "GW_CONFIG="+configPath)
	proc := start(t, program, env)
	player.Address = proc.addr
	return &shimmedProcess{process: proc, Control: control, player: player, configPath: configPath}
}

// TestInterruptedWake has the write that wakes the loop interrupted, for a signal that comes then: the next signal is
// noticed all the same, and so is the planned stop.
func TestInterruptedWake(t *testing.T) {
	proc := startShimmed(t)
	proc.player.Callbacks = map[string]func(){
		"interrupt": func() {
			proc.Fail(shim.Write, 1)
			proc.signal(syscall.SIGHUP)
			transcript.WaitFor(t, "a wake is interrupted", func() bool { return proc.Injected(shim.Write) > 0 })
			proc.Heal()
		},
		"stop": func() { proc.signal(syscall.SIGTERM) },
	}
	proc.player.Play(t, `
c open
d accept d
c > OPEN 01 01 c=chat,d=2000
s accept h1
s < OPEN 01 01 c=chat,d={*}
s > UP 1
c < UP 1
do interrupt
do stop
c < MOVE
c < END
s < END
`)
	proc.waitForExit(t)
}

// TestTemporaryShortage has a process find no descriptors at all, at its start and for a new configuration: it starts,
// and the configuration is in force, once there are some again.
func TestTemporaryShortage(t *testing.T) {
	t.Run("start", testShortageAtStart)
	t.Run("reload", testShortageAtReload)
}

func testShortageAtStart(t *testing.T) {
	proc := startShimmed(t, func(control *shim.Control) {
		for _, kind := range []shim.Kind{shim.Open, shim.Socket, shim.Watch} {
			control.Fail(kind, 1)
		}
		time.AfterFunc(500*time.Millisecond, control.Heal)
	})
	if proc.Injected(shim.Open) == 0 {
		t.Error("no failure was injected: the configuration could be read at once")
	}
	proc.player.Play(t, "c open\nc > PING\nc < PONG\n")
}

func testShortageAtReload(t *testing.T) {
	proc := startShimmed(t)
	next := proc.player.Listen(t, "next")
	proc.player.Callbacks = map[string]func(){"reload": func() {
		text, err := os.ReadFile(proc.configPath)
		if err != nil {
			t.Error(err)
		}
		discovery := proc.player.Listeners["d"].Addr().String()
		moved := strings.Replace(string(text), discovery, next, 1)
		if err := os.WriteFile(proc.configPath, []byte(moved), 0o600); err != nil {
			t.Error(err)
		}
		proc.Fail(shim.Open, 1)
		proc.signal(syscall.SIGHUP)
		transcript.WaitFor(t, "the file can't be opened", func() bool { return proc.Injected(shim.Open) > 0 })
		proc.Heal()
	}}
	proc.player.Play(t, `d accept d
do reload
e accept next
e < GET /v1/servers HTTP/1.1\r\nHost: {*}\r\nAccept: application/json\r\n
`)
}
