package tls

import (
	"bytes"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/loop"
)

// echoHandler sends back what it receives, as fast as the client takes it.
type echoHandler struct {
	conn  *Conn
	under *loop.Conn
	ends  chan error // every OnEnd of every handler of a server
	up    chan bool
}

func (e *echoHandler) OnConnect() { e.up <- true }

func (e *echoHandler) OnData(data []byte) {
	e.conn.Write(data)
	if e.conn.Full() {
		e.conn.Pause()
	}
}

func (e *echoHandler) OnDrained() { e.conn.Resume() }

func (e *echoHandler) OnEnd(err error) {
	e.ends <- err
	if errors.Is(err, io.EOF) {
		e.conn.End()
	}
}

// echoServer is a loop that listens and serves each connection by an echoHandler over TLS.
type echoServer struct {
	addr       string
	loop       *loop.Loop
	handshakes *Handshakes
	keys       *Keys
	ends       chan error
}

// startServer starts a server that has a certificate for each name.
func startServer(tb testing.TB, handshakeTime time.Duration, names ...string) *echoServer {
	tb.Helper()
	eventLoop, err := loop.New()
	if err != nil {
		tb.Fatal(err)
	}
	server := &echoServer{
		loop:       eventLoop,
		handshakes: NewHandshakes(eventLoop),
		keys:       &Keys{},
		ends:       make(chan error, 4096),
	}
	var pairs []Pair
	dir := tb.TempDir()
	for _, name := range names {
		cert, key := transcript.WriteCertificate(tb, dir, time.Now().Add(ExpiryWarning*2), name)
		pairs = append(pairs, Pair{cert, key})
	}
	set, err := Read(pairs, "")
	if err != nil {
		tb.Fatal(err)
	}
	server.keys.Use(set)
	config := server.keys.Config("proto")
	accept := func(under *loop.Conn) loop.Handler {
		handler := &echoHandler{ends: server.ends, under: under, up: make(chan bool, 1)}
		handler.conn = server.handshakes.Server(under, config, time.Now().Add(handshakeTime), handler)
		return handler.conn
	}
	server.addr = freeAddress(tb, eventLoop)
	if _, err = eventLoop.Listen(server.addr, accept); err != nil {
		tb.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := eventLoop.Run(); err != nil {
			tb.Error(err)
		}
	}()
	tb.Cleanup(func() {
		eventLoop.Post(eventLoop.Stop)
		<-done
	})
	return server
}

// freeAddress returns a local address that nothing listens on.
func freeAddress(tb testing.TB, eventLoop *loop.Loop) string {
	tb.Helper()
	listener, err := eventLoop.Listen("127.0.0.1:0", nil)
	if err != nil {
		tb.Fatal(err)
	}
	addr := listener.Addr
	listener.Close()
	return addr.String()
}

// onLoop runs a function on the server's loop and waits for it.
func (s *echoServer) onLoop(fn func()) {
	done := make(chan bool)
	s.loop.Post(func() {
		fn()
		close(done)
	})
	<-done
}

func dialTCP(tb testing.TB, addr string) net.Conn {
	tb.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	return conn
}

// dialTLS connects and returns the handshake's error.
func dialTLS(tb testing.TB, addr, name string, protocols ...string) (*tls.Conn, error) {
	tb.Helper()
	under := dialTCP(tb, addr)
	if err := under.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		tb.Fatal(err)
	}
	conn := tls.Client(under, &tls.Config{InsecureSkipVerify: true, ServerName: name, NextProtos: protocols})
	return conn, conn.Handshake()
}

// mustDialTLS is dialTLS where the handshake must succeed.
func mustDialTLS(tb testing.TB, addr, name string, protocols ...string) *tls.Conn {
	tb.Helper()
	conn, err := dialTLS(tb, addr, name, protocols...)
	if err != nil {
		tb.Fatal(err)
	}
	return conn
}

