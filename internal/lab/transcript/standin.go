package transcript

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Host is a stand-in host of the platform's protocol: it takes all connections and returns their lines.
func Host(t testing.TB) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				if _, err := in.ReadString('\n'); err == nil {
					fmt.Fprint(c, "UP 1\r\n")
					io.Copy(c, in)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// FreeAddr is an address on loopback where nobody listens.
func FreeAddr(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Call makes one call at an operators' door and returns its answer; status 0: none came.
func Call(door, path string) (status int, body string) {
	c := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + door + path)
	if err != nil {
		return 0, err.Error()
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err.Error()
	}
	return r.StatusCode, string(b)
}

// Until waits for what must come to be.
func Until(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: ", what)
		}
	}
}

// Crowd are clients of one node, over all its processes: each connects, opens, and keeps its connection for a while, with
// a line now and then.
type Crowd struct {
	Addr                string
	Up, Rejected, Moved atomic.Int64
	AtDoor              atomic.Int64 // lost at the door: not let in, closed on or left unread
	Cut                 atomic.Int64 // stood, and ended without MOVE
	next                atomic.Int64
	stop                atomic.Bool
	wait                sync.WaitGroup
}

// Run starts clients, each of which comes again and again until Stop.
func (c *Crowd) Run(clients int) {
	for range clients {
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			for !c.stop.Load() {
				c.One()
			}
		}()
	}
}

// Stop ends the clients and waits for them.
func (c *Crowd) Stop() {
	c.stop.Store(true)
	c.wait.Wait()
}

// One is one client's connection, from its making to its end.
func (c *Crowd) One() {
	conn, err := net.DialTimeout("tcp", c.Addr, patience)
	if err != nil {
		c.AtDoor.Add(1)
		return
	}
	defer conn.Close()
	n := c.next.Add(1)
	open := fmt.Sprintf("OPEN %x %x c=chat,t=acme,d=900\r\n", n, n)
	if n%4 == 0 { // in two pieces
		fmt.Fprint(conn, open[:9])
		time.Sleep(20 * time.Millisecond)
		open = open[9:]
	}
	fmt.Fprint(conn, open)
	in := bufio.NewReader(conn)
	conn.SetReadDeadline(time.Now().Add(patience))
	first, err := in.ReadString('\n')
	switch {
	case err != nil:
		c.AtDoor.Add(1)
		return
	case !strings.HasPrefix(first, "UP"):
		c.Rejected.Add(1)
		return
	}
	c.Up.Add(1)
	for i := int64(0); i < n%40 && !c.stop.Load(); i++ {
		fmt.Fprintf(conn, "line %d\r\n", i)
		switch got, err := in.ReadString('\n'); {
		case err != nil:
			c.Cut.Add(1)
			return
		case got == "MOVE\r\n":
			c.Moved.Add(1)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Check fails a test in which somebody was lost, or nobody stood.
func (c *Crowd) Check(t testing.TB, what string) {
	t.Helper()
	if c.AtDoor.Load() != 0 || c.Cut.Load() != 0 || c.Up.Load() == 0 {
		t.Errorf("%s: %d lost at the door, %d cut off, of %d that stood, %d refused, %d moved", what,
			c.AtDoor.Load(), c.Cut.Load(), c.Up.Load(), c.Rejected.Load(), c.Moved.Load())
	}
}
