package node

import (
	"crypto/tls"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/lab/xmppserver"
)

const certificateLifetime = 90 * 24 * time.Hour

// tlsNode is a node with one listener for STARTTLS and one for direct TLS.
type tlsNode struct {
	*xmppNode
	dir         string
	certificate string
	startTLS    string // address
	direct      string // address
	deadline    time.Time
}

func newTLSNode(t *testing.T) *tlsNode {
	t.Helper()
	node := &tlsNode{
		dir: t.TempDir(), startTLS: transcript.FreeAddr(t), direct: transcript.FreeAddr(t),
		deadline: time.Now().Add(time.Minute),
	}
	certificate, key := transcript.WriteCertificate(t, node.dir, time.Now().Add(certificateLifetime), "farm.example")
	node.certificate = certificate
	node.xmppNode = newXMPPNode(t, 3, fmt.Sprintf("[limits]\nheader_time = \"2s\"\nhandshake_time = \"2s\"\n"+
		"[[certificate]]\ncert = %q\nkey = %q\n"+
		"[[listener]]\naddr = %q\nprotocol = \"xmpp\"\ntls = \"starttls\"\n"+
		"[[listener]]\naddr = %q\nprotocol = \"xmpp\"\ntls = \"direct\"\n",
		certificate, key, node.startTLS, node.direct))
	return node
}

// trust returns a client configuration that trusts the node's current certificate.
func (n *tlsNode) trust(t *testing.T) *tls.Config {
	t.Helper()
	return transcript.TrustCertificate(t, n.certificate, "farm.example")
}

// connectTLS connects to one of the two listeners.
func (n *tlsNode) connectTLS(
	addr, user, id string, method xmppserver.LoginMethod, config *tls.Config,
) (client *xmppserver.Client, resumed bool, err error) {
	return xmppserver.ConnectTLS(addr, user, id, method, config, addr == n.direct, n.deadline)
}

// connectAndResume makes a client lose its connection and resume its session.
func (n *tlsNode) connectAndResume(
	t *testing.T, addr, user string, method xmppserver.LoginMethod, config *tls.Config,
) *xmppserver.Client {
	t.Helper()
	client, _, err := n.connectTLS(addr, user, "", method, config)
	if err != nil {
		t.Fatal(method, addr, err)
	}
	id := client.ID
	secure, ok := client.Conn.(*tls.Conn)
	if !ok {
		t.Fatalf("type of the client's connection: got %T, want *tls.Conn", client.Conn)
	}
	_ = secure.NetConn().Close() // the connection counts as lost even if Close fails
	client, resumed, err := n.connectTLS(addr, user, id, method, config)
	if err != nil || !resumed {
		t.Fatal(method, addr, "resume a session: want true without an error, got ", resumed, err)
	}
	return client
}

// TestTLS makes clients connect over STARTTLS and direct TLS with every login method, lose their connection and resume.
// It also checks that the node rejects data that must not be sent unencrypted, and that a reload replaces either all
// keys or none while streams are open.
func TestTLS(t *testing.T) {
	node := newTLSNode(t)
	config := node.trust(t)
	var open []*xmppserver.Client
	for i, method := range loginMethods {
		for _, addr := range []string{node.startTLS, node.direct} {
			user := fmt.Sprint("u", i, addr[len(addr)-5:])
			open = append(open, node.connectAndResume(t, addr, user, method, config))
		}
	}
	checkCleartext(t, node)
	checkKeyChange(t, node, config)
	for i, client := range open {
		if _, err := client.Exchange(ping, "/>"); err != nil {
			t.Errorf("Exchange on open stream %d: %v", i, err)
		}
		_ = client.Conn.Close() // the client has received its answer
	}
}

// checkCleartext sends data that must not be sent unencrypted. The node must reject it and open no stream to a server.
func checkCleartext(t *testing.T, node *tlsNode) {
	t.Helper()
	before := node.streams()
	const startTLS = "<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>"
	const password = "<auth xmlns='urn:ietf:params:xml:ns:xmpp-sasl' mechanism='PLAIN'>AGEAYg==</auth>"
	for name, parts := range map[string][]string{
		"an unencrypted password":                     {streamHeader, password},
		"an unencrypted stanza":                       {streamHeader, "<presence/>"},
		"a header after STARTTLS in the same write":   {streamHeader, startTLS + streamHeader},
		"half a tag after STARTTLS in the same write": {streamHeader, startTLS + "<auth"},
		"a STARTTLS element that isn't closed":        {streamHeader, strings.Replace(startTLS, "/>", ">", 1)},
		"another domain":                              {strings.Replace(streamHeader, "farm", "other", 1)},
		"STARTTLS, then no data":                      {streamHeader, startTLS},
		"STARTTLS, then data that isn't TLS":          {streamHeader, startTLS, streamHeader},
		"a header, then no data":                      {streamHeader},
	} {
		got := sendParts(t, node.startTLS, parts)
		rejected := strings.Contains(got, "<stream:error>") || strings.Contains(got, "<proceed")
		if strings.Contains(got, "<mechanism") || !rejected {
			t.Errorf("%s: got %q, want a stream error or <proceed, and no <mechanism", name, got)
		}
	}
	if after := node.streams(); after != before {
		t.Errorf("streams to servers for unencrypted data: got %d, want 0", after-before)
	}
}

// sendParts sends texts one after another and returns everything that the node answers.
func sendParts(t *testing.T, addr string, parts []string) string {
	t.Helper()
	conn := dial(t, addr)
	for _, part := range parts {
		send(conn, "%s", part)
		time.Sleep(50 * time.Millisecond)
	}
	limitTime(t, conn)
	got, _ := io.ReadAll(conn) // the answer counts however the connection ended
	_ = conn.Close()           // the connection has already ended
	return string(got)
}

// checkKeyChange reloads certificates. An invalid certificate must have no effect, and a new certificate must be used
// for new handshakes.
func checkKeyChange(t *testing.T, node *tlsNode, config *tls.Config) {
	t.Helper()
	valid, err := os.ReadFile(node.certificate)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, node.certificate, "corrupt")
	if err := node.reload(); err == nil || !strings.Contains(err.Error(), "operator.toml:") {
		t.Errorf("reload of a corrupt certificate: got error %v, want one that names operator.toml", err)
	}
	if _, _, err := node.connectTLS(node.direct, "v", "", xmppserver.LoginPlain, config); err != nil {
		t.Errorf("connect after the reload of a corrupt certificate: %v", err)
	}
	writeFile(t, node.certificate, string(valid))
	transcript.WriteCertificate(t, node.dir, time.Now().Add(certificateLifetime), "farm.example")
	if err := node.reload(); err != nil {
		t.Fatal(err)
	}
	if _, _, err := node.connectTLS(node.direct, "w", "", xmppserver.LoginPlain, config); err == nil {
		t.Error("new handshake after a reload: got the old certificate, want the new one")
	}
	if _, _, err := node.connectTLS(node.startTLS, "w", "", xmppserver.LoginPlain, node.trust(t)); err != nil {
		t.Error(err)
	}
}
