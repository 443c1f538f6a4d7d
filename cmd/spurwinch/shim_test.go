package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"spurwinch/internal/lab/shim"
	"spurwinch/internal/lab/transcript"
)

// shimmed is a started program whose system calls fail, and whose wall clock is stepped, as the test says.
type shimmed struct {
	*program
	*shim.Control
	player *transcript.Player
	config string
}

// launchShimmed starts the program with a host h1 and discovery d.
func launchShimmed(t *testing.T, prepare ...func(*shim.Control)) *shimmed {
	bin, dir := buildAsDeployed(t), t.TempDir()
	library, err := shim.Build(dir)
	if err != nil {
		t.Fatal(err)
	}
	s := &shimmed{player: &transcript.Player{Values: map[string]string{}}, config: filepath.Join(dir, "config.json")}
	if s.Control, err = shim.NewControl(filepath.Join(dir, "faults"), 1); err != nil {
		t.Fatal(err)
	}
	for _, fn := range prepare {
		fn(s.Control)
	}
	host, discovery := s.player.Listen(t, "h1"), s.player.Listen(t, "d")
	config := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":1024},
	 "known":{"version":41,"full":true,"servers":[{"id":"s-1","addr":%q,"zone":"a","kind":"m","cell":0,"state":"SERVING","weight":1,"started_ms":0}]},
	 "settings":%s}`, discovery, host, strings.NewReplacer("REPORTS", "off", `"mayProbe":true`, `"mayProbe":false`).Replace(transcript.Settings))
	if err := os.WriteFile(s.config, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	s.program = launch(t, bin, append(s.Environment(library), "GW_CONFIG="+s.config))
	s.player.Addr = s.addr
	return s
}

// TestInterruptedWake has the write that wakes the loop interrupted, for a signal that comes then: the next signal is heard all the same,
// and so is the planned stop.
func TestInterruptedWake(t *testing.T) {
	s := launchShimmed(t)
	s.player.Do = map[string]func(){
		"interrupt": func() {
			s.Fail(shim.Write, 1)
			s.cmd.Process.Signal(syscall.SIGHUP)
			transcript.Until(t, "a wake is interrupted", func() bool { return s.Injected(shim.Write) > 0 })
			s.Heal()
		},
		"stop": func() { s.cmd.Process.Signal(syscall.SIGTERM) },
	}
	s.player.Play(t, `
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
	s.ends(t)
}

// TestScarceForAMoment has a process find no descriptors at all, at its start and for a new configuration: it starts, and the configuration is
// taken, once there are some again.
func TestScarceForAMoment(t *testing.T) {
	t.Run("start", func(t *testing.T) {
		s := launchShimmed(t, func(c *shim.Control) {
			for _, k := range []shim.Kind{shim.Open, shim.Socket, shim.Watch} {
				c.Fail(k, 1)
			}
			time.AfterFunc(500*time.Millisecond, c.Heal)
		})
		if s.Injected(shim.Open) == 0 {
			t.Error("the crossing did not take place: the configuration could be read at once")
		}
		s.player.Play(t, "c open\nc > PING\nc < PONG\n")
	})
	t.Run("reload", func(t *testing.T) {
		s := launchShimmed(t)
		next := s.player.Listen(t, "next")
		s.player.Do = map[string]func(){"reload": func() {
			text, err := os.ReadFile(s.config)
			if err != nil {
				t.Error(err)
			}
			text = []byte(strings.Replace(string(text), s.player.Listeners["d"].Addr().String(), next, 1))
			if err := os.WriteFile(s.config, text, 0o600); err != nil {
				t.Error(err)
			}
			s.Fail(shim.Open, 1)
			s.cmd.Process.Signal(syscall.SIGHUP)
			transcript.Until(t, "the file can't be opened", func() bool { return s.Injected(shim.Open) > 0 })
			s.Heal()
		}}
		s.player.Play(t, "d accept d\ndo reload\ne accept next\ne < GET /v1/servers HTTP/1.1\\r\\nHost: {*}\\r\\nAccept: application/json\\r\\n\n")
	})
}
