package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// mood is how a host behaves towards new requests.
type mood string

const (
	well       mood = ""
	hangs      mood = "hangs"         // reads and says nothing
	resets     mood = "resets"        // resets what it has read, also amid a line
	errs       mood = "errs"          // answers ERR
	full       mood = "full"          // answers BUSY
	slow       mood = "slow"          // answers late
	halfAnswer mood = "half answer"   // begins its answer and stops
	endsAfter  mood = "ends"          // ends without an answer
	forgets    mood = "forgets"       // stands, and returns no lines
	closesIdle mood = "closes probes" // ends connections for probes
)

var moods = []mood{hangs, resets, errs, full, slow, halfAnswer, endsAfter, forgets, closesIdle}

// host is a stand-in for a platform's host.
type host struct {
	id, zone string
	judge    *Judge
	listen   *net.TCPListener
	proxy    *proxy
	silent   bool // it reports nothing

	mu       sync.Mutex
	rng      *rand.Rand
	mood     mood
	state    string
	changed  time.Time // of its state
	started  time.Time // zero: long ago
	held     int
	conns    map[net.Conn]bool // true: the host's process has died under it
	arrivals []time.Time       // of calls since it started cold, from nodes that were told of that
}

func receiptOf(id string, h *host) string { return id + "@" + h.id }

func newHost(id, zone string, seed uint64, j *Judge) (*host, error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	h := &host{id: id, zone: zone, judge: j, listen: l, rng: rand.New(rand.NewPCG(seed, 22)), state: "SERVING", conns: map[net.Conn]bool{}}
	if h.proxy, err = newProxy(l.Addr().String(), seed); err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(c)
		}
	}()
	return h, nil
}

// now is the host's mood and state.
func (h *host) now() (mood, string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mood, h.state
}

func (h *host) feel(m mood) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mood = m
}

// restart has the host's process die and begin again, cold.
func (h *host) restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.started, h.changed, h.state, h.mood, h.arrivals = time.Now(), time.Now(), "SERVING", well, nil
	for c := range h.conns {
		h.conns[c] = true
		reset(c)
	}
}

func (h *host) drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state, h.changed = "DRAINING", time.Now()
}

// share is the part of its capacity that the host has.
func (h *host) share(now time.Time) float64 {
	if age := now.Sub(h.started); !h.started.IsZero() && age < warmUp {
		return coldShare + (1-coldShare)*age.Seconds()/warmUp.Seconds()
	}
	return 1
}

func (h *host) draw() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rng.Float64()
}

// serve speaks with one connection of a node.
func (h *host) serve(c net.Conn) {
	h.mu.Lock()
	h.conns[c] = false
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
		c.Close()
	}()
	r := bufio.NewReaderSize(c, 8192)
	if _, err := r.Peek(1); err != nil {
		return
	}
	y := h.judge.arrives(h)
	if m, _ := h.now(); m == resets && h.draw() < 0.3 {
		reset(c) // amid the line, or before it was read
		return
	}
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	words := strings.Fields(line)
	switch {
	case len(words) == 4 && words[0] == "OPEN" && strings.HasSuffix(line, "\r\n"):
		h.take(c, r, words[1], y)
	case line == "STATS\r\n" || line == "PING\r\n":
		h.probes(c, r)
	default:
		h.judge.broken(Line, "%s got a first line that no client sent: %q", h.id, line)
		fmt.Fprint(c, "SYNTAX\r\n")
	}
}

// take answers a request, and serves it until its end.
func (h *host) take(c net.Conn, r *bufio.Reader, id string, y *try) {
	h.judge.comes(id, y)
	defer func() {
		h.mu.Lock()
		died := h.conns[c]
		h.mu.Unlock()
		if died || h.proxy.cut(c.RemoteAddr().String()) {
			h.judge.lost(y)
		}
		h.judge.done(y, "", false)
	}()
	h.count(id, y)
	m, state := h.now()
	if (m == resets || m == slow) && !h.dawdle(c, r) {
		return
	}
	switch {
	case state != "SERVING" || m == full || h.holds() >= bears*6/5:
		h.judge.done(y, "BUSY", true)
		fmt.Fprintf(c, "BUSY%s\r\n", h.report(" "))
	case m == errs:
		h.judge.done(y, "ERR", false)
		fmt.Fprintf(c, "ERR%s\r\n", h.report(" "))
	case m == resets:
		h.judge.lost(y)
		reset(c)
	case m == endsAfter:
		h.judge.lost(y)
	case m == hangs:
		h.wait(r)
	case m == halfAnswer:
		fmt.Fprint(c, "UP "+id[:4])
		h.wait(r)
	default:
		h.stand(c, r, id, y)
	}
}

// dawdle waits a while before the answer, unless the node gives up meanwhile.
func (h *host) dawdle(c net.Conn, r *bufio.Reader) (there bool) {
	c.SetReadDeadline(time.Now().Add(time.Duration(h.draw() * float64(1500*time.Millisecond))))
	defer c.SetReadDeadline(time.Time{})
	_, err := r.Peek(1)
	return err == nil || isTimeout(err)
}

// wait reads until the node gives up.
func (h *host) wait(r *bufio.Reader) {
	for {
		if _, err := r.ReadByte(); err != nil {
			return
		}
	}
}

func (h *host) holds() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held
}

// stand serves a connection that is up: each line comes back.
func (h *host) stand(c net.Conn, r *bufio.Reader, id string, y *try) {
	h.mu.Lock()
	h.held++
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		h.held--
		h.mu.Unlock()
	}()
	h.judge.done(y, "UP", false)
	if _, err := fmt.Fprintf(c, "UP %s\r\n", receiptOf(id, h)); err != nil {
		return
	}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if m, _ := h.now(); m == forgets {
			h.judge.lost(y) // from here on its client may be moved
			continue
		}
		if _, err := fmt.Fprint(c, line); err != nil {
			return
		}
	}
}

// probes answers PING and STATS.
func (h *host) probes(c net.Conn, r *bufio.Reader) {
	for {
		m, _ := h.now()
		if m == hangs {
			h.wait(r)
			return
		}
		if _, err := fmt.Fprintf(c, "PONG%s\r\n", h.report(" ")); err != nil || m == closesIdle {
			return
		}
		if _, err := r.ReadString('\n'); err != nil {
			return
		}
	}
}

// report is the host's load report, behind a separator; empty where the deployment has none.
func (h *host) report(separator string) string {
	if h.silent {
		return ""
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	load := float64(h.held) / (bears * h.share(time.Now()))
	return fmt.Sprintf("%slatency_ms=1,util=%.3f,x0=%.3f", separator, min(1, load), load)
}

// count holds a cold host's calls against the budget of all nodes.
func (h *host) count(id string, y *try) {
	r := h.judge.find(id)
	if r == nil {
		return
	}
	h.mu.Lock()
	started, now := h.started, time.Now()
	share := h.share(now)
	h.mu.Unlock()
	if share == 1 || !r.node.toldStart(h, started, r.run) {
		return
	}
	h.judge.saw("calls at cold hosts")
	if n := h.inWindow(now); float64(n) > budget(share) {
		h.judge.broken(SlowStart, "%s: %d calls in %v at %.2f of its capacity; %v is the most", h.id, n, fallTime, share, budget(share))
	}
}

// inWindow counts one more call at a cold host, and those of the budget's time.
func (h *host) inWindow(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.arrivals = append(h.arrivals, now)
	for now.Sub(h.arrivals[0]) > fallTime {
		h.arrivals = h.arrivals[1:]
	}
	return len(h.arrivals)
}
