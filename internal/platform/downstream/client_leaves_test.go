package downstream

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// departed is how long after a client's end an attempt may still begin.
const departed = 100 * time.Millisecond

// heardLine is a line that a stand-in host has read.
type heardLine struct {
	host dialled
	text string
}

// listen reads all that hosts get, on all their connections.
func (x *crossing) listen() chan heardLine {
	lines := make(chan heardLine, 64)
	go func() {
		for host := range x.taken {
			x.t.Cleanup(func() { host.Close() })
			go func() {
				for in := bufio.NewScanner(host); in.Scan(); {
					lines <- heardLine{host, in.Text()}
				}
			}()
		}
	}()
	return lines
}

// waitFor is the next line that begins with a word.
func (x *crossing) waitFor(lines chan heardLine, word string) heardLine {
	x.t.Helper()
	for end := time.After(20 * time.Second); ; {
		select {
		case l := <-lines:
			if strings.HasPrefix(l.text, word) {
				return l
			}
		case <-end:
			x.t.Fatalf("no host gets %s", word)
		}
	}
}

// leave has a client go in one of the ways there are: its end lies in the node's socket when leave returns.
func (x *crossing) leave(c net.Conn, how string) {
	switch how {
	case "half":
		c.(*net.TCPConn).CloseWrite()
		x.lies(c)
		return
	case "reset":
		c.(*net.TCPConn).SetLinger(0)
	}
	c.Close()
	time.Sleep(time.Millisecond) // closed on loopback: in the socket before this returns
}

// noneBegins holds that no host gets a request later than the term allows after the client has gone, and that nothing of it is left.
func (x *crossing) noneBegins(lines chan heardLine, what string) {
	x.t.Helper()
	gone := time.Now()
	for end := time.After(700 * time.Millisecond); ; {
		select {
		case l := <-lines:
			if strings.HasPrefix(l.text, "OPEN") {
				x.t.Errorf("%s: an attempt begins %v after the client has gone (%v are allowed)", what, time.Since(gone), departed)
			}
			continue
		case <-end:
		}
		break
	}
	x.on(func() {
		if n := x.core.InFlight(); n != 0 {
			x.t.Errorf("%s: %d requests held", what, n)
		}
	})
}

// waits are the places in which a request waits before an attempt of it begins: each brings a request there, and returns what ends
// the wait. It runs on the loop, so that the client's end and what it brings lie ready in one poll.
var waits = []struct {
	name   string
	change []string // of the settings
	open   string
	until  func(x *crossing, lines chan heardLine) (ends func())
}{
	{"a probe's answer", []string{"REPORTS", "on_probe"}, opening, func(x *crossing, lines chan heardLine) func() {
		a, b := x.waitFor(lines, "STATS"), x.waitFor(lines, "STATS")
		return func() {
			for _, l := range []heardLine{a, b} {
				fmt.Fprint(l.host, "PONG utilization=0.1\r\n")
				x.lies(l.host.Conn)
			}
		}
	}},
	{"a probe without an answer", []string{"REPORTS", "on_probe"}, opening, func(x *crossing, lines chan heardLine) func() {
		x.waitFor(lines, "STATS")
		x.waitFor(lines, "STATS")
		return func() { time.Sleep(250 * time.Millisecond) } // the loop stands: the time set for it is over, and its timer late
	}},
	{"a retry after a refusal", nil, opening, func(x *crossing, lines chan heardLine) func() {
		l := x.waitFor(lines, "OPEN")
		return func() {
			fmt.Fprint(l.host, "BUSY\r\n")
			x.lies(l.host.Conn)
		}
	}},
	{"a retry after a reset", nil, opening, func(x *crossing, lines chan heardLine) func() {
		l := x.waitFor(lines, "OPEN")
		return func() {
			l.host.Conn.(*net.TCPConn).SetLinger(0)
			l.host.Close()
			time.Sleep(time.Millisecond)
		}
	}},
	{"a retry after the time of an attempt", nil, "OPEN 01 01 c=chat,d=4000", func(x *crossing, lines chan heardLine) func() {
		x.waitFor(lines, "OPEN")
		return func() { time.Sleep(2500 * time.Millisecond) } // the loop stands past the attempt's time
	}},
	{"the host of a standing connection", nil, "OPEN 01 01 c=chat,d=39000,at=h0", func(x *crossing, lines chan heardLine) func() {
		l := x.waitFor(lines, "OPEN")
		fmt.Fprint(l.host, "BUSY\r\n") // it is tried again after a pause
		return func() { time.Sleep(400 * time.Millisecond) }
	}},
}

