//go:build review2

package main

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Namespaces of RFC 6120 and XEP-0198.
const (
	clientNS = "jabber:client"
	streamNS = "http://etherx.jabber.org/streams"
	saslNS   = "urn:ietf:params:xml:ns:xmpp-sasl"
	bindNS   = "urn:ietf:params:xml:ns:xmpp-bind"
	smNS     = "urn:xmpp:sm:3"
	domain   = "farm.example"
)

// xmppHost is an XMPP server that keeps sessions for their resumption, as long as the run takes.
type xmppHost struct {
	id, addr string
	rec      *record

	mu       sync.Mutex
	sessions map[string]string   // user by session
	waiting  map[string][]string // stanzas that wait for a session's client
	last     int
}

func newXMPPHost(rec *record, id string) *xmppHost {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	h := &xmppHost{
		id: id, addr: ln.Addr().String(), rec: rec, sessions: map[string]string{}, waiting: map[string][]string{},
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go h.serve(conn)
		}
	}()
	return h
}

// attribute returns an attribute of a tag.
func attribute(tag, name string) string {
	_, after, _ := strings.Cut(tag, " "+name+"='")
	value, _, _ := strings.Cut(after, "'")
	return value
}

// serve answers the tags of a client's stream in the order in which this program's clients send them.
func (h *xmppHost) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	user, credentials, iq := "", "", ""
	for {
		text, err := reader.ReadString('>')
		if err != nil {
			return
		}
		tag := strings.TrimSpace(text[strings.LastIndexByte(text, '<'):])
		switch {
		case strings.HasPrefix(tag, "<stream:stream"):
			features := "<mechanisms xmlns='" + saslNS + "'><mechanism>PLAIN</mechanism></mechanisms>"
			if user != "" {
				features = "<bind xmlns='" + bindNS + "'/><sm xmlns='" + smNS + "'/>"
			}
			fmt.Fprintf(conn, "<?xml version='1.0'?><stream:stream from='%s' id='%s' version='1.0' xmlns='%s' "+
				"xmlns:stream='%s'><stream:features>%s</stream:features>", domain, h.id, clientNS, streamNS, features)
		case tag == "</auth>":
			credentials, _, _ = strings.Cut(text, "<")
			plain, _ := base64.StdEncoding.DecodeString(credentials)
			user = strings.Split(string(plain), "\x00")[1]
			fmt.Fprintf(conn, "<success xmlns='%s'/>", saslNS)
		case strings.HasPrefix(tag, "<iq "):
			iq = attribute(tag, "id")
		case tag == "</iq>":
			fmt.Fprintf(conn, "<iq type='result' id='%s'><bind xmlns='%s'><jid>%s@%s/x</jid></bind></iq>", iq, bindNS, user, domain)
		case strings.HasPrefix(tag, "<enable "):
			h.mu.Lock()
			h.last++
			session := fmt.Sprintf("%s-%d", h.id, h.last)
			h.sessions[session] = user
			h.mu.Unlock()
			h.rec.add("host %s: session %s of %s can be resumed", h.id, session, user)
			fmt.Fprintf(conn, "<enabled xmlns='%s' id='%s' resume='true' max='60'/>", smNS, session)
		case strings.HasPrefix(tag, "<resume "):
			session := attribute(tag, "previd")
			h.mu.Lock()
			known := h.sessions[session] == user
			stanzas := h.waiting[session]
			h.mu.Unlock()
			h.rec.add("host %s: asked by %s to resume %s, has it: %v", h.id, user, session, known)
			if known {
				fmt.Fprintf(conn, "<resumed xmlns='%s' previd='%s' h='0'/>%s", smNS, session, strings.Join(stanzas, ""))
			} else {
				fmt.Fprintf(conn, "<failed xmlns='%s'><item-not-found xmlns='urn:ietf:params:xml:ns:xmpp-stanzas'/></failed>", smNS)
			}
		case tag == "</stream:stream>":
			return
		}
	}
}

// device is a device of a user.
type device struct {
	name, user string
	rec        *record
	conn       net.Conn
	reader     *bufio.Reader
	host       string // that bound or resumed its session
	session    string // that it may resume
}

// exchange sends text and returns what comes, up to one of the tags.
func (d *device) exchange(text string, until ...string) string {
	d.conn.SetDeadline(time.Now().Add(10 * time.Second))
	if text != "" {
		_, err := fmt.Fprint(d.conn, text)
		must(err)
	}
	received := ""
	for {
		part, err := d.reader.ReadString('>')
		received += part
		for _, tag := range until {
			if strings.Contains(part, tag) && err == nil {
				return received
			}
		}
		if err != nil {
			panic(fmt.Sprintf("%s: %v after %q", d.name, err, received))
		}
	}
}

