package handover

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurwinch/internal/exchange"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/cluster"
)

const list = `{"version":7,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"DRAINING"}]}`

func run(t *testing.T) (l *loop.Loop, on func(func())) {
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run()
	}()
	t.Cleanup(func() {
		l.Post(l.Stop)
		<-done
	})
	return l, func(fn func()) {
		ran := make(chan struct{})
		l.Post(func() { fn(); close(ran) })
		<-ran
	}
}

// until waits for what the loop comes to say.
func until(t *testing.T, on func(func()), what string, is func() bool) {
	t.Helper()
	exchange.Until(t, what, func() (ok bool) {
		on(func() { ok = is() })
		return ok
	})
}

// TestTwoProcesses follows two of a node from the hello to the end of each.
func TestTwoProcesses(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:3000")
	hosts, err := cluster.Parse([]byte(list))
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	file, err := socket.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	l, on := run(t)
	var old *Coordinator
	on(func() {
		old = NewCoordinator(Options{Loop: l, Path: path, Changed: func() {}, Grant: func() Grant {
			return Grant{Sockets: map[string]int{"127.0.0.1:3000": int(file.Fd())}, Datagrams: -1, Discovery: "d", List: *hosts, DescriptorQuota: 100}
		}}, nil)
	})
	lent, err := RequestGrant(path, time.Now().Add(20*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if lent.DescriptorQuota != 100 || lent.Discovery != "d" || lent.List.Version != 7 || len(lent.List.Servers) != 1 || lent.Datagrams != -1 {
		t.Errorf("lent %+v", lent)
	}
	if sa, err := unix.Getsockname(lent.Sockets["127.0.0.1:3000"]); err != nil || sa.(*unix.SockaddrInet4).Port != socket.Addr().(*net.TCPAddr).Port {
		t.Error("not the socket that was lent", err)
	}
	l2, on2 := run(t)
	var next *Coordinator
	changes := 0
	on2(func() {
		next = NewCoordinator(Options{Loop: l2, Path: path, Changed: func() { changes++ }, Grant: func() Grant { return Grant{Datagrams: -1, DescriptorQuota: 1} }}, lent)
	})
	on(func() {
		if linked, ready := old.Successor(); !linked || ready || old.GrantedQuota() != 100 {
			t.Errorf("linked %v, ready %v, room %d", linked, ready, old.GrantedQuota())
		}
		old.RaiseQuota(400, 320) // less than it has: nothing
		old.RaiseQuota(400, 250)
	})
	on2(func() { next.Ready() })
	until(t, on, "ready", func() bool { _, ready := old.Successor(); return ready })
	until(t, on2, "more room", func() bool { return next.DescriptorQuota() == 150 })
	// A third one finds the second, and is gone at once.
	third, err := RequestGrant(path, time.Now().Add(20*time.Second))
	if err != nil || third.DescriptorQuota != 1 {
		t.Fatal(err)
	}
	until(t, on2, "a third", func() bool { linked, _ := next.Successor(); return linked })
	unix.Close(third.fd)
	until(t, on2, "its end", func() bool { linked, _ := next.Successor(); return !linked && next.GrantedQuota() == 0 })
	// The second one ends: the first one is found again.
	on2(func() { next.before.conn.Abort(); next.Close() })
	until(t, on, "the end of the second", func() bool { linked, _ := old.Successor(); return !linked && old.GrantedQuota() == 0 })
	if again, err := RequestGrant(path, time.Now().Add(20*time.Second)); err != nil || again.DescriptorQuota != 100 {
		t.Fatal(err)
	}
	// One that leaves is found no more.
	on(func() { old.Close() })
	if _, err := RequestGrant(path, time.Now().Add(20*time.Second)); err == nil {
		t.Error("a process that leaves was found")
	}
}

// TestManyHostsAreLent lends a list of 1,100 hosts with ids as long as they get, and as much as may have been learned of them: both
// come whole. Where both are too much, the list comes.
func TestManyHostsAreLent(t *testing.T) {
	for _, c := range []struct{ hosts, learned, want int }{{1100, mostLearned, mostLearned}, {2500, mostLearned, 0}} {
		path := Path(t.TempDir(), "127.0.0.1:3000")
		var list cluster.List
		for i := range c.hosts {
			one, err := cluster.Parse(fmt.Appendf(nil, `{"servers":[{"id":"%064d","addr":"127.0.0.1:20000","zone":"zone-1","kind":"m2","cell":3,"state":"SERVING","weight":1.5}]}`, i))
			if err != nil {
				t.Fatal(err)
			}
			list.Servers = append(list.Servers, one.Servers...)
		}
		l, on := run(t)
		on(func() {
			NewCoordinator(Options{Loop: l, Path: path, Changed: func() {}, Grant: func() Grant {
				return Grant{Datagrams: -1, Discovery: "d", List: list, DescriptorQuota: 100, Learned: make([]byte, c.learned)}
			}}, nil)
		})
		lent, err := RequestGrant(path, time.Now().Add(20*time.Second))
		if err != nil {
			t.Fatal(err)
		}
		if len(lent.List.Servers) != c.hosts || len(lent.Learned) != c.want {
			t.Errorf("%d hosts and %d bytes learned came of %d and %d", len(lent.List.Servers), len(lent.Learned), c.hosts, c.learned)
		}
	}
}

// TestStrangers has the place taken by whatever may stand there: each is a start like any other, in time.
func TestStrangers(t *testing.T) {
	serve := func(say string, end bool) string {
		path := filepath.Join(t.TempDir(), "s")
		l, err := net.Listen("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			if c, err := l.Accept(); err == nil {
				c.Write([]byte(say))
				if end {
					c.Close()
				}
			}
		}()
		return path
	}
	plain := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(plain, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, path := range map[string]string{
		"nothing":         filepath.Join(t.TempDir(), "none"),
		"a file":          plain,
		"a directory":     t.TempDir(),
		"a path too long": strings.Repeat("x", 200),
		"silence":         serve("", false),
		"half an answer":  serve(`{"kind":"lent","version":1,`, false),
		"and its end":     serve(`{"kind":"lent","version":1,`, true),
		"other version":   serve(`{"kind":"lent","version":2,"room":9}`+"\n", false),
		"names only":      serve(`{"kind":"lent","version":1,"sockets":["a"],"room":9}`+"\n", false),
		"a bad list":      serve(`{"kind":"lent","version":1,"list":{"servers":[{"id":"x","state":"?"}]}}`+"\n", false),
		"no line":         serve(strings.Repeat("x", mostLine+1), false),
	} {
		if _, err := RequestGrant(path, time.Now().Add(300*time.Millisecond)); err == nil {
			t.Errorf("%s was taken for a process of this node", name)
		}
	}
	if Path("", "127.0.0.1:3000") != "" || Path(strings.Repeat("x", 90), "127.0.0.1:3000") != "" || Path("t", "127.0.0.1:0") != "" {
		t.Error("a path where there is no place")
	}
	// And strangers that come to a place: they go, and take nobody's.
	l, on := run(t)
	path := Path(t.TempDir(), "127.0.0.1:3000")
	var p *Coordinator
	on(func() {
		p = NewCoordinator(Options{Loop: l, Path: path, Changed: func() {}, Grant: func() Grant { return Grant{Datagrams: -1, DescriptorQuota: 5} }}, nil)
	})
	for _, say := range []string{"GET / HTTP/1.1\r\n\r\n", `{"kind":"hello","version":9}` + "\n", `{"kind":"ready"}` + "\n",
		`{"kind":"hello","version":1}` + "\n" + `{"kind":"hello","version":1}` + "\n", strings.Repeat("x", mostLater+1), ""} {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		c.Write([]byte(say))
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		for b := make([]byte, 4096); err == nil; {
			_, err = c.Read(b)
		}
		if e, ok := err.(net.Error); ok && e.Timeout() {
			t.Errorf("%.30q is kept", say)
		}
		c.Close()
	}
	until(t, on, "nobody left", func() bool { return len(p.after) == 0 })
}

// FuzzLent has any line for an answer.
func FuzzLent(f *testing.F) {
	f.Add([]byte(`{"kind":"lent","version":1,"sockets":["a","a"],"room":9,"list":`+list+`}`), 2)
	f.Add([]byte(`{"kind":"lent","version":1,"datagrams":true,"room":-9}`), 1)
	f.Fuzz(func(t *testing.T, first []byte, rights int) {
		fds := make([]int, max(0, min(rights, 20)))
		l, err := parseLent(first, fds)
		if err == nil && (l.DescriptorQuota < 0 || len(l.Sockets)+min(1, l.Datagrams+1) != len(fds)) {
			t.Errorf("%+v of %d descriptors", l, len(fds))
		}
	})
}
