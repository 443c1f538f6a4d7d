package node

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/lab/xmppserver"
)

// TestGuard has one address open more than it may: streams, streams that don't authenticate, networks that are kept out; whoever
// is turned away is told at once, who stands stays, and SIGHUP changes the rules or, with a fault in them, nothing.
func TestGuard(t *testing.T) {
	lists := filepath.Join(t.TempDir(), "networks")
	write := func(text string) {
		if err := os.WriteFile(lists, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("192.0.2.0/24\n")
	f := newVillage(t, 1, fmt.Sprintf("[peers]\nstreams = 4\nunauthenticated = 2\ndeny = %q\n", lists))
	connect := func() (*xmppserver.Client, error) {
		c, _, err := xmppserver.Connect(f.addr, "u", "", xmppserver.Plain, time.Now().Add(20*time.Second))
		return c, err
	}
	var stands []*xmppserver.Client
	for range 3 { // each has authenticated when the next one comes
		c, err := connect()
		if err != nil {
			t.Fatal(err)
		}
		stands = append(stands, c)
	}
	silent, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	transcript.Until(t, "the fourth has come", func() bool {
		done := make(chan int)
		f.l.Post(func() { done <- f.op.xmpp.Answers.Sessions })
		return <-done == 4
	})
	if _, err := connect(); err == nil || !strings.Contains(err.Error(), "too many streams") {
		t.Errorf("a fifth stream: %v", err)
	}
	silent.Close()
	stands[0].Conn.Close()
	var again *xmppserver.Client
	transcript.Until(t, "there is room again", func() bool {
		again, err = connect()
		return err == nil
	})
	stands[0] = again
	write("127.0.0.0/8\nnonsense\n")
	if err := f.reload(); err == nil || !strings.Contains(err.Error(), ":2: ") {
		t.Errorf("a list that can't be read: %v", err)
	}
	write("127.0.0.0/8\n")
	if err := f.reload(); err != nil {
		t.Fatal(err)
	}
	if _, err := connect(); err == nil {
		t.Error("a network that is kept out was let in")
	}
	write("")
	f.more = fmt.Sprintf("[peers]\nunauthenticated = 2\ndeny = %q\n", lists)
	f.write(-1)
	if err := f.reload(); err != nil {
		t.Fatal(err)
	}
	var waiting []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", f.addr)
		if err != nil {
			t.Fatal(err)
		}
		waiting = append(waiting, c)
	}
	transcript.Until(t, "those that don't authenticate are too many", func() bool {
		c, err := connect()
		if err == nil {
			c.Conn.Close()
		}
		return err != nil && strings.Contains(err.Error(), "not authenticated")
	})
	for _, c := range waiting {
		c.Close()
	}
	for i, c := range stands {
		if _, err := c.Say("<iq type='get' id='p1'><ping xmlns='urn:xmpp:ping'/></iq>", "/>"); err != nil {
			t.Errorf("stream %d, which stood all the time: %v", i, err)
		}
	}
}
