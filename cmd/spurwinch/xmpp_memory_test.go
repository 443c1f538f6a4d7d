package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gobwas/ws"

	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/lab/xmppserver"
)

const (
	nodeMemoryMB    = 192 // the memory of a node; it is killed above it
	unsoundClients  = 500
	unfinishedBytes = 240 << 10 // sent by each of them, below the default limit of a stanza
	pieceBytes      = 4 << 10   // sent at once
	pieceInterval   = 20 * time.Millisecond
	serveTimeout    = 20 * time.Second // the default patience of a class, in which a session is set up
)

// peakMemoryMB returns the peak of a process's resident memory in megabytes.
func peakMemoryMB(t *testing.T, proc *process) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", proc.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(after)[0])
	if err != nil {
		t.Fatal(err)
	}
	return kilobytes >> 10
}

// manyAttributes returns very many short attributes, without the end of their tag.
func manyAttributes(size int) string {
	var text strings.Builder
	for number := 0; text.Len() < size; number++ {
		fmt.Fprintf(&text, " a%d='b'", number)
	}
	return text.String()
}

// unfinishedInput is what unsound clients send and never finish.
type unfinishedInput string

const (
	unfinishedHeader unfinishedInput = "stream header"
	unfinishedStanza unfinishedInput = "stanza"
)

// xmppEntry is a listener and the way in which clients reach it.
type xmppEntry struct {
	name, listener string
	dial           func(addr string) (net.Conn, error)
	isWebSocket    bool
}

func dialClear(addr string) (net.Conn, error) { return net.Dial("tcp", addr) }

func dialTLS(addr string) (net.Conn, error) {
	return tls.Dial("tcp", addr, &tls.Config{InsecureSkipVerify: true})
}

func dialWebSocket(addr string) (net.Conn, error) {
	conn, _, _, err := ws.Dialer{Protocols: []string{"xmpp"}}.Dial(context.Background(), "ws://"+addr+"/xmpp")
	return conn, err
}

// sendSlowly sends a text in pieces until it is sent or the node has ended the connection.
func sendSlowly(conn io.Writer, text string) {
	for len(text) > 0 {
		size := min(pieceBytes, len(text))
		if _, err := io.WriteString(conn, text[:size]); err != nil {
			return
		}
		text = text[size:]
		time.Sleep(pieceInterval)
	}
}

// sendUnfinished sends an unfinished header or stanza.
func (e xmppEntry) sendUnfinished(conn net.Conn, kind unfinishedInput, attributes string) {
	const header = "<stream:stream to='farm.example' version='1.0' xmlns='jabber:client' " +
		"xmlns:stream='http://etherx.jabber.org/streams'"
	switch {
	case e.isWebSocket:
		frame := ws.MaskFrame(ws.NewTextFrame([]byte("<message" + attributes)))
		var encoded strings.Builder
		_ = ws.WriteFrame(&encoded, frame) // a Builder accepts all bytes
		sendSlowly(conn, encoded.String()[:encoded.Len()-1])
	case kind == unfinishedHeader:
		sendSlowly(conn, header+attributes)
	default:
		sendSlowly(conn, header+"><message"+attributes)
	}
}

// TestManyUnfinishedStanzasFitIntoMemory guards against a node that is killed for its memory because hundreds of
// clients each send a long header or stanza slowly and stop before its end. Meanwhile other clients must be served in
// time.
func TestManyUnfinishedStanzasFitIntoMemory(t *testing.T) {
	program := build(t)
	dir := t.TempDir()
	certificate, key := transcript.WriteCertificate(t, dir, time.Now().Add(time.Hour), "farm.example")
	for _, entry := range []xmppEntry{
		{name: "clear", listener: "protocol = \"xmpp\"\n", dial: dialClear},
		{name: "TLS", listener: "protocol = \"xmpp\"\ntls = \"direct\"\n", dial: dialTLS},
		{name: "WebSocket", listener: "protocol = \"xmpp-websocket\"\n", dial: dialWebSocket, isWebSocket: true},
	} {
		for _, kind := range []unfinishedInput{unfinishedHeader, unfinishedStanza} {
			if entry.isWebSocket && kind == unfinishedHeader {
				continue // a header is a short message
			}
			t.Run(entry.name+", "+string(kind), func(t *testing.T) {
				server, err := xmppserver.Listen("h0")
				if err != nil {
					t.Fatal(err)
				}
				defer server.Close()
				addr, clear := transcript.FreeAddr(t), transcript.FreeAddr(t)
				path := filepath.Join(t.TempDir(), "operator.toml")
				writeFile(t, path, fmt.Sprintf("[limits]\nheader_time = \"20s\"\nhandshake_time = \"20s\"\n"+
					"[[listener]]\naddr = %q\n%s[[listener]]\naddr = %q\nprotocol = \"xmpp\"\n"+
					"[[certificate]]\ncert = %q\nkey = %q\n[[class]]\nname = \"c\"\n"+
					"[[domain]]\nname = \"farm.example\"\ncluster = \"k\"\n[[cluster]]\nname = \"k\"\n"+
					"sessions = 10000\n"+ // the host must not be full because of the unsound clients
					"[[cluster.host]]\naddr = %q\n", addr, entry.listener, clear, certificate, key, server.Addr))
				proc := start(t, program, nil, "-operator", path)
				wait, stop := holdUnfinished(t, entry, addr, kind)
				defer stop()
				checkServedMeanwhile(t, clear)
				wait()
				checkServedMeanwhile(t, clear)
				peak := peakMemoryMB(t, proc)
				t.Logf("peak of resident memory: %d MB", peak)
				if peak >= nodeMemoryMB {
					t.Errorf("peak of resident memory: got %d MB, want less than a node's %d MB", peak, nodeMemoryMB)
				}
			})
		}
	}
}

// holdUnfinished makes many clients send unfinished input. wait returns once all of them have sent it or were ended,
// and stop ends them.
func holdUnfinished(t *testing.T, entry xmppEntry, addr string, kind unfinishedInput) (wait, stop func()) {
	t.Helper()
	attributes := manyAttributes(unfinishedBytes)
	var sending sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	for range unsoundClients {
		sending.Add(1)
		go func() {
			defer sending.Done()
			conn, err := entry.dial(addr)
			if err != nil {
				return // the node has no room for it
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			if err := conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
				return
			}
			entry.sendUnfinished(conn, kind, attributes)
		}()
	}
	return sending.Wait, func() {
		sending.Wait()
		for _, conn := range conns {
			_ = conn.Close() // the node may have ended it
		}
	}
}

// checkServedMeanwhile checks that clients with ordinary stanzas get a session in time.
func checkServedMeanwhile(t *testing.T, addr string) {
	t.Helper()
	for number := range 20 {
		user := fmt.Sprint("sound", number)
		client, _, err := xmppserver.Connect(addr, user, "", xmppserver.LoginPlain, time.Now().Add(serveTimeout))
		if err != nil {
			t.Errorf("%s: not served within %v: %v", user, serveTimeout, err)
			return
		}
		defer func() { _ = client.Conn.Close() }() // the node may have ended it
	}
}
