package node

import (
	"context"
	"crypto/tls"
	"encoding/base64"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/gobwas/ws"
	"github.com/gobwas/ws/wsutil"

	"spurwinch/internal/lab/transcript"
)

const openFrame = "<open xmlns='urn:ietf:params:xml:ns:xmpp-framing' to='farm.example' version='1.0'/>"

// webSocketClient is a client that connects over WebSocket.
type webSocketClient struct {
	tb   testing.TB
	conn net.Conn
}

// dialWebSocket opens a WebSocket connection.
func dialWebSocket(tb testing.TB, url string) *webSocketClient {
	tb.Helper()
	dialer := ws.Dialer{
		Protocols: []string{"xmpp"}, TLSConfig: &tls.Config{InsecureSkipVerify: true}, Timeout: testTimeout,
	}
	conn, _, handshake, err := dialer.Dial(context.Background(), url)
	if err != nil || handshake.Protocol != "xmpp" {
		tb.Fatal(handshake, err)
	}
	limitTime(tb, conn)
	return &webSocketClient{tb: tb, conn: conn}
}

// exchange sends a message, unless it is empty, and reads messages until one has the prefix. Each message that it reads
// must begin with an element that declares its namespace.
func (c *webSocketClient) exchange(message, prefix string) string {
	c.tb.Helper()
	if message != "" {
		if err := wsutil.WriteClientText(c.conn, []byte(message)); err != nil {
			c.tb.Fatal(err)
		}
	}
	for {
		got, err := wsutil.ReadServerText(c.conn)
		if err != nil {
			c.tb.Fatalf("read after sending %q: %v", message, err)
		}
		if head, _, _ := strings.Cut(string(got), ">"); !strings.Contains(head, "xmlns") {
			c.tb.Errorf("message from the node: got %s, want xmlns in its first tag", got)
		}
		if strings.HasPrefix(string(got), prefix) {
			return string(got)
		}
	}
}

// openStream opens a stream and authenticates.
func openStream(tb testing.TB, url, credentials string) *webSocketClient {
	tb.Helper()
	client := dialWebSocket(tb, url)
	got := client.exchange(openFrame, "<open")
	if !strings.Contains(got, "from='farm.example'") || !strings.Contains(got, "version='1.0'") {
		tb.Errorf("opening of the stream: got %s, want the domain and version 1.0", got)
	}
	features := client.exchange("", "<stream:features")
	if !strings.Contains(features, "xmlns:stream='http://etherx.jabber.org/streams'") ||
		!strings.HasSuffix(features, "</stream:features>") {
		tb.Errorf("stream features: got %s, want one complete element with its namespace", features)
	}
	client.exchange("<auth xmlns='urn:ietf:params:xml:ns:xmpp-sasl' mechanism='PLAIN'>"+credentials+"</auth>",
		"<success")
	client.exchange(openFrame, "<stream:features")
	return client
}

// webSocketCredentials returns the initial response of PLAIN for a user.
func webSocketCredentials(user string) string {
	return base64.StdEncoding.EncodeToString([]byte("\x00" + user + "\x00secret"))
}

// bindResumable makes a client bind a session that can be resumed, and returns the client and the session's id.
func bindResumable(tb testing.TB, url, credentials string) (client *webSocketClient, id string) {
	tb.Helper()
	client = openStream(tb, url, credentials)
	client.exchange("<iq xmlns='jabber:client' type='set' id='1'><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/></iq>",
		"<iq xmlns='jabber:client' ")
	enabled := client.exchange("<enable xmlns='urn:xmpp:sm:3' resume='true'/>", "<enabled")
	_, id, _ = strings.Cut(enabled, " id='")
	id, _, _ = strings.Cut(id, "'")
	return client, id
}

// bindAndResume makes a client bind, lose its connection, resume, get an answer and close its stream.
func bindAndResume(tb testing.TB, url, credentials string) {
	tb.Helper()
	client, id := bindResumable(tb, url, credentials)
	_ = client.conn.Close() // the connection counts as lost even if Close fails
	client = openStream(tb, url, credentials)
	client.exchange("<resume xmlns='urn:xmpp:sm:3' previd='"+id+"' h='0'/>", "<resumed")
	client.exchange("<iq xmlns='jabber:client' type='get' id='2'><ping xmlns='urn:xmpp:ping'/></iq>",
		"<iq xmlns='jabber:client' type='result' id='2'")
	client.exchange("<close xmlns='urn:ietf:params:xml:ns:xmpp-framing'/>", "<close")
}

// TestWebSocket makes clients connect over WebSocket, with and without TLS. They authenticate, bind, lose their
// connection, resume, get an answer and close their stream. A client that sends anything but a complete element must
// get an error.
func TestWebSocket(t *testing.T) {
	certificate, key := transcript.WriteCertificate(t, t.TempDir(), time.Now().Add(certificateLifetime), "farm.example")
	cleartext := transcript.FreeAddr(t)
	direct := transcript.FreeAddr(t)
	node := newXMPPNode(t, 3, fmt.Sprintf("[[certificate]]\ncert = %q\nkey = %q\n"+
		"[[listener]]\naddr = %q\nprotocol = \"xmpp-websocket\"\n"+
		"[[listener]]\naddr = %q\nprotocol = \"xmpp-websocket\"\ntls = \"direct\"\n",
		certificate, key, cleartext, direct))
	for _, url := range []string{"ws://" + cleartext + "/xmpp", "wss://" + direct + "/xmpp"} {
		for _, credentials := range []string{"AGEAYg==", "AGMAYg=="} {
			bindAndResume(t, url, credentials)
		}
	}
	resumed := 0
	for _, server := range node.servers {
		resumed += server.Count().Resumed
	}
	if resumed != 4 {
		t.Errorf("resumed sessions: got %d, want 4", resumed)
	}
	for name, message := range map[string]string{
		"half an element": "<message><body>", "an end without a start": "</message>",
		"a stream's markup": "<stream:stream to='farm.example'>", "the end of a stream": "</stream:stream>",
		"a declaration": "<?xml version='1.0'?>", "text": "oats",
		"an open without the framing namespace": "<open to='farm.example'/>",
	} {
		client := dialWebSocket(t, "ws://"+cleartext+"/xmpp")
		client.exchange(openFrame, "<stream:features")
		got := client.exchange(message, "<stream:error")
		if !strings.Contains(got, "bad-format") && !strings.Contains(got, "not-well-formed") {
			t.Errorf("stream error for %s: got %s, want bad-format or not-well-formed", name, got)
		}
		client.exchange("", "<close")
	}
}
