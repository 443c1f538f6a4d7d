package cluster

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
)

// toldAfterOutage is when a change counts as told, from the moment on in which discovery has it and can be reached.
const toldAfterOutage = 6 * time.Second

// outage is a discovery that is down in one way until it comes back, with a change. A call that came before gets nothing from it.
type outage struct {
	t    *testing.T
	how  string
	fd   int
	addr string
	up   atomic.Bool
	came chan time.Time // each call that comes while it is down
	back chan time.Time // when it came back
}

func newOutage(t *testing.T, how string) *outage {
	o := &outage{t: t, how: how, came: make(chan time.Time, 1024), back: make(chan time.Time, 1)}
	var err error
	if o.fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0); err == nil {
		err = unix.Bind(o.fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err != nil {
		t.Fatal(err)
	}
	at, err := unix.Getsockname(o.fd)
	if err != nil {
		t.Fatal(err)
	}
	o.addr = fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
	switch how {
	case "refused":
	case "never up":
		o.fill()
	default:
		o.listen()
	}
	return o
}

// fill has the system leave connections to the address unanswered: those that fill the queue are never accepted.
func (o *outage) fill() {
	if err := unix.Listen(o.fd, 0); err != nil {
		o.t.Fatal(err)
	}
	for {
		c, err := net.DialTimeout("tcp", o.addr, 200*time.Millisecond)
		if err != nil {
			return
		}
		o.t.Cleanup(func() { c.Close() })
	}
}

func (o *outage) listen() {
	if err := unix.Listen(o.fd, 128); err != nil {
		o.t.Error(err)
		return
	}
	f := os.NewFile(uintptr(o.fd), "discovery")
	l, err := net.FileListener(f)
	f.Close()
	if err != nil {
		o.t.Error(err)
		return
	}
	o.t.Cleanup(func() { l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go o.serve(c)
		}
	}()
}

// comesBack has the service be there from now on, with the change.
func (o *outage) comesBack() {
	if o.up.Swap(true) {
		return
	}
	o.back <- time.Now()
	if o.how == "refused" || o.how == "never up" {
		o.listen()
	}
}

func (o *outage) serve(c net.Conn) {
	defer c.Close()
	for in := bufio.NewReader(c); ; {
		call, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if !o.up.Load() {
			o.came <- time.Now()
			if !o.spoil(c) {
				return
			}
			continue
		}
		if strings.Contains(call.URL.String(), "after=42&") {
			in.ReadByte() // nothing newer: the call waits
			return
		}
		list := `{"version":42,"full":false,"servers":[{"id":"s-1","addr":"127.0.0.1:9","zone":"a","kind":"m","cell":0,"state":"DRAINING","weight":1,"started_ms":0}]}`
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	}
}

// spoil is what a call gets while the service is down, and reports whether its connection goes on.
func (o *outage) spoil(c net.Conn) bool {
	switch o.how {
	case "503":
		fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return true
	case "reset":
		c.(*net.TCPConn).SetLinger(0)
	case "never begins":
		c.Read(make([]byte, 1)) // until the node gives it up
	case "never ends", "stops amid":
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{")
		for o.how == "never ends" {
			if _, err := c.Write([]byte(" ")); err != nil {
				return false
			}
			time.Sleep(time.Millisecond)
		}
		c.Read(make([]byte, 1))
	}
	return false
}

// hangs says that a call in an outage of this kind does not fail by itself.
func (o *outage) hangs() bool {
	return strings.HasPrefix(o.how, "never ") && o.how != "never up" || o.how == "stops amid"
}

// TestToldAfterAnOutage has discovery come back, with a change, in the worst moment: right after a call failed, with the longest
// pause ahead, or right after one was begun that never ends. The node has the change within 6 s, though its settings let it go
// without asking for ten minutes. The module that decides when to ask again is the real one.
func TestToldAfterAnOutage(t *testing.T) {
	for _, how := range []string{"refused", "never up", "503", "reset", "ended", "never begins", "never ends", "stops amid"} {
		for _, known := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, list known: %v", how, known), func(t *testing.T) {
				t.Parallel()
				o := newOutage(t, how)
				var list *List
				if known {
					list = &List{Version: 41, Full: true, Servers: []entry{{ID: "s-1", Addr: "127.0.0.1:9", State: "SERVING"}}}
				}
				const failures, hanging = 5, 3 // so many, the pauses are as long as they get
				took := o.play(list, failures, hanging)
				t.Logf("told after %v", took)
				if took > toldAfterOutage {
					t.Errorf("told after %v, and %v counts", took, toldAfterOutage)
				}
			})
		}
	}
}

