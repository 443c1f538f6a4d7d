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

// browser is a client that comes by WebSocket.
type browser struct {
	t testing.TB
	c net.Conn
}

func browse(t testing.TB, url string) *browser {
	d := ws.Dialer{Protocols: []string{"xmpp"}, TLSConfig: &tls.Config{InsecureSkipVerify: true}, Timeout: 20 * time.Second}
	c, _, hs, err := d.Dial(context.Background(), url)
	if err != nil || hs.Protocol != "xmpp" {
		t.Fatal(hs, err)
	}
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return &browser{t, c}
}

// say sends a message and reads messages up to one that begins so; each must be one element with its namespace.
func (b *browser) say(what, until string) string {
	b.t.Helper()
	if what != "" {
		if err := wsutil.WriteClientText(b.c, []byte(what)); err != nil {
			b.t.Fatal(err)
		}
	}
	for {
		got, err := wsutil.ReadServerText(b.c)
		if err != nil {
			b.t.Fatalf("for %q: %v", what, err)
		}
		if head, _, _ := strings.Cut(string(got), ">"); !strings.Contains(head, "xmlns") {
			b.t.Errorf("a message without its namespace: %s", got)
		}
		if strings.HasPrefix(string(got), until) {
			return string(got)
		}
	}
}

// TestWeb has a client come by WebSocket, in the clear and by TLS: it authenticates, binds, is answered, loses its link, resumes, and
// closes its stream; one that sends what is no element is told so.
func TestWeb(t *testing.T) {
	cert, key := transcript.Keys(t, t.TempDir(), time.Now().Add(time.Hour*24*90), "farm.example")
	clear, direct := transcript.FreeAddr(t), transcript.FreeAddr(t)
	f := newVillage(t, 3, fmt.Sprintf("[[certificate]]\ncert = %q\nkey = %q\n[[listener]]\naddr = %q\nprotocol = \"xmpp-websocket\"\n"+
		"[[listener]]\naddr = %q\nprotocol = \"xmpp-websocket\"\ntls = \"direct\"\n", cert, key, clear, direct))
	const open = "<open xmlns='urn:ietf:params:xml:ns:xmpp-framing' to='farm.example' version='1.0'/>"
	up := func(url, user string) *browser {
		b := browse(t, url)
		if got := b.say(open, "<open"); !strings.Contains(got, "from='farm.example'") || !strings.Contains(got, "version='1.0'") {
			t.Errorf("the stream opens with %s", got)
		}
		if got := b.say("", "<stream:features"); !strings.Contains(got, "xmlns:stream='http://etherx.jabber.org/streams'") || !strings.HasSuffix(got, "</stream:features>") {
			t.Errorf("features: %s", got)
		}
		b.say("<auth xmlns='urn:ietf:params:xml:ns:xmpp-sasl' mechanism='PLAIN'>"+user+"</auth>", "<success")
		b.say(open, "<stream:features")
		return b
	}
	for _, url := range []string{"ws://" + clear + "/xmpp", "wss://" + direct + "/xmpp"} {
		for _, user := range []string{"AGEAYg==", "AGMAYg=="} {
			b := up(url, user)
			b.say("<iq xmlns='jabber:client' type='set' id='1'><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/></iq>", "<iq xmlns='jabber:client' ")
			got := b.say("<enable xmlns='urn:xmpp:sm:3' resume='true'/>", "<enabled")
			_, id, _ := strings.Cut(got, " id='")
			id, _, _ = strings.Cut(id, "'")
			b.c.Close()
			b = up(url, user)
			b.say("<resume xmlns='urn:xmpp:sm:3' previd='"+id+"' h='0'/>", "<resumed")
			b.say("<iq xmlns='jabber:client' type='get' id='2'><ping xmlns='urn:xmpp:ping'/></iq>", "<iq xmlns='jabber:client' type='result' id='2'")
			b.say("<close xmlns='urn:ietf:params:xml:ns:xmpp-framing'/>", "<close")
		}
	}
	resumed := 0
	for _, s := range f.servers {
		resumed += s.Count().Resumed
	}
	if resumed != 4 {
		t.Errorf("%d of 4 resumed", resumed)
	}
	for name, says := range map[string]string{"half an element": "<message><body>", "two ends": "</message>", "a stream's markup": "<stream:stream to='farm.example'>",
		"an end of ours": "</stream:stream>", "a declaration": "<?xml version='1.0'?>", "text": "oats", "an open of another kind": "<open to='farm.example'/>"} {
		b := browse(t, "ws://"+clear+"/xmpp")
		b.say(open, "<stream:features")
		if got := b.say(says, "<stream:error"); !strings.Contains(got, "bad-format") && !strings.Contains(got, "not-well-formed") {
			t.Errorf("%s: %s", name, got)
		}
		b.say("", "<close")
	}
}
