package xmpp

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/loop"
)

// startFront starts a front that listens for clients and serves the domain farm.example without a core. It returns the
// listener's address.
func startFront(t *testing.T, security Security) string {
	t.Helper()
	return startFrontWith(t, func(front *Front) func(*loop.Conn) loop.Handler { return front.AcceptWith(security) })
}

// startFrontWith is startFront with the function that accepts connections.
func startFrontWith(t *testing.T, accept func(*Front) func(*loop.Conn) loop.Handler) string {
	t.Helper()
	eventLoop, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	limits := Limits{
		MaxStanzaBytes: 1 << 10, MaxReplayBytes: 1 << 10, HeaderTimeout: time.Minute, HandshakeTimeout: time.Minute,
		MaxConnections: 100, MaxResumable: 10,
	}
	front := New(eventLoop, map[string]Domain{"farm.example": {}}, limits, 1)
	listener, err := eventLoop.Listen("127.0.0.1:0", accept(front))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := eventLoop.Run(); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		eventLoop.Post(eventLoop.Stop)
		<-done
	})
	return listener.Addr.String()
}

// TestStreamEndsWhenClientClosesItInsteadOfStartingTLS checks that the front closes its own stream when the client
// closes its stream instead of starting TLS.
func TestStreamEndsWhenClientClosesItInsteadOfStartingTLS(t *testing.T) {
	conn, err := net.Dial("tcp", startFront(t, StartTLS))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // the front has already closed its side
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	header := strings.Replace(rootTag, "<stream:stream ", "<stream:stream to='farm.example' version='1.0' ", 1)
	if _, err := io.WriteString(conn, header+"</stream:stream>"); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	offered := strings.Contains(string(answer), "<starttls ")
	if !offered || !strings.HasSuffix(string(answer), "</stream:features></stream:stream>") {
		t.Errorf("read answer: got %q, want the offer of STARTTLS and the end of the stream", answer)
	}
}
