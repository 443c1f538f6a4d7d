package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurwinch/internal/lab/transcript"
)

// reportingHost is a stand-in host that answers any number of probes on a connection, and takes each request with its name. It counts
// the connections that it has in held.
func reportingHost(t *testing.T, name string, held *atomic.Int64) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			held.Add(1)
			go func() {
				defer held.Add(-1)
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					switch line, err := in.ReadString('\n'); {
					case err != nil:
						return
					case strings.HasPrefix(line, "OPEN"):
						fmt.Fprintf(c, "UP %s\r\n", name)
						io.Copy(c, in)
						return
					}
					fmt.Fprint(c, "PONG utilization=0\r\n") // all that it has is this node's, which holds none for long
				}
			}()
		}
	}()
	return l.Addr().String()
}

// reserved is an address at which connections are refused until open makes a listener of it.
func reserved(t *testing.T) (addr string, open func() net.Listener) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "discovery")
	t.Cleanup(func() { file.Close() })
	at, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port), func() net.Listener {
		l, err := net.FileListener(file)
		if err == nil {
			err = unix.Listen(fd, 128)
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		return l
	}
}

type listEntry struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	State string `json:"state"`
}

func listOf(version int, entries []listEntry) string {
	b, _ := json.Marshal(map[string]any{"version": version, "full": true, "servers": entries})
	return string(b)
}

// ask opens a connection with a request and returns its answer's words.
func ask(addr string, n int) (answer string, c net.Conn) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err.Error(), nil
	}
	fmt.Fprintf(c, "OPEN %x %x c=chat,d=3000\r\n", n, n)
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return err.Error(), c
	}
	return strings.TrimSpace(line), c
}

// TestCrowdWhileDiscoveryIsDown has idle clients fill the descriptors of a node that the system gives no more than its configuration
// says, while discovery is down and there are nearly as many hosts as descriptors. Who comes with a request is served all the time,
// the one that has been idle longest goes first, and when discovery returns its list is taken and its new host is reached.
func TestCrowdWhileDiscoveryIsDown(t *testing.T) {
	const sockets, count, toldAfter = 160, 150, 6 * time.Second
	bin := build(t)
	var known []listEntry
	var held, heldFresh atomic.Int64
	for i := range count {
		id := fmt.Sprintf("s-%d", i)
		known = append(known, listEntry{id, reportingHost(t, id, &held), "SERVING"})
	}
	discovery, comesBack := reserved(t)
	path := filepath.Join(t.TempDir(), "config.json")
	config := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"1","limits":{"memory_mb":64,"sockets":%d},"known":%s,"settings":%s}`,
		discovery, sockets, listOf(41, known), strings.Replace(transcript.Settings, "REPORTS", "on_probe", 1))
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	run := launch(t, "/bin/sh", []string{"GW_CONFIG=" + path}, "-c", fmt.Sprintf("ulimit -n %d && exec %s", sockets, bin))
	requests := 0
	serve := func(what, by string) {
		t.Helper()
		requests++
		answer, c := ask(run.addr, requests)
		if !strings.HasPrefix(answer, "UP "+by) {
			t.Errorf("%s: request %d got %q", what, requests, answer)
		}
		if c != nil {
			c.Close()
		}
	}
	for range 2 * count { // by and by each host is asked how it is
		serve("alone", "s-")
	}
	crowd := newCrowd(t, run.addr)
	crowd.come(3 * sockets)
	serve("in the crowd", "s-")
	crowd.checkOrder()
	stop := crowd.keepComing()
	for range 20 {
		serve("in the crowd", "s-")
	}
	stop()
	requests = askTogether(t, run.addr, requests, 15)
	stop = crowd.keepComing()
	for range 20 {
		serve("after many at once", "s-")
	}
	list := comesBack()
	back, asked := time.Now(), make(chan time.Time, 1)
	fresh := reportingHost(t, "fresh", &heldFresh)
	go func() {
		var once sync.Once
		answer := listOf(42, []listEntry{{"fresh", fresh, "SERVING"}})
		http.Serve(list, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.Contains(r.URL.RawQuery, "after=42&") {
				once.Do(func() { asked <- time.Now() })
				<-r.Context().Done()
				return
			}
			io.WriteString(w, answer)
		}))
	}()
	select {
	case at := <-asked:
		if took := at.Sub(back); took > toldAfter {
			t.Errorf("the list is taken %v after discovery's return", took)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the list is not asked for")
	}
	for range 20 {
		serve("after the return", "fresh")
	}
	stop()
	transcript.Until(t, "no connection is kept to hosts that the whole list doesn't name", func() bool { return held.Load() == 0 })
}

// askTogether has clients come and then ask all at once: the crowd makes room for each of them and for its host.
func askTogether(t *testing.T, addr string, from, count int) (requests int) {
	var all []net.Conn
	for range count {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		all = append(all, c)
	}
	time.Sleep(50 * time.Millisecond) // accepted, in the place of others
	for i, c := range all {
		fmt.Fprintf(c, "OPEN %x %x c=chat,d=3000\r\n", from+i+1, from+i+1)
	}
	for _, c := range all {
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if line, err := bufio.NewReader(c).ReadString('\n'); !strings.HasPrefix(line, "UP s-") {
			t.Errorf("one of %d requests at once got %q, %v", count, line, err)
		}
	}
	return from + count
}

// crowd are clients that say nothing, in the order in which they came.
type crowd struct {
	t    *testing.T
	addr string
	all  []net.Conn
}

func newCrowd(t *testing.T, addr string) *crowd { return &crowd{t: t, addr: addr} }

func (w *crowd) come(n int) {
	for range n {
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			w.t.Fatal(err)
		}
		w.t.Cleanup(func() { c.Close() })
		w.all = append(w.all, c)
	}
}

// checkOrder holds that those who went, each with its answer, came before all who stay.
func (w *crowd) checkOrder() {
	gone, stays := 0, 0
	for i, c := range w.all {
		c.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
		b, err := io.ReadAll(c)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			stays++
		case string(b) != "BUSY\r\n" || err != nil:
			w.t.Errorf("idle client %d got %q, %v", i, b, err)
		case stays > 0:
			w.t.Errorf("idle client %d went, and %d that came before it stayed", i, stays)
		default:
			gone++
		}
	}
	if gone == 0 || stays == 0 {
		w.t.Errorf("no crossing: of the crowd %d went and %d stayed", gone, stays)
	}
}

// keepComing has further idle clients come until stop.
func (w *crowd) keepComing() (stop func()) {
	end, done := make(chan bool), make(chan bool)
	go func() {
		defer close(done)
		var all []net.Conn
		defer func() {
			for _, c := range all {
				c.Close()
			}
		}()
		for {
			select {
			case <-end:
				return
			case <-time.After(2 * time.Millisecond):
			}
			if c, err := net.Dial("tcp", w.addr); err == nil {
				all = append(all, c)
			}
			if len(all) > 1000 {
				all[0].Close()
				all = all[1:]
			}
		}
	}()
	return func() {
		close(end)
		<-done
	}
}
