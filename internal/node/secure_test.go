package node

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/lab/xmppserver"
)

// TestSecure has clients come by STARTTLS and by direct TLS, with every way to authenticate, lose their link and resume; what may
// not be had in the clear is not; and keys change under standing streams, all or none.
func TestSecure(t *testing.T) {
	dir := t.TempDir()
	cert, key := transcript.Keys(t, dir, time.Now().Add(time.Hour*24*90), "farm.example")
	start, direct := transcript.FreeAddr(t), transcript.FreeAddr(t)
	f := newVillage(t, 3, fmt.Sprintf("[limits]\nheader_time = \"2s\"\nhandshake_time = \"2s\"\n[[certificate]]\ncert = %q\nkey = %q\n"+
		"[[listener]]\naddr = %q\nprotocol = \"xmpp\"\ntls = \"starttls\"\n[[listener]]\naddr = %q\nprotocol = \"xmpp\"\ntls = \"direct\"\n", cert, key, start, direct))
	trust := func() *tls.Config {
		pool := x509.NewCertPool()
		raw, err := os.ReadFile(cert)
		if err != nil || !pool.AppendCertsFromPEM(raw) {
			t.Fatal(err)
		}
		return &tls.Config{RootCAs: pool, ServerName: "farm.example", NextProtos: []string{"xmpp-client"}}
	}
	config := trust()
	by := time.Now().Add(60 * time.Second)
	var stands []*xmppserver.Client
	for i, how := range []xmppserver.How{xmppserver.Plain, xmppserver.Named, xmppserver.SASL2} {
		for _, addr := range []string{start, direct} {
			user := fmt.Sprint("u", i, addr[len(addr)-5:])
			c, _, err := xmppserver.ConnectTLS(addr, user, "", how, config, addr == direct, by)
			if err != nil {
				t.Fatal(how, addr, err)
			}
			id := c.ID
			c.Conn.(*tls.Conn).NetConn().Close() // the link is lost
			c, resumed, err := xmppserver.ConnectTLS(addr, user, id, how, config, addr == direct, by)
			if err != nil || !resumed {
				t.Fatal(how, addr, "resumed: ", resumed, err)
			}
			stands = append(stands, c)
		}
	}
	ping := func(c *xmppserver.Client) error {
		_, err := c.Say("<iq type='get' id='p1'><ping xmlns='urn:xmpp:ping'/></iq>", "/>")
		return err
	}

	header := "<stream:stream to='farm.example' version='1.0' xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'>"
	say := func(parts ...string) string {
		c, err := net.Dial("tcp", start)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		for _, p := range parts {
			io.WriteString(c, p)
			time.Sleep(50 * time.Millisecond)
		}
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		got, _ := io.ReadAll(c)
		return string(got)
	}
	streams := 0
	for _, s := range f.servers {
		streams += s.Count().Streams
	}
	for name, parts := range map[string][]string{
		"a password in the clear":            {header, "<auth xmlns='urn:ietf:params:xml:ns:xmpp-sasl' mechanism='PLAIN'>AGEAYg==</auth>"},
		"a stanza in the clear":              {header, "<presence/>"},
		"words behind STARTTLS":              {header, "<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>" + header},
		"half a tag behind it":               {header, "<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/><auth"},
		"an element that goes on":            {header, "<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'>"},
		"another domain":                     {strings.Replace(header, "farm", "other", 1)},
		"STARTTLS, and then silence":         {header, "<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>"},
		"STARTTLS, and then what is no TLS":  {header, "<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>", header},
		"a header, and then silence forever": {header},
	} {
		got := say(parts...)
		if strings.Contains(got, "<mechanism") || !strings.Contains(got, "<stream:error>") && !strings.Contains(got, "<proceed") {
			t.Errorf("%s: %q", name, got)
		}
	}
	after := 0
	for _, s := range f.servers {
		after += s.Count().Streams
	}
	if after != streams {
		t.Errorf("%d streams to hosts for what was said in the clear", after-streams)
	}

	good, err := os.ReadFile(cert)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(cert, []byte("spoilt"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := f.reload(); err == nil || !strings.Contains(err.Error(), "operator.toml:") {
		t.Errorf("a spoilt certificate: %v", err)
	}
	if _, _, err := xmppserver.ConnectTLS(direct, "v", "", xmppserver.Plain, config, true, by); err != nil {
		t.Errorf("after a file that can't be: %v", err)
	}
	os.WriteFile(cert, good, 0o600)
	transcript.Keys(t, dir, time.Now().Add(time.Hour*24*90), "farm.example")
	if err := f.reload(); err != nil {
		t.Fatal(err)
	}
	if _, _, err := xmppserver.ConnectTLS(direct, "w", "", xmppserver.Plain, config, true, by); err == nil {
		t.Error("a new handshake used the old certificate")
	}
	if _, _, err := xmppserver.ConnectTLS(start, "w", "", xmppserver.Plain, trust(), false, by); err != nil {
		t.Error(err)
	}
	for i, c := range stands {
		if err := ping(c); err != nil {
			t.Errorf("standing stream %d: %v", i, err)
		}
		c.Conn.Close()
	}
}
