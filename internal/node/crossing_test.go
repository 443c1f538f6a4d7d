package node

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
)

// TestXMPPDial has a server's connection come up when the session's time is over, or when the server drains: nothing of what the
// client sent is written there. The loop stands still from the dial on until that is so.
func TestXMPPDial(t *testing.T) {
	for _, how := range []string{"late", "drains"} {
		server, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		path := filepath.Join(t.TempDir(), "operator.toml")
		text := fmt.Sprintf("[[listener]]\naddr = \"127.0.0.1:0\"\nprotocol = \"xmpp\"\n[[class]]\nname = \"c\"\npatience = \"2s\"\n"+
			"[[domain]]\nname = \"farm.example\"\ncluster = \"k\"\n[[cluster]]\nname = \"k\"\n[[cluster.host]]\nid = \"h\"\naddr = %q\n", server.Addr())
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		l, err := loop.New()
		if err != nil {
			t.Fatal(err)
		}
		cores, op, err := operate(l, path, 1)
		if err != nil {
			t.Fatal(err)
		}
		core, dialled := cores[0], false
		l.After(func() {
			if dialled || core.InFlightOn("h") == 0 {
				return
			}
			dialled = true
			if how == "late" {
				time.Sleep(2100 * time.Millisecond)
			} else {
				core.UpdateServers(choice.ListChange, []edge.ServerEntry{{Addr: server.Addr().String(), Server: choice.Server{ID: "h", Size: 1, State: choice.Draining}}})
			}
		})
		start(t, l)
		c, err := net.Dial("tcp", op.addrs[0].String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "<stream:stream to='farm.example' version='1.0' xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'>")
		got := make(chan string, 1)
		go func() {
			s, err := server.Accept()
			if err != nil {
				return
			}
			defer s.Close()
			s.SetDeadline(time.Now().Add(20 * time.Second))
			b, err := io.ReadAll(s)
			got <- fmt.Sprint(string(b), err)
		}()
		c.SetDeadline(time.Now().Add(20 * time.Second))
		answer, err := io.ReadAll(c)
		if !strings.Contains(string(answer), "</stream:error></stream:stream>") || err != nil {
			t.Errorf("%s: the client got %q, %v", how, answer, err)
		}
		if s := <-got; s != "<nil>" {
			t.Errorf("%s: the server got %q", how, s)
		}
	}
}
