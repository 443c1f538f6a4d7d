package node

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// burst is a set of sessions that start at nearly the same time.
type burst struct {
	t    *testing.T
	addr string

	stop        chan struct{} // when it is closed, all clients end their streams
	running     sync.WaitGroup
	mu          sync.Mutex
	established int
	failed      int // number of sessions that got a stream error
}

// run plays one session, which must get exactly one answer.
func (b *burst) run(number int) {
	defer b.running.Done()
	answer, afterAnswer, err := runSession(b.addr, fmt.Sprintf("u%d", number), b.stop)
	results := strings.Count(answer, "<iq type='result'")
	errors := strings.Count(answer, "<stream:error>")
	b.mu.Lock()
	defer b.mu.Unlock()
	b.established += results
	b.failed += errors
	if results+errors != 1 || strings.Contains(afterAnswer, "<iq") {
		b.t.Errorf("session %d: got answer %q, then %q, %v, want exactly one answer", number, answer, afterAnswer, err)
	}
}

// TestBurstWhileServersChange makes many sessions bind at once while one server drains, one restarts, one rejects and
// one is warming up. Each session must get one answer after at most four attempts that never overlap, and the cold
// server must not be overloaded.
func TestBurstWhileServersChange(t *testing.T) {
	stubs := &stubServers{attempts: map[string]int{}, current: map[string]int{}, bindings: map[string]int{}}
	var servers []*stubServer
	byName := map[string]*stubServer{}
	for _, name := range []string{"warm", "drains", "restarts", "rejects", "cold"} {
		byName[name] = stubs.newServer(t, name)
		servers = append(servers, byName[name])
	}
	byName["rejects"].streamError = "resource-constraint"
	path := writeTemp(t, "operator.toml", stubFile(servers, ""))
	node := newOperatorNode(t, path, 3)
	start(t, node.loop)

	const sessions = 240
	clients := &burst{t: t, addr: node.addr(), stop: make(chan struct{})}
	for i := range sessions {
		switch i {
		case sessions / 3:
			writeFile(t, path, stubFile(servers, "drains"))
			if err := node.reload(); err != nil {
				t.Error(err)
			}
		case sessions / 2:
			byName["restarts"].stop()
		case sessions * 2 / 3:
			byName["restarts"].start(t)
		}
		clients.running.Add(1)
		go clients.run(i)
		time.Sleep(time.Millisecond)
	}
	time.Sleep(time.Second) // meanwhile the node tells the drained server's clients to end their streams
	close(clients.stop)
	clients.running.Wait()
	t.Logf("%d established, %d stream errors", clients.established, clients.failed)
	if clients.established < sessions/2 {
		t.Errorf("established sessions: got %d of %d, want at least half", clients.established, sessions)
	}
	stubs.check(t)
}

// check checks that each session had at most four attempts, which never overlapped, and that the cold server got few
// bindings.
func (s *stubServers) check(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Logf("bindings %v", s.bindings)
	if s.concurrent > 0 {
		t.Errorf("overlapping attempts of a session: got %d, want 0", s.concurrent)
	}
	for session, attempts := range s.attempts {
		if attempts > 4 {
			t.Errorf("attempts of session %s: got %d, want at most 4", session, attempts)
		}
	}
	if s.bindings["cold"] > s.bindings["warm"]/2 {
		t.Errorf("bindings of the cold server: got %d, want at most half of the warm server's %d",
			s.bindings["cold"], s.bindings["warm"])
	}
}