// roundTrip writes data and wants it back.
func roundTrip(conn net.Conn, data []byte) error {
	if _, err := conn.Write(data); err != nil {
		return err
	}
	got := make([]byte, len(data))
	if _, err := io.ReadFull(conn, got); err != nil {
		return err
	}
	if !bytes.Equal(got, data) {
		return errors.New("other bytes came back than were sent")
	}
	return nil
}

// byteWriter writes byte by byte, so that records of a handshake are cut anywhere.
type byteWriter struct{ net.Conn }

func (w byteWriter) Write(data []byte) (int, error) {
	for i := range data {
		if _, err := w.Conn.Write(data[i : i+1]); err != nil {
			return i, err
		}
	}
	return len(data), nil
}

// TestEcho passes bytes both ways in every size, through full buffers and records cut anywhere, picks the certificate
// by name, and ends as TLS ends.
func TestEcho(t *testing.T) {
	server := startServer(t, 20*time.Second, "a.example", "b.example")
	conn := mustDialTLS(t, server.addr, "b.example", "proto")
	if got := conn.ConnectionState().PeerCertificates[0].DNSNames[0]; got != "b.example" {
		t.Errorf("got the certificate of %s, wanted that of b.example", got)
	}
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<17) // 2 MB: more than all buffers on the way
	go func() { _, _ = conn.Write(sent) }()                 // if it fails, the read below does
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("wanted the 2 MB back as sent, got other bytes or the error %v", err)
	}
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(got); !errors.Is(err, io.EOF) {
		t.Errorf("after the end the client read %v, wanted EOF", err)
	}
	if err := <-server.ends; !errors.Is(err, io.EOF) {
		t.Errorf("at the end the handler got %v, wanted EOF", err)
	}
	under := dialTCP(t, server.addr)
	slow := tls.Client(byteWriter{under}, &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12})
	for _, message := range []string{"x", strings.Repeat("y", 5000)} {
		if err := roundTrip(slow, []byte(message)); err != nil {
			t.Errorf("wanted %.9s back, got %v", message, err)
		}
	}
	if err := under.Close(); err != nil { // without TLS's close_notify
		t.Fatal(err)
	}
	if err := <-server.ends; err == nil {
		t.Error("after the connection was cut the handler got no error")
	}
	if _, err := dialTLS(t, server.addr, "a.example", "other"); err == nil {
		t.Error("a handshake with an ALPN protocol that the server doesn't have succeeded")
	}
}

// stalledClients opens connections that never finish a handshake: one in four sends half a record, one sends HTTP, one
// sends a record that is too long, and one sends nothing.
func stalledClients(t *testing.T, addr string, count int) []net.Conn {
	t.Helper()
	firstBytes := [][]byte{
		{22, 3, 1, 2, 0, 1, 0},
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		{22, 3, 1, 0xff, 0xff},
		nil,
	}
	var clients []net.Conn
	for i := range count {
		client := dialTCP(t, addr)
		_, _ = client.Write(firstBytes[i%len(firstBytes)]) // the server may have evicted it already
		clients = append(clients, client)
	}
	return clients
}

