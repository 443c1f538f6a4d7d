package faults

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"spurwinch/internal/lab/fakeserver"
)

// host is a stand-in for a platform's host: it counts connections and bears so many. internal/lab/fakeserver's hosts work through
// jobs on cores; what is asked here is only who stands where.
type host struct {
	id, zone string
	bears    int
	lab      *Lab
	listen   *net.TCPListener
	addr     string

	mu    sync.Mutex
	held  int
	down  string // "", refuses, silent
	slow  float64
	state string
	conns map[net.Conn]bool
}

func (lab *Lab) newHost(id, zone string, bears int) (*host, error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	h := &host{id: id, zone: zone, bears: bears, lab: lab, listen: l, addr: l.Addr().String(), slow: 1, state: "SERVING", conns: map[net.Conn]bool{}}
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

func (h *host) serve(c net.Conn) {
	h.mu.Lock()
	if h.down == "refuses" {
		h.mu.Unlock()
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		return
	}
	h.conns[c] = true
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
		c.Close()
	}()
	r := bufio.NewReaderSize(c, 4096)
	id := ""
	defer func() {
		if id != "" {
			h.mu.Lock()
			h.held--
			h.mu.Unlock()
		}
	}()
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		h.mu.Lock()
		down, load := h.down, float64(h.held)/float64(h.bears)*h.slow
		h.mu.Unlock()
		if down == "silent" {
			continue
		}
		switch word, rest, _ := strings.Cut(line, " "); {
		case word == "STATS":
			fmt.Fprintf(c, "PONG latency_ms=1,util=%.3f,x0=%.3f\r\n", min(1, load), load)
		case word == "PING":
			fmt.Fprint(c, "PONG\r\n")
		case word == "OPEN" && id == "":
			name, _, _ := strings.Cut(rest, " ")
			node := ""
			h.lab.note(Event{Kind: KindAttempt, ID: name, To: h.id, Node: node})
			h.mu.Lock()
			full := h.held >= h.bears*6/5 || h.state != "SERVING"
			if !full {
				h.held++
			}
			h.mu.Unlock()
			// What this one was, for the next host that hears of it, is over before the answer goes out: then two at once is the node's doing.
			h.lab.note(Event{Kind: KindAttemptEnd, ID: name, To: h.id})
			if full {
				fmt.Fprint(c, "BUSY\r\n")
				return
			}
			id = name
			fmt.Fprintf(c, "UP %s@%s\r\n", name, h.id)
		case id != "":
			if _, err := fmt.Fprintf(c, "%s\r\n", line); err != nil {
				return
			}
		default:
			return
		}
	}
}

func (h *host) set(down string, slow float64) {
	h.mu.Lock()
	h.down, h.slow = down, slow
	var all []net.Conn
	if down == "refuses" {
		for c := range h.conns {
			all = append(all, c)
		}
	}
	h.mu.Unlock()
	for _, c := range all {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (h *host) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held
}

// list is a stand-in for the list service; each node has a door of its own, since it is told other addresses.
type list struct {
	lab     *Lab
	mu      sync.Mutex
	version int64
	news    chan struct{}
	calls   atomic.Int64
}

// entries is the list with the hosts' addresses as a node sees them.
func (l *list) entries(n *proc) json.RawMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []fakeserver.ListEntry
	for i, h := range l.lab.hosts {
		h.mu.Lock()
		all = append(all, fakeserver.ListEntry{ID: h.id, Addr: n.hosts[i], Zone: h.zone, Kind: "k", State: h.state, Weight: 1})
		h.mu.Unlock()
	}
	return fakeserver.EncodeList(l.version, all)
}

// door answers a node's calls.
func (l *list) door(n *proc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		l.calls.Add(1)
		news, version := l.news, l.version
		l.mu.Unlock()
		fakeserver.ServeList(w, r, version, news, l.lab.done, func() json.RawMessage { return l.entries(n) })
	})
}
