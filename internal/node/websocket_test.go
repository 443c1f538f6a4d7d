package node

import (
	"context"
	"crypto/tls"
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

// browser is a client that connects by WebSocket.
type browser struct {
	tb   testing.TB
	conn net.Conn
}

// browse opens a WebSocket.
func browse(tb testing.TB, url string) *browser {
	tb.Helper()
	dialer := ws.Dialer{
		Protocols: []string{"xmpp"}, TLSConfig: &tls.Config{InsecureSkipVerify: true}, Timeout: testTimeout,
	}
	conn, _, handshake, err := dialer.Dial(context.Background(), url)
	if err != nil || handshake.Protocol != "xmpp" {
		tb.Fatal(handshake, err)
	}
	limitTime(tb, conn)
	return &browser{tb: tb, conn: conn}
}

// say sends a message and reads messages up to one with a prefix; each must be one element with its namespace.
func (b *browser) say(message, prefix string) string {
	b.tb.Helper()
	if message != "" {
		if err := wsutil.WriteClientText(b.conn, []byte(message)); err != nil {
			b.tb.Fatal(err)
		}
	}
	for {
		got, err := wsutil.ReadServerText(b.conn)
		if err != nil {
			b.tb.Fatalf("for %q: %v", message, err)
		}
		if head, _, _ := strings.Cut(string(got), ">"); !strings.Contains(head, "xmlns") {
			b.tb.Errorf("a message without its namespace: %s", got)
		}
		if strings.HasPrefix(string(got), prefix) {
			return string(got)
		}
	}
}

// openStream opens a stream and authenticates.
func openStream(tb testing.TB, url, credentials string) *browser {
	tb.Helper()
	client := browse(tb, url)
	got := client.say(openFrame, "<open")
	if !strings.Contains(got, "from='farm.example'") || !strings.Contains(got, "version='1.0'") {
		tb.Errorf("the stream opens with %s", got)
	}
	features := client.say("", "<stream:features")
	if !strings.Contains(features, "xmlns:stream='http://etherx.jabber.org/streams'") ||
		!strings.HasSuffix(features, "</stream:features>") {
		tb.Errorf("features: %s", features)
	}
	client.say("<auth xmlns='urn:ietf:params:xml:ns:xmpp-sasl' mechanism='PLAIN'>"+credentials+"</auth>", "<success")
	client.say(openFrame, "<stream:features")
	return client
}

// bindAndResume has a client bind, lose its link, resume, get an answer and close its stream.
func bindAndResume(tb testing.TB, url, credentials string) {
	tb.Helper()
	client := openStream(tb, url, credentials)
	client.say("<iq xmlns='jabber:client' type='set' id='1'><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/></iq>",
		"<iq xmlns='jabber:client' ")
	enabled := client.say("<enable xmlns='urn:xmpp:sm:3' resume='true'/>", "<enabled")
	_, id, _ := strings.Cut(enabled, " id='")
	id, _, _ = strings.Cut(id, "'")
	_ = client.conn.Close() // the link is lost, whatever its end says
	client = openStream(tb, url, credentials)
	client.say("<resume xmlns='urn:xmpp:sm:3' previd='"+id+"' h='0'/>", "<resumed")
	client.say("<iq xmlns='jabber:client' type='get' id='2'><ping xmlns='urn:xmpp:ping'/></iq>",
		"<iq xmlns='jabber:client' type='result' id='2'")
	client.say("<close xmlns='urn:ietf:params:xml:ns:xmpp-framing'/>", "<close")
}

// TestWebSocket has a client connect by WebSocket, in the clear and by TLS: it authenticates, binds, is answered, loses
// its link, resumes, and closes its stream; one that sends what is no element gets an error.
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
		t.Errorf("%d of 4 resumed", resumed)
	}
	for name, message := range map[string]string{
		"half an element": "<message><body>", "two ends": "</message>",
		"a stream's markup": "<stream:stream to='farm.example'>", "an end of ours": "</stream:stream>",
		"a declaration": "<?xml version='1.0'?>", "text": "oats",
		"an open of another kind": "<open to='farm.example'/>",
	} {
		client := browse(t, "ws://"+cleartext+"/xmpp")
		client.say(openFrame, "<stream:features")
		got := client.say(message, "<stream:error")
		if !strings.Contains(got, "bad-format") && !strings.Contains(got, "not-well-formed") {
			t.Errorf("%s: %s", name, got)
		}
		client.say("", "<close")
	}
}