// TestStalledHandshakes has many clients begin handshakes that they don't finish, and others that send no TLS or
// nothing: a bounded number of handshakes runs, each ends in its time, and meanwhile an established connection and a
// new one are served.
func TestStalledHandshakes(t *testing.T) {
	server := startServer(t, time.Second, "a.example")
	established := mustDialTLS(t, server.addr, "a.example")
	defer func() { _ = established.Close() }() // else it ends when the garbage collector finds it
	stalled := stalledClients(t, server.addr, 400)
	for i := range 20 {
		if err := roundTrip(established, []byte{byte(i)}); err != nil {
			t.Fatal("the established connection: ", err)
		}
		server.onLoop(func() {
			if server.handshakes.Running() > maxRunning {
				t.Errorf("%d handshakes run, wanted at most %d", server.handshakes.Running(), maxRunning)
			}
		})
	}
	if conn, err := dialTLS(t, server.addr, "a.example"); err != nil {
		t.Error("a new handshake among those that stall: ", err)
	} else {
		defer func() { _ = conn.Close() }() // only the handshake is tested
	}
	for range stalled {
		if err := <-server.ends; err == nil || errors.Is(err, io.EOF) {
			t.Errorf("a stalled handshake ended with %v, wanted an error other than EOF", err)
		}
	}
	transcript.WaitFor(t, "nothing runs or waits", func() (none bool) {
		server.onLoop(func() {
			none = server.handshakes.Running() == 0 && server.handshakes.Failed == len(stalled)
		})
		return none
	})
	echoConcurrently(t, server.addr, 30)
	for _, client := range stalled {
		_ = client.Close() // the server has ended it already
	}
}

// echoConcurrently opens connections at once and wants each to be served.
func echoConcurrently(t *testing.T, addr string, count int) {
	t.Helper()
	var clients sync.WaitGroup
	for range count {
		clients.Add(1)
		go func() {
			defer clients.Done()
			conn, err := dialTLS(t, addr, "a.example")
			if err == nil {
				err = roundTrip(conn, []byte("x"))
			}
			if err != nil {
				t.Error(err)
			}
		}()
	}
	clients.Wait()
}

// TestReplaceKeys replaces the certificates while connections are established, and keeps the old ones where the new
// ones are faulty.
func TestReplaceKeys(t *testing.T) {
	server := startServer(t, 20*time.Second, "a.example")
	before := mustDialTLS(t, server.addr, "a.example")
	dir := t.TempDir()
	cert, key := transcript.WriteCertificate(t, dir, time.Now().Add(ExpiryWarning/2), "a.example")
	_, otherKey := transcript.WriteCertificate(t, dir, time.Now().Add(ExpiryWarning*2), "b.example")
	for _, faulty := range [][]Pair{{{cert, otherKey}}, {{cert, key}, {"none", key}}, {{key, cert}}} {
		if _, err := Read(faulty, ""); err == nil {
			t.Errorf("Read(%v) succeeded, wanted an error", faulty)
		}
	}
	if _, err := Read([]Pair{{cert, key}}, key); err == nil {
		t.Error("Read took a private key for a client authority, wanted an error")
	}
	set, err := Read([]Pair{{cert, key}}, cert)
	if err != nil {
		t.Fatal(err)
	}
	if expiries := server.keys.Expiring(time.Now()); len(expiries) != 0 {
		t.Errorf("got the expiries %+v for a certificate that is valid for long, wanted none", expiries)
	}
	server.keys.Use(set)
	expiries := server.keys.Expiring(time.Now())
	if len(expiries) != 1 || expiries[0].File != cert || expiries[0].Names[0] != "a.example" {
		t.Errorf("got the expiries %+v, wanted one of %s for a.example", expiries, cert)
	}
	after := mustDialTLS(t, server.addr, "a.example")
	if before.ConnectionState().PeerCertificates[0].Equal(after.ConnectionState().PeerCertificates[0]) {
		t.Error("a new handshake used the old certificate, wanted the new one")
	}
	for _, conn := range []*tls.Conn{before, after} {
		if err := roundTrip(conn, []byte("x")); err != nil {
			t.Error(err)
		}
	}
	pair, err := tls.LoadX509KeyPair(cert, key) // a client's certificate that a named authority signed
	if err != nil {
		t.Fatal(err)
	}
	for _, certificates := range [][]tls.Certificate{{pair}, nil} {
		conn, err := tls.Dial("tcp", server.addr, &tls.Config{InsecureSkipVerify: true, Certificates: certificates})
		if err == nil {
			err = roundTrip(conn, []byte("x"))
		}
		if err != nil {
			t.Errorf("a client with %d certificates: %v", len(certificates), err)
		}
	}
}
