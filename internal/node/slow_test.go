package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/config"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/cluster"
	"spurwinch/internal/simwire"
)

// TestSlowReader checks that a client that doesn't read holds its host up in place of filling the node's memory, and
// that nothing is lost once it reads.
func TestSlowReader(t *testing.T) {
	const all = 48 << 20
	h, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	sent := make(chan int, 1)
	go func() {
		c, err := h.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		bufio.NewReader(c).ReadString('\n')
		fmt.Fprint(c, "UP 1\r\n")
		n, _ := c.Write([]byte(strings.Repeat(strings.Repeat("x", 1022)+"\r\n", all/1024)))
		sent <- n
	}()
	n := config.Node{Listen: "127.0.0.1:0", Discovery: "127.0.0.1:9", Seed: 1}
	if n.Settings, err = simwire.DecodeSettings([]byte(strings.Replace(settings, "REPORTS", "off", 1))); err != nil {
		t.Fatal(err)
	}
	if n.Known, err = cluster.Parse([]byte(fmt.Sprintf(`{"version":1,"full":true,"servers":[{"id":"s","addr":%q,"state":"SERVING"}]}`, h.Addr()))); err != nil {
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
	fmt.Fprint(c, "OPEN 01 01 c=chat,d=2000\r\n")
	r := bufio.NewReader(c)
	if up, err := r.ReadString('\n'); up != "UP 1\r\n" {
		t.Fatal(up, err)
	}
	time.Sleep(500 * time.Millisecond)
	select {
	case n := <-sent:
		t.Fatalf("the host could send all of %d bytes to a client that doesn't read", n)
	default:
	}
	got, err := io.Copy(io.Discard, r)
	if got != all || err != nil {
		t.Errorf("%d bytes of %d came: %v", got, all, err)
	}
	if n := <-sent; n != all {
		t.Errorf("%d bytes sent", n)
	}
}
