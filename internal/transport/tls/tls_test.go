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

// echoHandler sends back the data that it receives, as fast as the client reads it.
type echoHandler struct {
	conn        *Conn
	underlying  *loop.Conn
	ends        chan error // errors of OnEnd, shared by all handlers of a server
	established chan bool
}

func (e *echoHandler) OnConnect() { e.established <- true }

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

// echoServer is a loop that serves each accepted connection with an echoHandler over TLS.
type echoServer struct {
	addr       string
	loop       *loop.Loop
	handshakes *Handshakes
	keys       *Keys
	ends       chan error
}

// startServer starts an echo server that has a certificate for each name, and stops it at the end of the test.
func startServer(tb testing.TB, handshakeTimeout time.Duration, names ...string) *echoServer {
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
	accept := func(underlying *loop.Conn) loop.Handler {
		handler := &echoHandler{ends: server.ends, underlying: underlying, established: make(chan bool, 1)}
		handler.conn = server.handshakes.Server(underlying, config, time.Now().Add(handshakeTimeout), handler)
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

// onLoop runs a function on the server's loop and waits until it has returned.
func (s *echoServer) onLoop(fn func()) {
	done := make(chan bool)
	s.loop.Post(func() {
		fn()
		close(done)
	})
	<-done
}

// dialTCP connects to an address.
func dialTCP(tb testing.TB, addr string) net.Conn {
	tb.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	return conn
}

// dialTLS connects to an address and returns the connection with the error of its TLS handshake.
func dialTLS(tb testing.TB, addr, name string, protocols ...string) (*tls.Conn, error) {
	tb.Helper()
	underlying := dialTCP(tb, addr)
	if err := underlying.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		tb.Fatal(err)
	}
	conn := tls.Client(underlying, &tls.Config{InsecureSkipVerify: true, ServerName: name, NextProtos: protocols})
	return conn, conn.Handshake()
}

// mustDialTLS is like dialTLS, but a failed handshake ends the test.
func mustDialTLS(tb testing.TB, addr, name string, protocols ...string) *tls.Conn {
	tb.Helper()
	conn, err := dialTLS(tb, addr, name, protocols...)
	if err != nil {
		tb.Fatal(err)
	}
	return conn
}

// roundTrip writes data and checks that the same data comes back.
func roundTrip(conn net.Conn, data []byte) error {
	if _, err := conn.Write(data); err != nil {
		return err
	}
	got := make([]byte, len(data))
	if _, err := io.ReadFull(conn, got); err != nil {
		return err
	}
	if !bytes.Equal(got, data) {
		return errors.New("the received bytes differ from the sent bytes")
	}
	return nil
}

// byteWriter writes byte by byte, so that the receiver gets incomplete TLS records, also during the handshake.
type byteWriter struct{ net.Conn }

func (w byteWriter) Write(data []byte) (int, error) {
	for i := range data {
		if _, err := w.Conn.Write(data[i : i+1]); err != nil {
			return i, err
		}
	}
	return len(data), nil
}

// TestEchoAndEnd checks that messages of 1 byte to 2 MB pass in both directions, also through full buffers and with
// records that arrive byte by byte. The server must select the certificate by name and reject an unknown ALPN protocol.
// The handler must get EOF after an orderly end of TLS, and an error after an end without close_notify.
func TestEchoAndEnd(t *testing.T) {
	server := startServer(t, 20*time.Second, "a.example", "b.example")
	conn := mustDialTLS(t, server.addr, "b.example", "proto")
	if got := conn.ConnectionState().PeerCertificates[0].DNSNames[0]; got != "b.example" {
		t.Errorf("handshake for b.example: got the certificate of %s, want that of b.example", got)
	}
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<17) // 2 MB: more than all buffers between client and handler
	go func() { _, _ = conn.Write(sent) }()                 // if it fails, the read below does
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("echo of 2 MB: got other bytes or error %v, want the sent bytes", err)
	}
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(got); !errors.Is(err, io.EOF) {
		t.Errorf("Read after the end: got error %v, want EOF", err)
	}
	if err := <-server.ends; !errors.Is(err, io.EOF) {
		t.Errorf("OnEnd: got %v, want EOF", err)
	}
	underlying := dialTCP(t, server.addr)
	slow := tls.Client(byteWriter{underlying}, &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12})
	for _, message := range []string{"x", strings.Repeat("y", 5000)} {
		if err := roundTrip(slow, []byte(message)); err != nil {
			t.Errorf("echo of %.9s: got error %v, want none", message, err)
		}
	}
	if err := underlying.Close(); err != nil { // without TLS's close_notify
		t.Fatal(err)
	}
	if err := <-server.ends; err == nil {
		t.Error("OnEnd after an end without close_notify: got no error, want one")
	}
	if _, err := dialTLS(t, server.addr, "a.example", "other"); err == nil {
		t.Error("handshake with an ALPN protocol that the server doesn't offer: got no error, want one")
	}
}