// TestWaitsEndInAnAttempt has the client stay: each wait ends in an attempt, so that the tests below show what the leaving does.
func TestWaitsEndInAnAttempt(t *testing.T) {
	for _, w := range waits {
		t.Run(w.name, func(t *testing.T) {
			t.Parallel()
			x := newCrossing(t, 2, w.change...)
			lines := x.listen()
			c, _ := x.client()
			fmt.Fprint(c, w.open+"\r\n")
			x.on(w.until(x, lines))
			x.waitFor(lines, "OPEN")
		})
	}
}

// TestClientLeavesWhileItWaits has a client leave in each place where its request waits, in each way, while what ends the wait lies
// ready in the same poll, named before the client's end: no attempt begins.
func TestClientLeavesWhileItWaits(t *testing.T) {
	for _, w := range waits {
		for _, how := range []string{"end", "half", "reset"} {
			t.Run(w.name+", "+how, func(t *testing.T) {
				t.Parallel()
				x := newCrossing(t, 2, w.change...)
				lines := x.listen()
				c, s := x.client()
				fmt.Fprint(c, w.open+"\r\n")
				ends := w.until(x, lines)
				x.on(func() {
					if x.core.InFlight() != 1 {
						t.Errorf("the crossing did not take place: %d held", x.core.InFlight())
					}
					s.conn.Pause() // so that the poll names what ends the wait first
					defer s.conn.Resume()
					ends()
					x.leave(c, how)
				})
				x.noneBegins(lines, w.name)
			})
		}
	}
}

// TestClientLeavesBeforeTheWaitEnds has the client leave and the wait end some time later, each in a poll of its own.
func TestClientLeavesBeforeTheWaitEnds(t *testing.T) {
	for _, w := range waits {
		t.Run(w.name, func(t *testing.T) {
			t.Parallel()
			x := newCrossing(t, 2, w.change...)
			lines := x.listen()
			c, _ := x.client()
			fmt.Fprint(c, w.open+"\r\n")
			ends := w.until(x, lines)
			x.leave(c, "end")
			time.Sleep(10 * time.Millisecond)
			x.on(ends)
			x.noneBegins(lines, w.name)
		})
	}
}

// TestClientLeavesBeforeItIsAccepted has a client come, open and leave while the node gets no share of a core: it finds all of it at once.
func TestClientLeavesBeforeItIsAccepted(t *testing.T) {
	for _, how := range []string{"end", "half", "reset"} {
		for _, reports := range []string{"off", "on_probe"} {
			t.Run(how+", reports "+reports, func(t *testing.T) {
				t.Parallel()
				x := newCrossing(t, 2, "REPORTS", reports)
				lines := x.listen()
				x.on(func() {
					c, err := net.Dial("tcp", x.addr)
					if err != nil {
						t.Error(err)
						return
					}
					t.Cleanup(func() { c.Close() })
					fmt.Fprint(c, opening+"\r\n")
					x.lies(c)
					x.leave(c, how)
				})
				x.noneBegins(lines, how)
			})
		}
	}
}

// TestClientLeavesWhileAPeerIsAsked has a client leave while another node is asked whether a host bears it: its yes, or its silence,
// begins nothing. Without the leaving the same yes does.
func TestClientLeavesWhileAPeerIsAsked(t *testing.T) {
	const nodes = 400
	const yes = 1<<4 | 4 // the messages' version, and the answer's kind
	for _, c := range []struct {
		name           string
		leaves, answer bool
	}{{"stays, and is answered", false, true}, {"leaves, and is answered", true, true}, {"leaves, and is not answered", true, false}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := newCrossing(t, 2, `"groupSize":1`, fmt.Sprintf(`"groupSize":%d`, nodes), `"mayTell":false`, `"mayTell":true`, "REPORTS", "on_probe")
			lines := x.listen()
			client, s := x.client()
			fmt.Fprint(client, opening+"\r\n")
			question := <-x.told
			x.on(func() {
				if x.core.InFlight() != 1 {
					t.Errorf("the crossing did not take place: %d held", x.core.InFlight())
				}
				s.conn.Pause()
				defer s.conn.Resume()
				if c.leaves {
					x.leave(client, "end")
				}
				if c.answer {
					x.core.ReceivePeerMessage(question.to, []byte{yes, question.bytes[1], question.bytes[2], 1, 0})
				} else {
					time.Sleep(200 * time.Millisecond) // the loop stands: the answer's time is over
				}
			})
			if c.leaves {
				x.noneBegins(lines, c.name)
			} else {
				x.waitFor(lines, "OPEN")
			}
		})
	}
}
