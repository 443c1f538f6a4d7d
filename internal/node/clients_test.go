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

// TestClients runs unmodified client libraries through the node. They connect, authenticate, bind, get an answer, lose
// the connection and resume, over STARTTLS, direct TLS and WebSocket. The test needs Node.js and the packages in
// testdata/clients. It is therefore skipped by default; run it with:
//
//	(cd internal/node/testdata/clients && npm install) && XMPP_CLIENTS=1 go test -run TestClients -v ./internal/node
func TestClients(t *testing.T) {
	if os.Getenv("XMPP_CLIENTS") == "" {
		t.Skip("XMPP_CLIENTS is not set")
	}
	certificate, key := transcript.WriteCertificate(t, t.TempDir(), time.Now().Add(certificateLifetime), "farm.example")
	extraConfig := fmt.Sprintf("[[certificate]]\ncert = %q\nkey = %q\n", certificate, key)
	services := map[string]string{} // URLs by listener name
	for _, listener := range []struct{ name, scheme, protocol, tls string }{
		{"STARTTLS", "xmpp", "xmpp", "starttls"},
		{"direct TLS", "xmpps", "xmpp", "direct"},
		{"WebSocket", "ws", "xmpp-websocket", ""},
		{"WebSocket over TLS", "wss", "xmpp-websocket", "direct"},
	} {
		addr := transcript.FreeAddr(t)
		extraConfig += fmt.Sprintf("[[listener]]\naddr = %q\nprotocol = %q\ntls = %q\n",
			addr, listener.protocol, listener.tls)
		services[listener.name] = listener.scheme + "://" + addr
	}
	node := newXMPPNode(t, 4, extraConfig)
	for i, run := range []struct{ script, listener string }{
		{"client.mjs", "STARTTLS"},
		{"client.mjs", "direct TLS"},
		{"client.mjs", "WebSocket"},
		{"client.mjs", "WebSocket over TLS"},
		{"stanza.mjs", "WebSocket"},
		{"stanza.mjs", "WebSocket over TLS"},
	} {
		t.Run(run.script+" over "+run.listener, func(t *testing.T) {
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
