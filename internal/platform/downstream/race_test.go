package downstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/upstream"
	"spurwinch/internal/simwire"
)

// crossing is a front with its core on a loop that the test stops, so that what it puts into sockets meanwhile lies ready in one
// poll. A crossing that did not take place fails the test.
type crossing struct {
	t        *testing.T
	l        *loop.Loop
	core     *edge.Core
	front    *Front
	addr     string
	sessions chan *session
	taken    chan dialled
	told     chan message
}

// message is one that the node sends to another.
type message struct {
	to    int
	bytes []byte
}

// dialled is a connection that a host has accepted.
type dialled struct {
	at string
	net.Conn
}

func newCrossing(t *testing.T, hosts int, change ...string) *crossing {
	return newCrossingOn(t, loop.Linux{}, hosts, change...)
}

func newCrossingOn(t *testing.T, kernel loop.Kernel, hosts int, change ...string) *crossing {
	l, err := loop.NewOn(kernel)
	if err != nil {
		t.Fatal(err)
	}
	x := &crossing{t: t, l: l, sessions: make(chan *session, 8), taken: make(chan dialled, 8), told: make(chan message, 64)}
	s, err := simwire.DecodeSettings([]byte(strings.NewReplacer(append(change, "REPORTS", "off")...).Replace(transcript.Settings)))
	if err != nil {
		t.Fatal(err)
	}
	s.DelaysObserved = false
	up := upstream.New(l, s.ReportFields)
	if x.core, err = edge.New(edge.Options{Clock: l, Settings: s.Settings, Seed: 1, HealthChecker: up,
		SendPeerMessage: func(to int, m []byte) { x.told <- message{to, m} }}); err != nil {
		t.Fatal(err)
	}
	x.front = New(Options{Loop: l, Core: x.core, Upstream: up, MostOpen: 100})
	x.front.Adapt(s.ClassByName, s.TenantByName, s.Classes)
	at, err := l.Listen("127.0.0.1:0", func(c *loop.Conn) loop.Handler {
		h := x.front.Accept(c)
		x.sessions <- h.(*session)
		return h
	})
	if err != nil {
		t.Fatal(err)
	}
	x.addr = at.Addr.String()
	var known []edge.ServerEntry
	for i := range hosts {
		h, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { h.Close() })
		id := fmt.Sprint("h", i)
		go func() {
			for c, err := h.Accept(); err == nil; c, err = h.Accept() {
				c.SetDeadline(time.Now().Add(20 * time.Second))
				x.taken <- dialled{id, c}
			}
		}()
		known = append(known, edge.ServerEntry{Addr: h.Addr().String(), Server: choice.Server{ID: choice.ServerID(id), Size: 1}})
	}
	l.After(x.core.Flush)
	x.core.Start(known)
	done := make(chan struct{})
	go func() {
		l.Run()
		close(done)
	}()
	t.Cleanup(func() {
		l.Post(l.Stop)
		<-done
		l.Close()
	})
	return x
}

// on runs fn on the loop, which hears of nothing meanwhile.
func (x *crossing) on(fn func()) {
	done := make(chan bool)
	x.l.Post(func() { fn(); close(done) })
	<-done
}

func (x *crossing) client() (net.Conn, *session) {
	c, err := net.Dial("tcp", x.addr)
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c, <-x.sessions
}

// lies waits until all that c has sent lies in the other side's socket, its end too where it ended.
func (x *crossing) lies(c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	there := false
	for end := time.Now().Add(20 * time.Second); err == nil && !there && time.Now().Before(end); time.Sleep(50 * time.Microsecond) {
		raw.Control(func(fd uintptr) {
			n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
			there = err == nil && n == 0
		})
	}
	if !there {
		x.t.Error("the crossing did not take place: bytes are on their way")
	}
}

// opens has the front read the client's line and dial: the connection is up, and the loop doesn't know it yet.
func (x *crossing) opens(c net.Conn, s *session, say string) (host dialled) {
	fmt.Fprint(c, say+"\r\n")
	x.lies(c)
	s.conn.ReadAvailable()
	x.core.Flush()
	return x.accept()
}

// atDial runs fn on the loop when the session has dialled its next host, before the loop knows that the connection is up.
func (x *crossing) atDial(s *session, fn func()) {
	x.on(func() {
		last := s.server
		x.l.After(func() {
			if s.server != last {
				last = s.server
				fn()
			}
		})
	})
}

func (x *crossing) accept() (host dialled) {
	select {
	case host = <-x.taken:
		x.t.Cleanup(func() { host.Close() })
	case <-time.After(20 * time.Second):
		x.t.Error("no host is dialled")
		x.t.FailNow()
	}
	return host
}

