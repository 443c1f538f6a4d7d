package node

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"spurwinch/internal/config"
)

// TestPushedListReadBeforeReady starts a node whose server lists are pushed to an agent beside it. The agent's list
// counts as known from the start. Therefore the node must request it before it announces that it accepts clients, so
// that no client is placed on a server that is already draining.
func TestPushedListReadBeforeReady(t *testing.T) {
	draining, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, draining)
	addr := draining.Addr().String()
	var answered atomic.Bool
	hold := make(chan struct{})
	defer close(hold)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("after") == "8" { // there is no newer list
			<-hold
			return
		}
		answered.Store(true)
		send(w, "{\n  \"version\": 8,\n  \"full\": false,\n  \"servers\": [\n"+
			"    {\"id\": \"s\", \"addr\": %q, \"state\": \"DRAINING\"}\n  ]\n}\n", addr)
	}))
	node := config.Node{Listen: "127.0.0.1:0", Discovery: agent.Listener.Addr().String(), Seed: 1}
	node.Settings = decodeSettings(t, "REPORTS", "off", "on_request", "pushed")
	node.KnownServers = parseList(t, 7, `{"id":"s","addr":"`+addr+`","state":"SERVING"}`)
	eventLoop := newLoop(t)
	program := newProgram(eventLoop)
	program.readiness.firstListWait = time.Hour
	_, listener, err := program.newPlatform(node, nil)
	if err != nil {
		t.Fatal(err)
	}
	start(t, eventLoop)
	for _, exchange := range []struct{ line, answer string }{{"PING", "PONG"}, {"OPEN 01 01 c=chat,d=2000", "BUSY"}} {
		conn := dial(t, listener.String())
		limitTime(t, conn)
		send(conn, "%s\r\n", exchange.line)
		got, err := bufio.NewReader(conn).ReadString('\n')
		if strings.TrimSpace(got) != exchange.answer || !answered.Load() {
			t.Errorf("answer to %s: got %q (%v), agent asked: %v, want PONG to PING, BUSY to OPEN, and the agent asked",
				exchange.line, got, err, answered.Load())
		}
	}
}
