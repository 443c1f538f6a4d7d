package node

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
)

// TestClients has unmodified client libraries connect through the node, authenticate, bind, be answered, lose the link
// and resume, over STARTTLS, direct TLS and WebSocket. It needs node and the packages in testdata/clients, so it is
// left out of the usual run:
//
//	(cd internal/node/testdata/clients && npm install) && XMPP_CLIENTS=1 go test -run TestClients -v ./internal/node
func TestClients(t *testing.T) {
	if os.Getenv("XMPP_CLIENTS") == "" {
		t.Skip("XMPP_CLIENTS is not set")
	}
	certificate, key := transcript.WriteCertificate(t, t.TempDir(), time.Now().Add(certificateLifetime), "farm.example")
	more := fmt.Sprintf("[[certificate]]\ncert = %q\nkey = %q\n", certificate, key)
	services := map[string]string{} // URLs by the names of the listeners
	for _, listener := range []struct{ name, scheme, protocol, tls string }{
		{"STARTTLS", "xmpp", "xmpp", "starttls"},
		{"direct TLS", "xmpps", "xmpp", "direct"},
		{"WebSocket", "ws", "xmpp-websocket", ""},
		{"WebSocket over TLS", "wss", "xmpp-websocket", "direct"},
	} {
		addr := transcript.FreeAddr(t)
		more += fmt.Sprintf("[[listener]]\naddr = %q\nprotocol = %q\ntls = %q\n", addr, listener.protocol, listener.tls)
		services[listener.name] = listener.scheme + "://" + addr
	}
	node := newXMPPNode(t, 4, more)
	for i, run := range []struct{ script, listener string }{
		{"client.mjs", "STARTTLS"},
		{"client.mjs", "direct TLS"},
		{"client.mjs", "WebSocket"},
		{"client.mjs", "WebSocket over TLS"},
		{"stanza.mjs", "WebSocket"},
		{"stanza.mjs", "WebSocket over TLS"},
	} {
		t.Run(run.script+" by "+run.listener, func(t *testing.T) {
			command := exec.Command("node", run.script, services[run.listener], fmt.Sprint("user", i))
			command.Dir = "testdata/clients"
			command.Env = append(os.Environ(), "NODE_TLS_REJECT_UNAUTHORIZED=0", "NODE_NO_WARNINGS=1",
				"NODE_OPTIONS=--experimental-websocket")
			out, err := command.CombinedOutput()
			t.Logf("%s", strings.TrimSpace(string(out)))
			if err != nil {
				t.Error(err)
			}
		})
	}
	for _, server := range node.servers {
		t.Logf("%+v", server.Count())
	}
}
