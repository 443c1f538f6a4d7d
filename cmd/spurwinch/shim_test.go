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

// shimmedProcess is a running program under a preloaded library, by which the test makes system calls fail and steps
// the wall clock.
type shimmedProcess struct {
	*process
	*shim.Control
	player     *transcript.Player
	configPath string
}

// startShimmed starts the program with a server h1 and discovery d. It calls each function of prepare before the start,
// to set up failures.
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
	server := player.Listen(t, "h1")
	configPath := filepath.Join(dir, "config.json")
	nodeConfig{
		discovery: player.Listen(t, "d"),
		limits:    `{"cores":1,"memory_mb":192,"sockets":1024}`,
		known:     knownServers(41, serverEntry("s-1", server)),
		settings:  settings("off", `"mayProbe":true`, `"mayProbe":false`),
	}.write(t, configPath)
	env := append(control.Environment(library), "GW_CONFIG="+configPath)
	proc := start(t, program, env)
	player.Address = proc.addr
	return &shimmedProcess{process: proc, Control: control, player: player, configPath: configPath}
}

// TestSignalAfterInterruptedWake makes the write fail that wakes the loop for a SIGHUP. The loop must still handle the
// next signal, which starts the planned stop.
func TestSignalAfterInterruptedWake(t *testing.T) {
	proc := startShimmed(t)
	proc.player.Callbacks = map[string]func(){
		"interrupt": func() {
			proc.Fail(shim.Write, 1)
			proc.signal(syscall.SIGHUP)
			transcript.WaitFor(t, "a wake-up write fails", func() bool { return proc.Injected(shim.Write) > 0 })
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

// TestTemporaryDescriptorShortage leaves a process without any descriptors while it starts or reloads its
// configuration. The process must complete the start or the reload once descriptors are available again.
func TestTemporaryDescriptorShortage(t *testing.T) {
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
		t.Error("Injected: got no failed open, want at least one before the configuration is read")
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
		transcript.WaitFor(t, "an open of the configuration fails", func() bool { return proc.Injected(shim.Open) > 0 })
		proc.Heal()
	}}
	proc.player.Play(t, `d accept d
do reload
e accept next
e < GET /v1/servers HTTP/1.1\r\nHost: {*}\r\nAccept: application/json\r\n
`)
}