// nothing holds that the host gets an end and no byte.
func (x *crossing) nothing(host net.Conn) {
	x.t.Helper()
	if b, err := io.ReadAll(host); len(b) > 0 || err != nil {
		x.t.Errorf("the host got %q, %v", b, err)
	}
}

func (x *crossing) gets(c net.Conn, want string) {
	x.t.Helper()
	if l, err := bufio.NewReader(c).ReadString('\n'); !strings.HasPrefix(l, want) {
		x.t.Errorf("came %q, %v: want %s", l, err, want)
	}
}

const opening = "OPEN 01 01 c=chat,d=2000"

// TestLineAtTheEndOfItsTime has a client's line arrive in the moment in which its time is up: it is read, and served.
func TestLineAtTheEndOfItsTime(t *testing.T) {
	for _, first := range []string{"", "PING\r\n"} {
		x := newCrossing(t, 1)
		x.on(x.front.Ready)
		c, s := x.client()
		if first != "" {
			fmt.Fprint(c, first)
			x.gets(c, "PONG")
		}
		x.on(func() {
			fmt.Fprint(c, opening+"\r\n")
			x.lies(c)
			s.onFirstLineTimeout()
		})
		fmt.Fprint(x.accept(), "UP 1\r\n")
		x.gets(c, "UP 1")
	}
}

// TestClientLeavesAtTheDial has a client's end and the host's connection come up in one poll: nothing is written.
func TestClientLeavesAtTheDial(t *testing.T) {
	for _, how := range []string{"end", "half", "more"} {
		x := newCrossing(t, 1)
		c, s := x.client()
		var host dialled
		x.on(func() {
			host = x.opens(c, s, opening)
			s.conn.Pause() // so that the poll names the host's connection first
			defer s.conn.Resume()
			switch how {
			case "end":
				c.Close()
				time.Sleep(time.Millisecond) // closed on loopback: in the socket before this returns
			case "half":
				c.(*net.TCPConn).CloseWrite()
				x.lies(c)
			case "more":
				fmt.Fprint(c, "flood")
				x.lies(c)
			}
		})
		x.nothing(host)
		x.on(func() {
			if x.core.InFlight() != 0 || x.core.AttemptsNeverSent() != 1 {
				t.Errorf("%s: %d held, %d spared", how, x.core.InFlight(), x.core.AttemptsNeverSent())
			}
		})
	}
}

// TestDialPastItsTime has a connection come up when the client's time is over, with the timers late: nothing is written,
// and the client has its answer.
func TestDialPastItsTime(t *testing.T) {
	x := newCrossing(t, 1)
	c, s := x.client()
	var host dialled
	x.on(func() {
		host = x.opens(c, s, "OPEN 01 01 c=chat,d=300")
		time.Sleep(350 * time.Millisecond)
	})
	x.nothing(host)
	x.gets(c, "BUSY")
}

// TestHostDrainsAtTheDial has a host begin to drain while a connection to it is being made: nothing is written there,
// whenever it comes up, and another host serves.
func TestHostDrainsAtTheDial(t *testing.T) {
	x := newCrossing(t, 2)
	c, s := x.client()
	var host dialled
	x.on(func() {
		host = x.opens(c, s, opening)
		x.core.UpdateServers(choice.ListChange, []edge.ServerEntry{{Addr: host.LocalAddr().String(),
			Server: choice.Server{ID: choice.ServerID(host.at), Size: 1, State: choice.Draining}}})
	})
	x.nothing(host)
	other := x.accept()
	if other.at == host.at {
		t.Error("the same host again")
	}
	fmt.Fprint(other, "UP 1\r\n")
	x.gets(c, "UP 1")
}

// TestRepeatPastItsWindow has a repeat's connection come up when the hosts no longer know what they served: it is not written.
// In time it is.
func TestRepeatPastItsWindow(t *testing.T) {
	for _, late := range []bool{false, true} {
		window := time.Minute
		if late {
			window = 1500 * time.Millisecond
		}
		x := newCrossing(t, 2, `"safe"`, `"keyed"`, `"dedupWindowS":5`, fmt.Sprintf(`"dedupWindowS":%v`, window.Seconds()))
		c, s := x.client()
		var host dialled
		x.on(func() { host = x.opens(c, s, "OPEN 01 01 c=chat,d=8000") })
		x.gets(host, "OPEN 01 01")
		x.atDial(s, func() {
			if late {
				time.Sleep(window)
			}
		})
		host.Conn.(*net.TCPConn).SetLinger(0)
		host.Close()
		again := x.accept()
		if late {
			x.nothing(again)
			x.gets(c, "BUSY")
			continue
		}
		x.gets(again, "OPEN 01 01")
		fmt.Fprint(again, "UP 1\r\n")
		x.gets(c, "UP 1")
	}
}
