package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/config"
	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/cluster"
	"spurwinch/internal/simwire"
)

// TestConnectionLimit checks that a node at its limit of descriptors refuses with advice, cuts off what comes beyond,
// and serves again once there is room.
func TestConnectionLimit(t *testing.T) {
	n := config.Node{Listen: "127.0.0.1:0", Discovery: "127.0.0.1:9", Seed: 1, Sockets: reservedDescriptors + 24}
	var err error
	if n.Settings, err = simwire.DecodeSettings([]byte(strings.Replace(settings, "REPORTS", "off", 1))); err != nil {
		t.Fatal(err)
	}
	if n.Known, err = cluster.Parse([]byte(fmt.Sprintf(`{"version":1,"full":true,"servers":[{"id":"s","addr":%q,"state":"SERVING"}]}`, transcript.Host(t)))); err != nil {
		t.Fatal(err)
	}
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	_, at, err := newProgram(l).newPlatform(n, nil)
	if err != nil {
		t.Fatal(err)
	}
	start(t, l)
	next := 0
	open := func() (string, net.Conn) {
		c, err := net.Dial("tcp", at.String())
		if err != nil { // cut off as soon as it was made
			return "", nil
		}
		next++
		fmt.Fprintf(c, "OPEN %d 01 c=chat,d=3000\r\n", next)
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		l, _ := bufio.NewReader(c).ReadString('\n')
		return strings.TrimSpace(l), c
	}
	var held []net.Conn
	seen := map[string]int{}
	for range 60 {
		answer, c := open()
		seen[answer]++
		if c != nil {
			held = append(held, c)
		}
		if answer == "UP 1" && seen["BUSY 1000"]+seen[""] > 0 {
			t.Error("served beyond the limit")
		}
	}
	if seen["UP 1"] < 5 || seen["BUSY 1000"] == 0 || seen["UP 1"]+seen["BUSY 1000"]+seen[""] != 60 {
		t.Errorf("answers %v", seen)
	}
	for _, c := range held {
		c.Close()
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		answer, c := open()
		if c != nil {
			c.Close()
		}
		if answer == "UP 1" {
			return
		}
		if time.Now().After(end) {
			t.Fatal("not served again: ", answer)
		}
	}
}

// TestSilentCrowd checks that clients that say nothing, or said PING once and stay, go one by one when others come: the
// oldest first, with an answer or an end, while each client with a request is served.
func TestSilentCrowd(t *testing.T) {
	p := &transcript.Player{}
	host := p.Listen(t, "h1")
	n := config.Node{Listen: "127.0.0.1:0", Discovery: "127.0.0.1:9", Seed: 1, Sockets: reservedDescriptors + 64, MemoryMB: 32}
	var err error
	if n.Settings, err = simwire.DecodeSettings([]byte(strings.Replace(settings, "REPORTS", "off", 1))); err != nil {
		t.Fatal(err)
	}
	if n.Known, err = cluster.Parse([]byte(fmt.Sprintf(`{"version":1,"full":true,"servers":[{"id":"s","addr":%q,"state":"SERVING"}]}`, host))); err != nil {
		t.Fatal(err)
	}
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	_, at, err := newProgram(l).newPlatform(n, nil)
	if err != nil {
		t.Fatal(err)
	}
	p.Addr = at.String()
	start(t, l)
	crowd := func(say string) (all []net.Conn) {
		for range 150 {
			c, err := net.Dial("tcp", p.Addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			c.Write([]byte(say))
			all = append(all, c)
		}
		return all
	}
	serveOne := func(id string) {
		p.Play(t, strings.ReplaceAll("c open\nc > OPEN ID 01 c=chat,d=4000\ns accept h1\ns < OPEN ID 01 c=chat,d={*}\ns > UP 1\nc < UP 1\n", "ID", id))
	}
	all := crowd("")
	serveOne("01")
	all = append(all, crowd("PING\r\n")...)
	serveOne("02")
	for i, c := range all {
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		got, err := io.ReadAll(c)
		if s := string(got); s != "BUSY\r\n" && s != "ERR\r\n" && s != "PONG\r\n" || err != nil {
			t.Fatalf("connection %d: %q, %v", i, got, err)
		}
	}
}

// TestHugeValue checks that a client gets its error although it sends 60 MB before it reads anything.
func TestHugeValue(t *testing.T) {
	n := config.Node{Listen: "127.0.0.1:0", Discovery: "127.0.0.1:9", Seed: 1}
	var err error
	if n.Settings, err = simwire.DecodeSettings([]byte(strings.Replace(settings, "REPORTS", "off", 1))); err != nil {
		t.Fatal(err)
	}
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	_, at, err := newProgram(l).newPlatform(n, nil)
	if err != nil {
		t.Fatal(err)
	}
	start(t, l)
	c, err := net.Dial("tcp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	piece := []byte(strings.Repeat("x", 1<<20))
	for i := range 60 {
		// Slower than the second that an end once lingered in all.
		if i%20 == 0 {
			time.Sleep(600 * time.Millisecond)
		}
		if _, err := c.Write(piece); err != nil {
			t.Fatalf("after %d MB: %v", i, err)
		}
	}
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	if got, err := io.ReadAll(c); string(got) != "ERR\r\n" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}

// TestSilentCrowdXMPP checks the same of XMPP clients, whose sessions wait for their header.
func TestSilentCrowdXMPP(t *testing.T) {
	p := &transcript.Player{Values: map[string]string{"ns": "xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'"}}
	path := filepath.Join(t.TempDir(), "operator.toml")
	text := fmt.Sprintf("[limits]\nconnections = 64\n[[listener]]\naddr = \"127.0.0.1:0\"\nprotocol = \"xmpp\"\n[[class]]\nname = \"c\"\n"+
		"[[domain]]\nname = \"farm.example\"\ncluster = \"k\"\n[[cluster]]\nname = \"k\"\n[[cluster.host]]\naddr = %q\n", p.Listen(t, "h1"))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	_, op, err := operate(l, path, 1)
	if err != nil {
		t.Fatal(err)
	}
	p.Addr = op.addrs[0].String()
	start(t, l)
	for range 200 {
		c, err := net.Dial("tcp", p.Addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	p.Play(t, `
c open
c >> <stream:stream to='farm.example' version='1.0' {ns}>
s accept h1
s << <stream:stream to='farm.example' version='1.0' {ns}>
`)
}
