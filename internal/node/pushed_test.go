package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"spurwinch/internal/config"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/cluster"
	"spurwinch/internal/simwire"
)

// TestPushedList guards the start of a node whose lists are pushed: what the agent has counts as told from the first moment,
// so it is asked before the node says that it takes clients, and none goes to a host that drains by now.
func TestPushedList(t *testing.T) {
	drains, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer drains.Close()
	var answered atomic.Bool
	hold := make(chan struct{})
	defer close(hold)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("after") == "8" { // nothing newer
			<-hold
			return
		}
		answered.Store(true)
		fmt.Fprintf(w, "{\n  \"version\": 8,\n  \"full\": false,\n  \"servers\": [\n    {\"id\": \"s\", \"addr\": %q, \"state\": \"DRAINING\"}\n  ]\n}\n", drains.Addr())
	}))
	n := config.Node{Listen: "127.0.0.1:0", Discovery: agent.Listener.Addr().String(), Seed: 1}
	if n.Settings, err = simwire.DecodeSettings([]byte(strings.NewReplacer("REPORTS", "off", "on_request", "pushed").Replace(settings))); err != nil {
		t.Fatal(err)
	}
	if n.Known, err = cluster.Parse([]byte(fmt.Sprintf(`{"version":7,"full":true,"servers":[{"id":"s","addr":%q,"state":"SERVING"}]}`, drains.Addr()))); err != nil {
		t.Fatal(err)
	}
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	p := newProgram(l)
	p.readiness.firstListWait = time.Hour
	_, at, err := p.newPlatform(n, nil)
	if err != nil {
		t.Fatal(err)
	}
	start(t, l)
	for _, c := range [][2]string{{"PING", "PONG"}, {"OPEN 01 01 c=chat,d=2000", "BUSY"}} {
		conn, err := net.Dial("tcp", at.String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		fmt.Fprintf(conn, "%s\r\n", c[0])
		if got, err := bufio.NewReader(conn).ReadString('\n'); strings.TrimSpace(got) != c[1] || !answered.Load() {
			t.Errorf("%s has the answer %q (%v), the agent was asked: %v", c[0], got, err, answered.Load())
		}
	}
}
