package xmpp

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/loop"
	"spurwinch/internal/transport/peerlimit"
)

// TestRejectedClientIsNotTransferred guards against a stream error on a socket that another process may already use: a
// client that is not admitted is offered to a successor before its stream error is sent.
func TestRejectedClientIsNotTransferred(t *testing.T) {
	detached := make(chan bool, 1)
	addr := startFrontWith(t, func(front *Front) func(*loop.Conn) loop.Handler {
		front.SetAdmissionRules(peerlimit.Rules{Peer: peerlimit.Limits{Rate: 0.001, Burst: 1}, MaxPeers: 1}, nil, nil)
		admitted := false
		return func(conn *loop.Conn) loop.Handler {
			handler := front.Accept(conn)
			session, isSession := handler.(*clientSession)
			if admitted && isSession {
				_, _, ok := IdleConnection{session}.Detach()
				detached <- ok
			}
			admitted = true
			return handler
		}
	})
	var received []byte
	for range 2 { // the limit rejects the second client
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }() // the front may have ended the connection
		if err := conn.SetDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		received, _ = io.ReadAll(conn) // the first client receives nothing until its deadline
	}
	if <-detached {
		t.Error("Detach of a client that is about to be rejected: got ok, want a refusal")
	}
	if !strings.Contains(string(received), "resource-constraint") {
		t.Errorf("answer to the rejected client: got %q, want resource-constraint", received)
	}
}