// TestAnswerThatDoesNotEnd has the first call's answer begin and not end: what it holds counts as told, so it is asked for again
// long before the watch's own time is up.
func TestAnswerThatDoesNotEnd(t *testing.T) {
	for _, how := range []string{"never ends", "stops amid"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			known := &List{Version: 41, Full: true, Servers: []entry{{ID: "s-1", Addr: "127.0.0.1:9", State: "SERVING"}}}
			if took := newOutage(t, how).play(known, 0, 1); took > 2*defaultTiming.bodyTimeout {
				t.Errorf("told after %v", took)
			}
		})
	}
}

// TestSilentAgain guards a service that is behind with its calls: who gave up a call after another asks again after a pause only.
func TestSilentAgain(t *testing.T) {
	var version atomic.Int64
	d := listen(t, &version)
	d.silent.Store(true)
	p := defaultTiming
	p.pollWait, p.pollWaitJitter, p.answerTimeout = 20*time.Millisecond, time.Millisecond, 20*time.Millisecond
	p.recoveryWait, p.recoveryAnswerTimeout = p.pollWait, p.answerTimeout
	follow(t, d.addr, &List{Version: 7}, Way{}, p)
	next(t, d.calls)
	next(t, d.calls)
	second := time.Now()
	next(t, d.calls)
	if after := time.Since(second); after < p.initialBackoff/2 {
		t.Errorf("asked again after %v", after)
	}
}

// TestPausesFitTheTerm holds a call that was begun too early, the longest pause and the call after it to what counts as told.
func TestPausesFitTheTerm(t *testing.T) {
	const spare = time.Second // for the call that brings the news
	for seed := range uint64(50) {
		w := New(nil, "", nil, Way{Grace: 3 * time.Second}, seed, nil)
		w.recovering = true
		for w.failures = 1; w.failures < 100; w.failures++ {
			pause := w.backoff()
			wait, answer := w.pollTimes()
			for _, call := range []time.Duration{connectTimeout, w.listTimeout(), wait + answer} {
				if call+pause+spare > toldAfterOutage {
					t.Fatalf("after %d failures a call of %v and a pause of %v", w.failures, call, pause)
				}
			}
			if least := defaultTiming.initialBackoff / 2; pause < least || w.failures == 1 && pause > defaultTiming.initialBackoff {
				t.Fatalf("after %d failures a pause of %v", w.failures, pause)
			}
		}
	}
}

// play lets so many calls fail, or hang where they do that, has the service come back, and returns how long the news took from there.
func (o *outage) play(known *List, failures, hanging int) time.Duration {
	l, err := loop.New()
	if err != nil {
		o.t.Fatal(err)
	}
	rules := choice.Rules{MaxPollInterval: 10 * time.Minute, DrainGrace: 300 * time.Millisecond}
	var w *Watch
	core, err := edge.New(edge.Options{Clock: l, Seed: 1, WatchList: func() { w.Follow() }, Settings: choice.Settings{Subscribe: true, Rules: rules,
		Classes: []choice.Class{{Name: "chat", Deadline: time.Second, Priority: 1}}, Limits: choice.Limits{MaxAttempts: 4}}})
	if err != nil {
		o.t.Fatal(err)
	}
	told, failed := make(chan time.Time, 16), 0
	w = New(l, o.addr, known, Way{Grace: rules.DrainGrace}, 1, func(k choice.ListKind, hosts []edge.ServerEntry) {
		core.UpdateServers(k, hosts)
		if k != choice.ListUnavailable {
			told <- time.Now()
		} else if failed++; failed == failures {
			o.comesBack()
		}
	})
	if o.hangs() {
		go func() {
			for range hanging {
				<-o.came
			}
			o.comesBack()
		}()
	}
	l.After(core.Flush)
	core.Start(nil)
	done := make(chan struct{})
	go func() {
		l.Run()
		close(done)
	}()
	o.t.Cleanup(func() {
		l.Post(l.Stop)
		<-done
		l.Close()
	})
	back := <-o.back
	select {
	case at := <-told:
		return at.Sub(back)
	case <-time.After(20 * time.Second):
		o.t.Fatal("never told")
	}
	return 0
}
