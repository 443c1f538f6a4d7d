package transcript

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// pollInterval is the time between two looks for a condition.
const pollInterval = 2 * time.Millisecond

// EchoServer starts a server of the platform's protocol that establishes each connection and returns its lines.
func EchoServer(tb testing.TB) (address string) {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() }) // it fails of a closed one only
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return // the listener was closed
			}
			go serveEcho(connection)
		}
	}()
	return listener.Addr().String()
}

// serveEcho answers the first line of a connection and returns all further bytes.
func serveEcho(connection net.Conn) {
	defer func() { _ = connection.Close() }() // the peer has ended it
	reader := bufio.NewReader(connection)
	if _, err := reader.ReadString('\n'); err != nil {
		return
	}
	if err := send(connection, "UP 1"+lineEnd); err != nil {
		return
	}
	_, _ = io.Copy(connection, reader) // it ends when either side is closed
}

// FreeAddr returns an address on loopback where nobody listens.
func FreeAddr(tb testing.TB) string {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // nothing was accepted
	return listener.Addr().String()
}

// AdminRequest requests a path of an admin server. It returns the status and body of the answer; status 0 with the
// error's text where none came.
func AdminRequest(address, path string) (status int, body string) {
	client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }() // it was read to its end
	contents, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(contents)
}

// WaitFor waits for a condition, and fails the test where it isn't met in time.
func WaitFor(tb testing.TB, what string, met func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(waitTimeout); !met(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			tb.Fatal("never: ", what)
		}
	}
}
