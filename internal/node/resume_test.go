package node

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/lab/xmppserver"
	"spurwinch/internal/loop"
)

// village is a node before some stand-in XMPP servers.
type village struct {
	t       testing.TB
	servers []*xmppserver.Server
	file    string
	addr    string
	more    string // further listeners, certificates
	l       *loop.Loop
	op      *operatorFronts
}

func newVillage(t testing.TB, servers int, more string) *village {
	f := &village{t: t, file: filepath.Join(t.TempDir(), "operator.toml"), addr: transcript.FreeAddr(t), more: more}
	for i := range servers {
		s, err := xmppserver.Listen(fmt.Sprint("h", i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		f.servers = append(f.servers, s)
	}
	f.write(-1)
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	if _, f.op, err = operate(l, f.file, 1); err != nil {
		t.Fatal(err)
	}
	f.l = l
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run()
	}()
	t.Cleanup(func() {
		l.Post(l.Stop)
		<-done
	})
	return f
}

// write writes the operator's file, in which one of the servers drains; -1: none.
func (f *village) write(drains int) {
	var b strings.Builder
	fmt.Fprintf(&b, f.more+"[[listener]]\naddr = %q\nprotocol = \"xmpp\"\n[[class]]\nname = \"c\"\n[[domain]]\nname = \"farm.example\"\ncluster = \"k\"\n[[cluster]]\nname = \"k\"\n", f.addr)
	for i, s := range f.servers {
		state := "serving"
		if i == drains {
			state = "draining"
		}
		fmt.Fprintf(&b, "[[cluster.host]]\nid = \"h%d\"\naddr = %q\nstate = %q\n", i, s.Addr, state)
	}
	if err := os.WriteFile(f.file, []byte(b.String()), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// reload reads the file again.
func (f *village) reload() (err error) {
	done := make(chan error)
	f.l.Post(func() {
		take, err := f.op.readFile()
		if err == nil {
			take()
		}
		done <- err
	})
	return <-done
}

// all has so many clients connect at once, each to resume the session of its number, and counts the resumed.
func (f *village) all(ids []string, how xmppserver.How) (clients []*xmppserver.Client, resumed int) {
	clients = make([]*xmppserver.Client, len(ids))
	var wait sync.WaitGroup
	var mu sync.Mutex
	for i, id := range ids {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c, was, err := xmppserver.Connect(f.addr, fmt.Sprint("u", i), id, how, time.Now().Add(20*time.Second))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				f.t.Errorf("client %d: %v", i, err)
				return
			}
			if clients[i] = c; was {
				resumed++
			}
		}()
	}
	wait.Wait()
	return clients, resumed
}

func idsOf(clients []*xmppserver.Client) (ids []string) {
	for _, c := range clients {
		ids = append(ids, c.ID)
	}
	return ids
}

func closeAll(clients []*xmppserver.Client) {
	for _, c := range clients {
		if c != nil {
			c.Conn.Close()
		}
	}
}

// TestResumeWhereTheSessionLives has clients lose their link and come again, over four servers: each finds the one that has
// its session, whichever way it says who it is, also while its old stream still stands. A server that drains, or that has
// forgotten, costs the session and nothing else.
func TestResumeWhereTheSessionLives(t *testing.T) {
	const n = 24
	f := newVillage(t, 4, "")
	for _, how := range []xmppserver.How{xmppserver.Plain, xmppserver.Named, xmppserver.SASL2} {
		first, resumed := f.all(make([]string, n), how)
		if t.Failed() || resumed != 0 {
			t.Fatalf("way %d: %d resumed of none", how, resumed)
		}
		ids := idsOf(first)
		stood, resumed := f.all(ids, how) // the old streams still stand
		if t.Failed() || resumed != n {
			t.Fatalf("way %d: %d of %d resumed beside their old streams", how, resumed, n)
		}
		for i, c := range first {
			if got, err := c.Say("", "</stream:stream>"); err == nil || !strings.Contains(got+err.Error(), "conflict") {
				t.Errorf("way %d: the old stream %d got %q, %v", how, i, got, err)
			}
		}
		for _, c := range stood {
			if _, err := c.Say("<iq type='get' id='p1'><ping xmlns='urn:xmpp:ping'/></iq>", "/>"); err != nil {
				t.Error(err)
			}
		}
		closeAll(first)
		closeAll(stood)
		again, resumed := f.all(ids, how)
		if t.Failed() || resumed != n {
			t.Fatalf("way %d: %d of %d resumed after their streams broke", how, resumed, n)
		}
		closeAll(again)
		f.servers[2].Restart() // it knows nothing any more
		lost := 0
		for _, id := range ids {
			if strings.HasPrefix(id, "h2-") {
				lost++
			}
		}
		f.write(3)
		if err := f.reload(); err != nil {
			t.Fatal(err)
		}
		before := f.servers[3].Count().Streams
		for _, id := range ids {
			if strings.HasPrefix(id, "h3-") {
				lost++
			}
		}
		last, resumed := f.all(ids, how)
		if t.Failed() || resumed != n-lost {
			t.Errorf("way %d: %d resumed of %d whose servers still know them", how, resumed, n-lost)
		}
		if f.servers[3].Count().Streams != before {
			t.Errorf("way %d: streams to a server that drains", how)
		}
		closeAll(last)
		f.write(-1)
		if err := f.reload(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestSeeOtherHost has hosts send sessions on to another one: to that one they go, with the next attempt, where it is in the list; an
// address that is not is never tried.
func TestSeeOtherHost(t *testing.T) {
	const servers = 6
	for to := range servers { // each in turn: one of them is the module's own next choice
		f := newVillage(t, servers, "")
		for i, s := range f.servers {
			if i != to {
				s.SeeOther = f.servers[to].Addr
			}
		}
		clients, _ := f.all([]string{""}, xmppserver.Plain)
		closeAll(clients)
		astray := -f.servers[to].Count().Streams
		for _, s := range f.servers {
			astray += s.Count().Streams
		}
		if f.servers[to].Count().Bound != 1 || astray > 1 {
			t.Errorf("%d attempts elsewhere before the host that was named", astray)
		}
	}
	const n = 16
	f := newVillage(t, 3, "")
	stranger, err := xmppserver.Listen("stranger")
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	for _, s := range f.servers[:2] {
		s.SeeOther = stranger.Addr
	}
	clients, _ := f.all(make([]string, n), xmppserver.Plain)
	closeAll(clients)
	if stranger.Count().Streams != 0 {
		t.Error("a session went to a host that is not in the list")
	}
}
