package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
)

const (
	slowSetups     = 3                      // set-ups that the server delays
	slowSetupDelay = 140 * time.Millisecond // well below the objective of a set-up, platformAim
	clientsBefore  = 15
	clientsAfter   = 40
)

// newPausingServer starts a server that answers at once, but for the set-ups with the given numbers.
func newPausingServer(t *testing.T, isSlow func(number int) bool) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // fails only if it is already closed
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }() // the node may have ended it
				if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
					return
				}
				if isSlow(number) {
					time.Sleep(slowSetupDelay)
				}
				send(conn, "UP 1\r\n")
				_, _ = io.Copy(io.Discard, conn) // until the node ends the connection
			}()
		}
	}()
	return listener.Addr().String()
}

// TestSlowSetupsDoNotRefuseOthers guards against clients that are refused on an idle node, because an idle server that
// reports no load has answered a few set-ups late.
func TestSlowSetupsDoNotRefuseOthers(t *testing.T) {
	server := newPausingServer(t, func(number int) bool {
		return number >= clientsBefore && number < clientsBefore+slowSetups
	})
	dir := t.TempDir()
	node := &floodedNode{platform: transcript.FreeAddr(t)}
	nodeConfig{
		listen: node.platform, discovery: "127.0.0.1:9", limits: `{"cores":1,"memory_mb":192,"sockets":4096}`,
		known: knownServers(1, serverEntry("s-1", server)), settings: settings("off"),
	}.write(t, filepath.Join(dir, "config.json"))
	start(t, build(t), []string{"GW_CONFIG=" + filepath.Join(dir, "config.json"), "TMPDIR=" + dir})
	refused := 0
	for number := range clientsBefore + clientsAfter {
		answer, err := node.openPlatform(fmt.Sprintf("a%08x", number))
		if err != nil {
			t.Fatal(err)
		}
		if answer != "UP 1\r\n" {
			refused++
		}
		time.Sleep(roundInterval)
	}
	if refused > 0 {
		t.Errorf("clients of an idle node and server: got %d of %d refused, want 0",
			refused, clientsBefore+clientsAfter)
	}
}