// login connects and authenticates by PLAIN. It returns the id of the host that the device has come to.
func (d *device) login(addr string) string {
	conn, err := net.Dial("tcp", addr)
	must(err)
	d.conn = conn
	d.reader = bufio.NewReader(conn)
	header := "<?xml version='1.0'?><stream:stream to='" + domain + "' version='1.0' xmlns='" + clientNS +
		"' xmlns:stream='" + streamNS + "'>"
	d.exchange(header, "</stream:features>")
	plain := base64.StdEncoding.EncodeToString([]byte("\x00" + d.user + "\x00secret"))
	d.exchange("<auth xmlns='"+saslNS+"' mechanism='PLAIN'>"+plain+"</auth>", "<success")
	greeting := d.exchange(header, "</stream:features>")
	return attribute(greeting[strings.Index(greeting, "<stream:stream"):], "id")
}

// bind sets up a session that can be resumed.
func (d *device) bind() {
	d.exchange("<iq type='set' id='b1'><bind xmlns='"+bindNS+"'/></iq>", "</iq>")
	d.session = attribute(d.exchange("<enable xmlns='"+smNS+"' resume='true'/>", "<enabled"), "id")
	d.rec.add("%s: has session %s at host %s", d.name, d.session, d.host)
}

// startOperator starts the program with an operator's file and returns the address of its listener.
func startOperator(p *platform, hosts []*xmppHost) string {
	listen := freeAddress()
	file := fmt.Sprintf("[[listener]]\naddr = %q\nprotocol = \"xmpp\"\n\n[[domain]]\nname = %q\ncluster = \"visits\"\n\n"+
		"[[cluster]]\nname = \"visits\"\n", listen, domain)
	for _, h := range hosts {
		file += fmt.Sprintf("\n[[cluster.host]]\nid = %q\naddr = %q\n", h.id, h.addr)
	}
	path := filepath.Join(p.dir, "operator.toml")
	must(os.WriteFile(path, []byte(file), 0o600))
	log, err := os.Create(filepath.Join(p.dir, "n1.log"))
	must(err)
	cmd := exec.Command("/bin/sh", "-c", p.run+" -operator "+path)
	cmd.Dir = p.root
	cmd.Env = append(os.Environ(), "TMPDIR="+filepath.Join(p.dir, "tmp"))
	cmd.Stderr = log
	must(cmd.Start())
	n := &node{name: "n1", cmd: cmd, done: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(n.done)
	}()
	p.nodes = append(p.nodes, n)
	p.endAtSignal(n)
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if conn, err := net.Dial("tcp", listen); err == nil {
			conn.Close()
			return listen
		}
		if time.Now().After(deadline) {
			panic("the node does not listen")
		}
	}
}

// twoDevices has users with two devices at different hosts, of which the one that came first vanishes for 3 s.
func twoDevices(rec *record) int {
	const pairs = 8
	hosts := []*xmppHost{newXMPPHost(rec, "v-1"), newXMPPHost(rec, "v-2"), newXMPPHost(rec, "v-3")}
	p := newPlatform(rec, newDiscovery(rec, "unused"), settings())
	defer p.end()
	addr := startOperator(p, hosts)
	status, apart := held, 0
	for number := range pairs {
		user := fmt.Sprintf("user%d", number)
		phone := &device{name: user + "'s phone", user: user, rec: rec}
		tablet := &device{name: user + "'s tablet", user: user, rec: rec}
		// Both log in at the same time, so that neither has a session when the other one is placed.
		phone.host, tablet.host = phone.login(addr), tablet.login(addr)
		phone.bind()
		tablet.bind()
		if phone.host == tablet.host {
			continue
		}
		apart++
		for _, h := range hosts {
			if h.id == phone.host {
				h.mu.Lock()
				h.waiting[phone.session] = []string{"<message><body>hello</body></message>"}
				h.mu.Unlock()
			}
		}
		if !trouble {
			const ping = "<iq type='get' id='p1'><ping xmlns='urn:xmpp:ping'/></iq>"
			time.Sleep(3 * time.Second)
			phone.exchange(ping, "</iq>")
			tablet.exchange(ping, "</iq>")
			rec.add("%s and %s: are answered on their sessions", phone.name, tablet.name)
			continue
		}
		rec.add("%s: vanishes without a word", phone.name)
		time.Sleep(3 * time.Second)
		again := &device{name: phone.name, user: user, rec: rec}
		host := again.login(addr)
		reply := again.exchange("<resume xmlns='"+smNS+"' previd='"+phone.session+"' h='0'/>", "<resumed", "</failed>")
		rec.add("%s: comes again, is sent to host %s, gets %s", phone.name, host, reply)
		if strings.Contains(reply, "</failed>") {
			again.exchange("<iq type='set' id='b1'><bind xmlns='"+bindNS+"'/></iq>", "</iq>")
			rec.add("BROKEN: %s has a second session at host %s; its first one is kept at host %s, with a message", phone.name, host, phone.host)
			status = broken
		}
	}
	if apart == 0 {
		panic("no user had its devices at different hosts")
	}
	return status
}

func init() { cases["devices"] = twoDevices }