// stalledClients opens connections that never finish a handshake. Of every four, one sends half a record, one sends
// HTTP, one sends a record that is too long, and one sends nothing.
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

// TestStalledHandshakesAreBounded makes many clients start handshakes that they don't finish, or send no TLS or
// nothing. The number of running handshakes must stay bounded, and each must end by its deadline. Meanwhile an
// established connection and a new one must be served.
func TestStalledHandshakesAreBounded(t *testing.T) {
	server := startServer(t, time.Second, "a.example")
	established := mustDialTLS(t, server.addr, "a.example")
	defer func() { _ = established.Close() }() // otherwise the garbage collector may close it early
	stalled := stalledClients(t, server.addr, 400)
	for i := range 20 {
		if err := roundTrip(established, []byte{byte(i)}); err != nil {
			t.Fatal("echo on the established connection: ", err)
		}
		server.onLoop(func() {
			if server.handshakes.Running() > maxRunning {
				t.Errorf("got %d running handshakes, want at most %d", server.handshakes.Running(), maxRunning)
			}
		})
	}
	if conn, err := dialTLS(t, server.addr, "a.example"); err != nil {
		t.Error("new handshake among stalled ones: ", err)
	} else {
		defer func() { _ = conn.Close() }() // only the handshake is tested
	}
	for range stalled {
		if err := <-server.ends; err == nil || errors.Is(err, io.EOF) {
			t.Errorf("OnEnd of a stalled handshake: got %v, want an error other than EOF", err)
		}
	}
	transcript.WaitFor(t, "no handshake is running or waiting", func() (finished bool) {
		server.onLoop(func() {
			finished = server.handshakes.Running() == 0 && server.handshakes.Failed == len(stalled)
		})
		return finished
	})
	echoConcurrently(t, server.addr, 30)
	for _, client := range stalled {
		_ = client.Close() // the server has ended it already
	}
}

// echoConcurrently opens connections concurrently and checks that each is served.
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

// TestReplaceKeysWhileConnected replaces the certificates while connections are established. Read must reject invalid
// certificates, so that the old ones stay in use, and established connections must keep working.
func TestReplaceKeysWhileConnected(t *testing.T) {
	server := startServer(t, 20*time.Second, "a.example")
	before := mustDialTLS(t, server.addr, "a.example")
	dir := t.TempDir()
	cert, key := transcript.WriteCertificate(t, dir, time.Now().Add(ExpiryWarning/2), "a.example")
	_, otherKey := transcript.WriteCertificate(t, dir, time.Now().Add(ExpiryWarning*2), "b.example")
	for _, invalid := range [][]Pair{{{cert, otherKey}}, {{cert, key}, {"none", key}}, {{key, cert}}} {
		if _, err := Read(invalid, ""); err == nil {
			t.Errorf("Read(%v): got no error, want one", invalid)
		}
	}
	if _, err := Read([]Pair{{cert, key}}, key); err == nil {
		t.Error("Read with a private key as client authority: got no error, want one")
	}
	set, err := Read([]Pair{{cert, key}}, cert)
	if err != nil {
		t.Fatal(err)
	}
	if expiries := server.keys.Expiring(time.Now()); len(expiries) != 0 {
		t.Errorf("Expiring with a certificate of long validity: got %+v, want none", expiries)
	}
	server.keys.Use(set)
	expiries := server.keys.Expiring(time.Now())
	if len(expiries) != 1 || expiries[0].File != cert || expiries[0].Names[0] != "a.example" {
		t.Errorf("Expiring: got %+v, want one of %s for a.example", expiries, cert)
	}
	after := mustDialTLS(t, server.addr, "a.example")
	if before.ConnectionState().PeerCertificates[0].Equal(after.ConnectionState().PeerCertificates[0]) {
		t.Error("new handshake: got the old certificate, want the new one")
	}
	for _, conn := range []*tls.Conn{before, after} {
		if err := roundTrip(conn, []byte("x")); err != nil {
			t.Error(err)
		}
	}
	pair, err := tls.LoadX509KeyPair(cert, key) // a client certificate that one of the client authorities signed
	if err != nil {
		t.Fatal(err)
	}
	for _, certificates := range [][]tls.Certificate{{pair}, nil} {
		conn, err := tls.Dial("tcp", server.addr, &tls.Config{InsecureSkipVerify: true, Certificates: certificates})
		if err == nil {
			err = roundTrip(conn, []byte("x"))
		}
		if err != nil {
			t.Errorf("echo for a client with %d certificates: got error %v, want none", len(certificates), err)
		}
	}
}
