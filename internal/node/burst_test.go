package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"spurwinch/internal/loop"
)

// farm is the scripted stand-in for a set of XMPP servers. It sees which session is tried where, and when.
type farm struct {
	mu    sync.Mutex
	tries map[string]int // attempts by session
	now   map[string]int // of them at the same time
	twice int            // sessions with two attempts at once
	binds map[string]int // bindings by server
}

var fromAttr = regexp.MustCompile(`from='([^']*)'`)

// server is one stand-in; stop cuts its connections off and refuses new ones until start.
type server struct {
	farm  *farm
	name  string
	addr  string
	mu    sync.Mutex
	l     net.Listener
	conns map[net.Conn]bool
	err   string // a stream error in place of features
}

func (f *farm) server(t *testing.T, name string) *server {
	s := &server{farm: f, name: name, addr: "127.0.0.1:0", conns: map[net.Conn]bool{}}
	s.start(t)
	t.Cleanup(s.stop)
	return s
}

func (s *server) start(t *testing.T) {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		t.Error(err)
		return
	}
	s.mu.Lock()
	s.l, s.addr = l, l.Addr().String()
	s.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
}

func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.l.Close()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		delete(s.conns, c)
	}
}

// until reads up to the end of the next tag with the given name.
func until(r *bufio.Reader, tag string) (string, error) {
	var got strings.Builder
	for {
		part, err := r.ReadString('>')
		got.WriteString(part)
		if err != nil || strings.Contains(part, tag) {
			return got.String(), err
		}
	}
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	head, err := until(r, "<stream:stream")
	m := fromAttr.FindStringSubmatch(head)
	if err != nil || m == nil {
		return
	}
	f, id := s.farm, m[1]
	f.mu.Lock()
	f.tries[id]++
	f.now[id]++
	// The node ended the one before; its goroutine here may hear of that later than this one of its connection.
	for limit := time.Now().Add(time.Second); f.now[id] > 1 && time.Now().Before(limit); {
		f.mu.Unlock()
		time.Sleep(time.Millisecond)
		f.mu.Lock()
	}
	if f.now[id] > 1 {
		f.twice++
	}
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.now[id]--
		f.mu.Unlock()
	}()
	fmt.Fprintf(c, "<stream:stream from='farm.example' id='x' version='1.0' xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'>")
	if s.err != "" {
		fmt.Fprintf(c, "<stream:error><%s xmlns='urn:ietf:params:xml:ns:xmpp-streams'/></stream:error></stream:stream>", s.err)
		return
	}
	fmt.Fprint(c, "<stream:features><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/></stream:features>")
	if _, err := until(r, "</iq>"); err != nil {
		return
	}
	time.Sleep(20 * time.Millisecond)
	f.mu.Lock()
	f.binds[s.name]++
	f.mu.Unlock()
	fmt.Fprint(c, "<iq type='result' id='b'/>")
	io.Copy(io.Discard, r)
}

// session plays a client and returns all that it got until it had its answer, and what came later.
func session(addr, id string, leave <-chan struct{}) (answer, later string, err error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return "", "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(30 * time.Second))
	r := bufio.NewReader(c)
	fmt.Fprintf(c, "<stream:stream from='%s' to='farm.example' version='1.0' xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'>", id)
	for {
		part, err := r.ReadString('>')
		answer += part
		switch {
		case err != nil:
			return answer, "", err
		case strings.HasSuffix(answer, "</stream:features>"):
			fmt.Fprint(c, "<iq type='set' id='b'><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/></iq>")
		case strings.HasSuffix(answer, "</stream:stream>"):
			rest, err := io.ReadAll(r)
			return answer, string(rest), err
		case strings.HasSuffix(answer, "<iq type='result' id='b'/>"):
			select {
			case <-leave:
			case <-time.After(20 * time.Second):
			}
			c.(*net.TCPConn).CloseWrite()
			rest, err := io.ReadAll(r)
			return answer, string(rest), err
		}
	}
}

// TestBurst lets many sessions bind at once while one server drains, one restarts, one refuses and one is cold. Each
// session has one answer, at most four attempts and never two at once, and the cold server isn't overrun.
func TestBurst(t *testing.T) {
	f := &farm{tries: map[string]int{}, now: map[string]int{}, binds: map[string]int{}}
	names := []string{"warm", "drains", "restarts", "refuses", "cold"}
	servers := map[string]*server{}
	for _, n := range names {
		servers[n] = f.server(t, n)
	}
	servers["refuses"].err = "resource-constraint"
	path := filepath.Join(t.TempDir(), "operator.toml")
	write := func(draining string) {
		var b strings.Builder
		b.WriteString("[[listener]]\naddr = \"127.0.0.1:0\"\nprotocol = \"xmpp\"\n[[class]]\nname = \"c\"\npatience = \"10s\"\n" +
			"[[domain]]\nname = \"farm.example\"\ncluster = \"k\"\n[[cluster]]\nname = \"k\"\nsessions = 400\nleave = \"300ms\"\n")
		for _, n := range names {
			fmt.Fprintf(&b, "[[cluster.host]]\nid = %q\naddr = %q\n", n, servers[n].addr)
			if n == draining {
				b.WriteString("state = \"draining\"\n")
			}
			if n == "cold" {
				fmt.Fprintf(&b, "started = %s\n", time.Now().UTC().Format(time.RFC3339))
			}
		}
		if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
			t.Error(err)
		}
	}
	write("")
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	_, op, err := operate(l, path, 3)
	if err != nil {
		t.Fatal(err)
	}
	start(t, l)

	const sessions = 240
	leave := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	established, failed := 0, 0
	for i := range sessions {
		switch i {
		case sessions / 3:
			write("drains")
			l.Post(func() { reread(t, op) })
		case sessions / 2:
			servers["restarts"].stop()
		case sessions * 2 / 3:
			servers["restarts"].start(t)
		}
		all.Add(1)
		go func() {
			defer all.Done()
			answer, later, err := session(op.addrs[0].String(), fmt.Sprintf("u%d", i), leave)
			mu.Lock()
			defer mu.Unlock()
			results, errs := strings.Count(answer, "<iq type='result'"), strings.Count(answer, "<stream:error>")
			established += results
			failed += errs
			if results+errs != 1 || strings.Contains(later, "<iq") {
				t.Errorf("session %d: answer %q, then %q, %v", i, answer, later, err)
			}
		}()
		time.Sleep(time.Millisecond)
	}
	time.Sleep(time.Second) // the drained server's clients are told to leave meanwhile
	close(leave)
	all.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Logf("%d established, %d stream errors, bindings %v", established, failed, f.binds)
	if established < sessions/2 {
		t.Errorf("only %d of %d sessions established", established, sessions)
	}
	if f.twice > 0 {
		t.Errorf("%d times two attempts of a session at once", f.twice)
	}
	for id, n := range f.tries {
		if n > 4 {
			t.Errorf("session %s had %d attempts", id, n)
		}
	}
	if f.binds["cold"] > f.binds["warm"]/2 {
		t.Errorf("the cold server got %d bindings, the warm one %d", f.binds["cold"], f.binds["warm"])
	}
}
