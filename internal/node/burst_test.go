package node

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// burst is a number of sessions that start at nearly the same time.
type burst struct {
	t    *testing.T
	addr string

	stop        chan struct{} // closed: all clients end their streams
	running     sync.WaitGroup
	mu          sync.Mutex
	established int
	failed      int // with a stream error
}

// run plays one session, which must have one answer.
func (b *burst) run(number int) {
	defer b.running.Done()
	answer, later, err := runSession(b.addr, fmt.Sprintf("u%d", number), b.stop)
	results := strings.Count(answer, "<iq type='result'")
	errors := strings.Count(answer, "<stream:error>")
	b.mu.Lock()
	defer b.mu.Unlock()
	b.established += results
	b.failed += errors
	if results+errors != 1 || strings.Contains(later, "<iq") {
		b.t.Errorf("session %d: answer %q, then %q, %v", number, answer, later, err)
	}
}

// TestBurst lets many sessions bind at once while one server drains, one restarts, one rejects and one is warming up.
// Each session has one answer, at most four attempts and never two at once, and the cold server isn't overloaded.
func TestBurst(t *testing.T) {
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
	time.Sleep(time.Second) // the drained server's clients are told to end their streams meanwhile
	close(clients.stop)
	clients.running.Wait()
	t.Logf("%d established, %d stream errors", clients.established, clients.failed)
	if clients.established < sessions/2 {
		t.Errorf("only %d of %d sessions established", clients.established, sessions)
	}
	stubs.check(t)
}

// check wants at most four attempts of a session, never two at once, and few bindings at the cold server.
func (s *stubServers) check(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Logf("bindings %v", s.bindings)
	if s.concurrent > 0 {
		t.Errorf("%d times two attempts of a session at once", s.concurrent)
	}
	for session, attempts := range s.attempts {
		if attempts > 4 {
			t.Errorf("session %s had %d attempts", session, attempts)
		}
	}
	if s.bindings["cold"] > s.bindings["warm"]/2 {
		t.Errorf("the cold server got %d bindings, the warm one %d", s.bindings["cold"], s.bindings["warm"])
	}
}
