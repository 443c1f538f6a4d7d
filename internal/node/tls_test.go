package node

import (
	"crypto/tls"
	"crypto/x509"
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

// tlsNode is a node with a listener for STARTTLS and one for direct TLS.
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

// trust is the client's configuration that trusts the certificate as it is now.
func (n *tlsNode) trust(t *testing.T) *tls.Config {
	t.Helper()
	pool := x509.NewCertPool()
	raw, err := os.ReadFile(n.certificate)
	if err != nil || !pool.AppendCertsFromPEM(raw) {
		t.Fatal(err)
	}
	return &tls.Config{RootCAs: pool, ServerName: "farm.example", NextProtos: []string{"xmpp-client"}}
}

// connectTLS connects to one of the two listeners.
func (n *tlsNode) connectTLS(
	addr, user, id string, how xmppserver.LoginMethod, config *tls.Config,
) (client *xmppserver.Client, resumed bool, err error) {
	return xmppserver.ConnectTLS(addr, user, id, how, config, addr == n.direct, n.deadline)
}

// connectAndResume has a client lose its link and resume.
func (n *tlsNode) connectAndResume(
	t *testing.T, addr, user string, how xmppserver.LoginMethod, config *tls.Config,
) *xmppserver.Client {
	t.Helper()
	client, _, err := n.connectTLS(addr, user, "", how, config)
	if err != nil {
		t.Fatal(how, addr, err)
	}
	id := client.ID
	secure, ok := client.Conn.(*tls.Conn)
	if !ok {
		t.Fatalf("the client's connection is a %T", client.Conn)
	}
	_ = secure.NetConn().Close() // the link is lost, whatever its end says
	client, resumed, err := n.connectTLS(addr, user, id, how, config)
	if err != nil || !resumed {
		t.Fatal(how, addr, "resumed: ", resumed, err)
	}
	return client
}

// TestTLS has clients connect by STARTTLS and by direct TLS, with every way to authenticate, lose their link and
// resume; what must not be sent in the clear is rejected; and keys change while streams are open, all or none.
func TestTLS(t *testing.T) {
	node := newTLSNode(t)
	config := node.trust(t)
	var open []*xmppserver.Client
	for i, how := range loginMethods {
		for _, addr := range []string{node.startTLS, node.direct} {
			user := fmt.Sprint("u", i, addr[len(addr)-5:])
			open = append(open, node.connectAndResume(t, addr, user, how, config))
		}
	}
	checkCleartext(t, node)
	checkKeyChange(t, node, config)
	for i, client := range open {
		if _, err := client.Exchange(ping, "/>"); err != nil {
			t.Errorf("open stream %d: %v", i, err)
		}
		_ = client.Conn.Close() // it has its answer
	}
}

// checkCleartext sends what must not be sent in the clear: it is rejected, and no server hears of it.
func checkCleartext(t *testing.T, node *tlsNode) {
	t.Helper()
	before := node.streams()
	const startTLS = "<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>"
	const password = "<auth xmlns='urn:ietf:params:xml:ns:xmpp-sasl' mechanism='PLAIN'>AGEAYg==</auth>"
	for name, parts := range map[string][]string{
		"a password in the clear":           {streamHeader, password},
		"a stanza in the clear":             {streamHeader, "<presence/>"},
		"a header behind STARTTLS":          {streamHeader, startTLS + streamHeader},
		"half a tag behind it":              {streamHeader, startTLS + "<auth"},
		"an element that goes on":           {streamHeader, strings.Replace(startTLS, "/>", ">", 1)},
		"another domain":                    {strings.Replace(streamHeader, "farm", "other", 1)},
		"STARTTLS, and then silence":        {streamHeader, startTLS},
		"STARTTLS, and then what is no TLS": {streamHeader, startTLS, streamHeader},
		"a header, and then silence":        {streamHeader},
	} {
		got := sendParts(t, node.startTLS, parts)
		rejected := strings.Contains(got, "<stream:error>") || strings.Contains(got, "<proceed")
		if strings.Contains(got, "<mechanism") || !rejected {
			t.Errorf("%s: %q", name, got)
		}
	}
	if after := node.streams(); after != before {
		t.Errorf("%d streams to servers for what was sent in the clear", after-before)
	}
}

// sendParts sends texts one after the other and returns all that is answered.
func sendParts(t *testing.T, addr string, parts []string) string {
	t.Helper()
	conn := dial(t, addr)
	for _, part := range parts {
		send(conn, "%s", part)
		time.Sleep(50 * time.Millisecond)
	}
	limitTime(t, conn)
	got, _ := io.ReadAll(conn) // what came before the end, however the connection ended
	_ = conn.Close()           // it has ended
	return string(got)
}

// checkKeyChange reloads certificates: one that can't be read changes nothing, a new one is used for new handshakes.
func checkKeyChange(t *testing.T, node *tlsNode, config *tls.Config) {
	t.Helper()
	valid, err := os.ReadFile(node.certificate)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, node.certificate, "corrupt")
	if err := node.reload(); err == nil || !strings.Contains(err.Error(), "operator.toml:") {
		t.Errorf("a corrupt certificate: %v", err)
	}
	if _, _, err := node.connectTLS(node.direct, "v", "", xmppserver.LoginPlain, config); err != nil {
		t.Errorf("after a file that can't be read: %v", err)
	}
	writeFile(t, node.certificate, string(valid))
	transcript.WriteCertificate(t, node.dir, time.Now().Add(certificateLifetime), "farm.example")
	if err := node.reload(); err != nil {
		t.Fatal(err)
	}
	if _, _, err := node.connectTLS(node.direct, "w", "", xmppserver.LoginPlain, config); err == nil {
		t.Error("a new handshake used the old certificate")
	}
	if _, _, err := node.connectTLS(node.startTLS, "w", "", xmppserver.LoginPlain, node.trust(t)); err != nil {
		t.Error(err)
	}
}
