package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
)

// site is a node's surroundings: a host that takes all, a discovery that never answers, a configuration.
type site struct {
	bin, config, listen, tmp string
}

// newSite sets a site up. Messages may take their time: the module would move a client that doesn't read.
func newSite(t testing.TB) *site {
	s := &site{bin: build(t), tmp: t.TempDir(), listen: transcript.FreeAddr(t)}
	s.config = filepath.Join(s.tmp, "config.json")
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":128,"sockets":384},
	 "known":{"version":41,"full":true,"servers":[{"id":"s-1","addr":%q,"zone":"a","kind":"m","cell":0,"state":"SERVING","weight":1,"started_ms":0}]},
	 "settings":%s}`, s.listen, (&transcript.Player{}).Listen(t, "d"), transcript.Host(t), strings.NewReplacer("REPORTS", "off", `"giveUpS":4`, `"giveUpS":1`,
		`"messageAimS":[0.06]`, `"messageAimS":[600]`).Replace(transcript.Settings))
	if err := os.WriteFile(s.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return s
}

// start starts a process of the node and waits for its yes.
func (s *site) start(t testing.TB, tmp string) *program {
	p := launch(t, s.bin, []string{"GW_CONFIG=" + s.config, "GW_MGMT=127.0.0.1:0", "TMPDIR=" + tmp})
	transcript.Until(t, "the process is ready", func() bool { return p.status() == http.StatusOK })
	return p
}

// status is the answer to a call for readiness; 0: none came.
func (p *program) status() int {
	status, _ := transcript.Call(p.door, "/api/ready")
	return status
}

func (p *program) signal(s os.Signal) { p.cmd.Process.Signal(s) }

// TestUpgrades has a node under load replaced process by process, faster than the old ones leave, so that up to a handful
// run at once. Nobody is lost at the door, nobody standing is cut off or told to move, no byte of a stream is lost, repeated or
// out of place, and each old process ends by itself.
func TestUpgrades(t *testing.T) {
	s := newSite(t)
	c := &transcript.Crowd{Addr: s.listen}
	now := s.start(t, s.tmp)
	c.Run(24)
	streams := &transcript.Streams{Addr: s.listen, At: "s-1"}
	streams.Run(t, 10, transcript.Steady)
	streams.Run(t, 6, transcript.Pieces)
	streams.Run(t, 4, transcript.Bulk)
	var old []*program
	for range 20 {
		next := s.start(t, s.tmp)
		now.signal(syscall.SIGHUP) // the file is as it was: both take it
		next.signal(syscall.SIGHUP)
		now.signal(syscall.SIGTERM)
		transcript.Until(t, "the one that handed over says that it takes nobody", func() bool { return now.status() != http.StatusOK })
		old, now = append(old, now), next
		time.Sleep(100 * time.Millisecond)
	}
	for i, p := range old {
		select {
		case err := <-p.done:
			if err != nil {
				t.Errorf("process %d ended with %v", i, err)
			}
		case <-time.After(60 * time.Second):
			t.Fatalf("process %d does not end", i)
		}
	}
	c.Stop()
	c.Check(t, "20 upgrades")
	streams.Stop(t)
	if n := c.Moved.Load(); n > 0 {
		t.Errorf("%d connections were told to move: they change their process and stay", n)
	}
	if _, got := transcript.Call(now.door, "/api/telemetry"); !strings.Contains(got, "gw.reloads_ok:1|c") || !strings.Contains(got, "gw.reloads_failed:0|c") {
		t.Errorf("reloads beside another process: %s", got)
	}
}

// holds is what the processes hold together: descriptors and resident memory, MB.
func holds(all ...*program) (descriptors, memory int) {
	for _, p := range all {
		pid := p.cmd.Process.Pid
		fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		descriptors += len(fds)
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
		var size, resident int
		fmt.Sscan(string(raw), &size, &resident)
		memory += resident * os.Getpagesize() >> 20
	}
	return descriptors, memory
}

// TestLessRoom has it all at once, in a node of few descriptors and little memory: a crowd that says nothing or half a line,
// clients that vanish, lines in pieces, connections that stand and fall silent, and an upgrade. Usual clients are served
// throughout, the door answers, and two processes hold no more than the node may.
func TestLessRoom(t *testing.T) {
	const sockets, memory = 192, 64 // the race detector's own memory is in it
	s := newSite(t)
	raw, err := os.ReadFile(s.config)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer(`"sockets":384`, fmt.Sprint(`"sockets":`, sockets), `"memory_mb":128`, fmt.Sprint(`"memory_mb":`, memory)).Replace(string(raw))
	if err := os.WriteFile(s.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	now := s.start(t, s.tmp)
	running := []*program{now}
	var idle []net.Conn
	defer func() {
		for _, c := range idle {
			c.Close()
		}
	}()
	usual := func() (up int) {
		c := &transcript.Crowd{Addr: s.listen}
		for range 10 {
			c.One()
		}
		if c.AtDoor.Load()+c.Cut.Load() != 0 {
			t.Errorf("usual clients: %d lost at the door, %d cut off", c.AtDoor.Load(), c.Cut.Load())
		}
		return int(c.Up.Load())
	}
	for i := range 1500 {
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			continue // more than the node lets in at once
		}
		switch i % 5 {
		case 0:
			fmt.Fprint(c, "OPEN 1")
		case 1:
			fmt.Fprint(c, "PING\r\n")
		case 2: // stands, and says nothing more; one in ten of them
			if i%50 == 2 {
				fmt.Fprintf(c, "OPEN f%x 1 c=chat,d=900\r\n", i)
			}
		case 3: // vanishes
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			continue
		}
		idle = append(idle, c)
		if i%100 == 50 {
			if up := usual(); up < 5 {
				t.Errorf("after %d connections %d of 10 usual clients were served", i, up)
			}
			if d, m := holds(running...); d > sockets || m > memory {
				t.Errorf("after %d connections: %d descriptors, %d MB", i, d, m)
			}
			if code := running[len(running)-1].status(); code != http.StatusOK {
				t.Errorf("after %d connections the door says %d", i, code)
			}
		}
		if i == 700 {
			next := s.start(t, s.tmp)
			running = append(running, next)
			now.signal(syscall.SIGTERM)
		}
	}
	if code := running[0].status(); code == http.StatusOK {
		t.Error("the process that was stopped takes clients")
	}
}

// TestUpgradeGoesWrong has processes end, or not find each other, at the worst moments.
func TestUpgradeGoesWrong(t *testing.T) {
	s := newSite(t)
	place := filepath.Join(s.tmp, "spurwinch-"+strings.ReplaceAll(s.listen, ":", "-")+".sock")
	locked := filepath.Join(t.TempDir(), "none", "there")
	for _, step := range []struct {
		name   string
		before func(old *program) // a second process is started
		tmp    string
		after  func(old, next *program) (stays *program) // nil: the old one is stopped
	}{
		{"the new one is killed at once", nil, s.tmp, func(old, next *program) *program {
			next.signal(syscall.SIGKILL)
			return old
		}},
		{"and the next one finds the old one again", nil, s.tmp, nil},
		{"the old one is stopped before a new one starts", func(old *program) { old.signal(syscall.SIGTERM) }, s.tmp,
			func(_, next *program) *program { return next }},
		{"no place for a socket", nil, locked, nil},
		{"no TMPDIR", nil, "", nil},
		{"a path too long", nil, s.tmp + strings.Repeat("/x", 60), nil},
		{"something else stands in its place", func(*program) {
			os.Remove(place)
			os.WriteFile(place, []byte("no socket"), 0o600)
		}, s.tmp, nil},
	} {
		t.Run(step.name, func(t *testing.T) {
			old := s.start(t, s.tmp)
			c := &transcript.Crowd{Addr: s.listen}
			c.Run(12)
			time.Sleep(100 * time.Millisecond)
			if step.before != nil {
				step.before(old)
			}
			next := s.start(t, step.tmp)
			stays := next
			if step.after == nil {
				old.signal(syscall.SIGTERM)
			} else {
				stays = step.after(old, next)
			}
			time.Sleep(2 * time.Second) // a leaving process has moved all by 1.2 s
			c.Stop()
			if killed := stays == old; !killed {
				c.Check(t, step.name)
			} else if c.AtDoor.Load()+c.Cut.Load() > 12 || c.Up.Load() <= 12 {
				// What the killed one had taken ends with it, one connection a client at most; all else is the other's.
				t.Errorf("%d lost at the door, %d cut off, of %d that stood", c.AtDoor.Load(), c.Cut.Load(), c.Up.Load())
			}
			stays.signal(syscall.SIGKILL)
			old.signal(syscall.SIGKILL)
			<-stays.done
		})
	}
	t.Run("the old one is killed", func(t *testing.T) {
		old := s.start(t, s.tmp)
		next := s.start(t, s.tmp)
		c := &transcript.Crowd{Addr: s.listen}
		c.Run(12)
		time.Sleep(300 * time.Millisecond)
		old.signal(syscall.SIGKILL)
		<-old.done
		c.Stop()
		// What it held ends with it, one connection a client at most; what waits at the door is the other's.
		if c.AtDoor.Load()+c.Cut.Load() > 12 {
			t.Errorf("%d lost at the door, %d cut off", c.AtDoor.Load(), c.Cut.Load())
		}
		rest := &transcript.Crowd{Addr: s.listen}
		rest.Run(12)
		time.Sleep(300 * time.Millisecond)
		rest.Stop()
		rest.Check(t, "after the old one was killed")
		next.signal(syscall.SIGKILL)
	})
}

// BenchmarkUpgrades replaces a node under 300 standing connections process by process, 20 times, and tells how long the
// lines of their clients took: go test -run - -bench Upgrades -benchtime 1x ./cmd/spurwinch
func BenchmarkUpgrades(b *testing.B) {
	for range b.N {
		s := newSite(b)
		raw, err := os.ReadFile(s.config)
		if err != nil {
			b.Fatal(err)
		}
		os.WriteFile(s.config, []byte(strings.Replace(string(raw), `"sockets":384`, `"sockets":1024`, 1)), 0o600)
		now := s.start(b, s.tmp)
		streams := &transcript.Streams{Addr: s.listen, At: "s-1"}
		streams.Run(b, 300, transcript.Steady)
		for range 20 {
			next := s.start(b, s.tmp)
			began := time.Now()
			now.signal(syscall.SIGTERM)
			<-now.done
			b.ReportMetric(float64(time.Since(began).Milliseconds()), "ms-leaving")
			now = next
			time.Sleep(100 * time.Millisecond)
		}
		pauses := streams.Stop(b)
		for name, at := range map[string]int{"ms-p50": len(pauses) / 2, "ms-p99": len(pauses) * 99 / 100, "ms-highest": len(pauses) - 1} {
			b.ReportMetric(float64(pauses[at].Microseconds())/1000, name)
		}
		now.signal(syscall.SIGKILL)
	}
}

// TestUpgradeInAFleet has a node whose fleet has its policy on the log replaced by a process beside it, which can join the fleet only when the first
// one leaves: it says that it is ready all the same, and takes clients by a lease of its own soon after.
func TestUpgradeInAFleet(t *testing.T) {
	s := newSite(t)
	s.bin = programs(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		writeFile(t, path, text)
		return path
	}
	at := transcript.FreeAddr(t)
	nodes := write("nodes.toml", fmt.Sprintf("[policy]\n[[node]]\nname = \"a\"\naddr = %q\nzone = \"a\"\nvoter = true\n", at))
	op := write("op.toml", fmt.Sprintf("[fleet]\nself = \"a\"\nlisten = %q\nnodes = %q\nkey_file = %q\ndir = %q\n", at, nodes, write("key", strings.Repeat("k", 32)),
		filepath.Join(dir, "files")))
	start := func() *program {
		p := launch(t, s.bin, []string{"GW_CONFIG=" + s.config, "GW_MGMT=127.0.0.1:0", "TMPDIR=" + s.tmp}, "-operator", op)
		transcript.Until(t, "the process is ready", func() bool { return p.status() == http.StatusOK })
		return p
	}
	n := 0
	up := func() bool {
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			return false
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(2 * time.Second))
		n++
		fmt.Fprintf(c, "OPEN up%d 1 c=chat,d=1000\r\n", n)
		b := make([]byte, 64)
		k, _ := c.Read(b)
		return strings.HasPrefix(string(b[:k]), "UP")
	}
	first := start()
	transcript.Until(t, "a client is served by the first process", up)
	second := start()
	first.signal(syscall.SIGTERM)
	began := time.Now()
	<-first.done
	transcript.Until(t, "a client is served by the second process", up)
	t.Logf("served again %v after the first was told to leave", time.Since(began).Round(10*time.Millisecond))
	if second.status() != http.StatusOK {
		t.Error("the second process is not ready")
	}
}
