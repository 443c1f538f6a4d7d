package node

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
)

// TestClients has unmodified client libraries connect through the node, authenticate, bind, be answered, lose the link and resume, over
// STARTTLS, direct TLS and WebSocket. It needs node and the packages in testdata/clients, so it is left out of the usual run:
// (cd internal/node/testdata/clients && npm install) && XMPP_CLIENTS=1 go test -run TestClients -v ./internal/node
func TestClients(t *testing.T) {
	if os.Getenv("XMPP_CLIENTS") == "" {
		t.Skip("XMPP_CLIENTS is not set")
	}
	cert, key := transcript.Keys(t, t.TempDir(), time.Now().Add(time.Hour*24*90), "farm.example")
	type listener struct{ name, scheme, protocol, tls string }
	listeners := []listener{
		{"STARTTLS", "xmpp", "xmpp", "starttls"}, {"direct TLS", "xmpps", "xmpp", "direct"},
		{"WebSocket", "ws", "xmpp-websocket", ""}, {"WebSocket over TLS", "wss", "xmpp-websocket", "direct"}}
	more := fmt.Sprintf("[[certificate]]\ncert = %q\nkey = %q\n", cert, key)
	var services []string
	for _, l := range listeners {
		addr := transcript.FreeAddr(t)
		more += fmt.Sprintf("[[listener]]\naddr = %q\nprotocol = %q\ntls = %q\n", addr, l.protocol, l.tls)
		services = append(services, l.scheme+"://"+addr)
	}
	f := newVillage(t, 4, more)
	for i, run := range []struct{ script, listener string }{{"client.mjs", "STARTTLS"}, {"client.mjs", "direct TLS"}, {"client.mjs", "WebSocket"},
		{"client.mjs", "WebSocket over TLS"}, {"stanza.mjs", "WebSocket"}, {"stanza.mjs", "WebSocket over TLS"}} {
		at := slices.IndexFunc(listeners, func(l listener) bool { return l.name == run.listener })
		t.Run(run.script+" by "+run.listener, func(t *testing.T) {
			c := exec.Command("node", run.script, services[at], fmt.Sprint("user", i))
			c.Dir = "testdata/clients"
			c.Env = append(os.Environ(), "NODE_TLS_REJECT_UNAUTHORIZED=0", "NODE_NO_WARNINGS=1", "NODE_OPTIONS=--experimental-websocket")
			out, err := c.CombinedOutput()
			t.Logf("%s", strings.TrimSpace(string(out)))
			if err != nil {
				t.Error(err)
			}
		})
	}
	for _, s := range f.servers {
		t.Logf("%+v", s.Count())
	}
}
