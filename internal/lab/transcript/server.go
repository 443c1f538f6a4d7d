package transcript

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 2 * time.Millisecond

// EchoServer starts a server of the platform's protocol that establishes each connection and echoes its lines.
func EchoServer(tb testing.TB) (address string) {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() }) // fails only if the listener is already closed
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

// serveEcho answers the first line of a connection with UP and echoes all further bytes.
func serveEcho(connection net.Conn) {
	defer func() { _ = connection.Close() }() // the peer may have closed it already
	reader := bufio.NewReader(connection)
	if _, err := reader.ReadString('\n'); err != nil {
		return
	}
	if err := send(connection, "UP 1"+lineEnd); err != nil {
		return
	}
	_, _ = io.Copy(connection, reader) // returns when either side closes the connection
}

// freeAddrs holds the addresses that FreeAddr has returned.
var freeAddrs sync.Map

// FreeAddr returns a loopback address on which nothing listens, and which it has not returned before in this program.
func FreeAddr(tb testing.TB) string {
	tb.Helper()
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		address := listener.Addr().String()
		_ = listener.Close() // nothing was accepted
		if _, returned := freeAddrs.LoadOrStore(address, true); !returned {
			return address
		}
	}
}

// AdminRequest requests a path from an admin server. It returns the status and body of the response, or the status 0
// and the text of the error if there is no response.
func AdminRequest(address, path string) (status int, body string) {
	client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }() // it has been read to its end
	contents, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(contents)
}

// WaitFor waits until a condition is met. It fails the test if the condition isn't met in time.
func WaitFor(tb testing.TB, condition string, met func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(waitTimeout); !met(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			tb.Fatal("timed out waiting until ", condition)
		}
	}
}
