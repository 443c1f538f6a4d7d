//go:build review2

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what happened, with the time since the start of the run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// at returns the time since the start of the run in seconds.
func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// entry is a host as discovery lists it.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

type listAnswer struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is a discovery service.
type discovery struct {
	name   string
	addr   string
	rec    *record
	ln     net.Listener
	server *http.Server

	mu      sync.Mutex
	version int64
	entries map[string]entry
	changed map[string]int64 // the version that last changed an entry
	news    chan struct{}    // closed at the next change
	late    time.Duration    // how long each answer waits before it is written
}

func newDiscovery(rec *record, name string, entries ...entry) *discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	d := &discovery{
		name: name, addr: ln.Addr().String(), rec: rec, ln: ln, version: 1, entries: map[string]entry{},
		changed: map[string]int64{}, news: make(chan struct{}),
	}
	for _, e := range entries {
		d.entries[e.ID] = e
		d.changed[e.ID] = 1
	}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(ln)
	return d
}

func (d *discovery) list() listAnswer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(-1)
}

// since returns the changes after a version, or the whole list.
func (d *discovery) since(after int64) listAnswer {
	answer := listAnswer{Version: d.version, Full: after < 0 || after > d.version, Servers: []entry{}}
	for id, e := range d.entries {
		if answer.Full || d.changed[id] > after {
			answer.Servers = append(answer.Servers, e)
		}
	}
	sort.Slice(answer.Servers, func(i, j int) bool { return answer.Servers[i].ID < answer.Servers[j].ID })
	return answer
}

// setState changes the state of a host.
func (d *discovery) setState(id, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	e := d.entries[id]
	e.State = state
	d.entries[id] = e
	d.changed[id] = d.version
	close(d.news)
	d.news = make(chan struct{})
	d.rec.add("%s: host %s is %s from version %d on", d.name, id, state, d.version)
}

// setLate makes each answer come later than it could.
func (d *discovery) setLate(late time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.late = late
	d.rec.add("%s: answers take %v from now on", d.name, late)
}

// moveAway ends the service at its address: no new connections, and the open ones end after 1.5 s.
func (d *discovery) moveAway() {
	d.rec.add("%s: accepts no new connections", d.name)
	d.ln.Close()
	time.AfterFunc(1500*time.Millisecond, func() { d.server.Close() })
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after := int64(-1)
	if text := r.URL.Query().Get("after"); text != "" {
		after, _ = strconv.ParseInt(text, 10, 64)
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	began := time.Now()
	end := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	for waiting := after >= 0; waiting; {
		d.mu.Lock()
		news, newer := d.news, d.version > after
		d.mu.Unlock()
		if newer {
			break
		}
		select {
		case <-news:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	d.mu.Lock()
	late := d.late
	d.mu.Unlock()
	select {
	case <-time.After(late):
	case <-r.Context().Done():
		d.rec.add("%s: the node gave up call %s after %v", d.name, r.URL.RequestURI(), time.Since(began).Round(time.Millisecond))
		return
	}
	d.mu.Lock()
	answer := d.since(after)
	d.mu.Unlock()
	body, err := json.Marshal(answer)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
	if len(answer.Servers) > 0 {
		d.rec.add("%s: told version %d with %d entries (call %s)", d.name, answer.Version, len(answer.Servers), r.URL.RequestURI())
	}
}

// connectionsOfHost is the number of connections that fill a host.
const connectionsOfHost = 25

// arrival is an OPEN line that a host got.
type arrival struct {
	host  string
	id    string
	first time.Time // of its first byte
}

// host is a host of the platform's protocol.
type host struct {
	id   string
	addr string
	rec  *record
	ln   net.Listener

	mu       sync.Mutex
	arrivals []arrival
	open     map[string]int                       // open connections by request id
	draining bool                                 // answers BUSY
	up       map[net.Conn]bool                    // connections after UP
	delay    time.Duration                        // before UP
	onLine   func(conn net.Conn, id, line string) // answers a client's line; nil: returns a line at once
}

func newHost(rec *record, id string) *host {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	h := &host{id: id, addr: ln.Addr().String(), rec: rec, ln: ln, up: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go h.serve(conn)
		}
	}()
	return h
}

func (h *host) entry() entry {
	return entry{ID: h.id, Addr: h.addr, Zone: "a", Kind: "m1", State: "SERVING", Weight: 1}
}

// set changes the host's fields, or reads them.
func (h *host) set(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// newHosts starts hosts with the ids s-1, s-2 and so on.
func newHosts(rec *record, count int) (hosts []*host, entries []entry) {
	for number := 1; number <= count; number++ {
		h := newHost(rec, fmt.Sprintf("s-%d", number))
		hosts = append(hosts, h)
		entries = append(entries, h.entry())
	}
	return hosts, entries
}

// report answers a probe with the load that the open connections make.
func (h *host) report(conn net.Conn) {
	h.mu.Lock()
	load := float64(len(h.up)) / connectionsOfHost
	h.mu.Unlock()
	fmt.Fprintf(conn, "PONG latency_ms=5,util=%.3f,x0=%.3f\r\n", min(load, 1), load)
}

// drain sends all clients away at once, as a draining host may, and turns new ones away from now on.
func (h *host) drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
	h.rec.add("host %s: sends its %d clients away and answers BUSY from now on", h.id, len(h.up))
	for conn := range h.up {
		fmt.Fprint(conn, "MOVE\r\n")
		conn.Close()
	}
}

// arrivalsAfter returns the OPEN lines whose first byte came after a time.
func (h *host) arrivalsAfter(t time.Time) (late []arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.arrivals {
		if a.first.After(t) {
			late = append(late, a)
		}
	}
	return late
}

func (h *host) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if _, err := reader.Peek(1); err != nil {
		return
	}
	first := time.Now()
	line, err := reader.ReadString('\n')
	for err == nil && (line == "PING\r\n" || line == "STATS\r\n") {
		h.report(conn)
		line, err = reader.ReadString('\n')
	}
	if err != nil {
		return
	}
	words := strings.Fields(line)
	if len(words) != 4 || words[0] != "OPEN" {
		fmt.Fprint(conn, "SYNTAX\r\n")
		return
	}
	id := words[1]
	h.mu.Lock()
	h.arrivals = append(h.arrivals, arrival{h.id, id, first})
	draining, delay, onLine := h.draining, h.delay, h.onLine
	h.mu.Unlock()
	h.rec.add("host %s: got %s", h.id, strings.TrimSpace(line))
	if draining {
		fmt.Fprint(conn, "BUSY\r\n")
		return
	}
	time.Sleep(delay)
	fmt.Fprintf(conn, "UP %s-%s\r\n", h.id, id)
	h.set(func() { h.up[conn] = true })
	defer h.set(func() { delete(h.up, conn) })
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if onLine != nil {
			onLine(conn, id, strings.TrimRight(line, "\r\n"))
		} else {
			fmt.Fprintf(conn, "OK %s", line)
		}
	}
}

// settings returns the settings of a small deployment.
func settings() map[string]any {
	class := func(name string) map[string]any {
		return map[string]any{
			"aimS": 0.8, "dedupScope": "all", "dedupWindowS": 5.0, "giveUpS": 4.8, "idempotency": "safe",
			"lateShare": 0.0, "name": name, "stream": true, "value": 1.0,
		}
	}
	return map[string]any{
		"az": "a", "clients": map[string]any{"marksRetry": false},
		"customers": []any{map[string]any{"fraction": 1.0, "name": "acme", "quotaRps": 10.0}},
		"dcs":       []any{"a"},
		"domain": map[string]any{
			"groups": false, "hint": "", "messageAimS": []any{0.15}, "mode": "proxy", "notes": "", "parkS": 0.0,
			"reportX0": "", "reportX1": "", "tellsDelay": true, "tellsLoad": false,
			"tenantQuotaConnections": []any{100.0},
		},
		"goal":      map[string]any{"whole": 0.35, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.35},
		"groupSize": 1, "index": 0,
		"invariants": map[string]any{
			"answerSlackS": 0.02, "askWithinS": 10.0, "coldShare": 0.14, "fallMultiple": 4.0, "fallS": 2.0,
			"rampTimeS": 24.0, "stopSendingWithinS": 3.0,
		},
		"kinds":          []any{"m1"},
		"loadReport":     map[string]any{"fields": []any{"recent_ms", "utilization", "x0"}, "via": "on_probe"},
		"membershipMode": "on_request", "overShareWorth": 0.05,
		"policyLimits": map[string]any{
			"connectTimeoutS": 0.075, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "keepaliveS": 60.0,
			"maxOpen": 1000000, "maxRetryAfterS": 2.0, "mayCancel": true, "mayProbe": true, "mayTell": false,
			"retryAfter": true, "secondCopies": false, "sendCap": 4, "streamsPerConn": 1048576,
		},
		"profiles": []any{class("field")},
		"roundS":   0.005, "serviceType": "conn", "stage": 0,
		"tariffs": map[string]any{
			"connection": 0.0, "crossZone": 0.03, "handshake": 0.0, "lateFail": 0.049, "membershipMode": 0.005,
			"moves": 0.01, "origin": 0.0, "peer": 0.01, "probe": 0.0019, "waste": 0.017,
		},
		"tiers": []any{"edge"}, "weightSource": "off", "worthBy": "request",
	}
}

// platform starts nodes and knows their files.
type platform struct {
	rec    *record
	root   string // of the repository
	run    string // command of the deploy file
	dir    string // temporary folder
	listen string
	mgmt   string
	config map[string]any
	nodes  []*node
}

type node struct {
	name string
	cmd  *exec.Cmd
	mgmt string
	done chan struct{}
}

func newPlatform(rec *record, known *discovery, settings map[string]any) *platform {
	root, err := os.Getwd()
	must(err)
	dir, err := os.MkdirTemp("", "review")
	must(err)
	must(os.Mkdir(filepath.Join(dir, "tmp"), 0o700))
	return &platform{
		rec: rec, root: root, run: deployCommand(root, "run"), dir: dir, listen: freeAddress(), mgmt: freeAddress(),
		config: map[string]any{
			"name": "n1", "discovery": known.addr, "seed": "8c1f30d27a5be964",
			"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 512},
			"known":  known.list(), "settings": settings,
		},
	}
}

// deployCommand returns a command of the deploy file.
func deployCommand(root, key string) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	must(err)
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, key+" = "); ok {
			command, err := strconv.Unquote(value)
			must(err)
			return command
		}
	}
	panic("the deploy file has no " + key)
}

// freeAddress returns a free loopback address.
func freeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer ln.Close()
	return ln.Addr().String()
}

// writeConfig writes the configuration as a whole.
func (p *platform) writeConfig() string {
	path := filepath.Join(p.dir, "config.json")
	p.config["listen"] = p.listen
	p.config["mgmt"] = p.mgmt
	text, err := json.MarshalIndent(p.config, "", " ")
	must(err)
	must(os.WriteFile(path+".new", text, 0o600))
	must(os.Rename(path+".new", path))
	return path
}

// start starts the program as the deploy file says, with a second address for operators.
func (p *platform) start(name string) *node {
	config := p.writeConfig()
	mgmt := freeAddress()
	log, err := os.Create(filepath.Join(p.dir, name+".log"))
	must(err)
	cmd := exec.Command("/bin/sh", "-c", p.run)
	cmd.Dir = p.root
	cmd.Env = append(os.Environ(), "TMPDIR="+filepath.Join(p.dir, "tmp"), "GW_NAME=n1", "GW_LISTEN="+p.listen,
		"GW_DISCOVERY="+p.config["discovery"].(string), "GW_CONFIG="+config, "GW_MGMT="+mgmt)
	cmd.Stderr = log
	must(cmd.Start())
	n := &node{name: name, cmd: cmd, mgmt: mgmt, done: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		p.rec.add("node %s: ended (%v)", name, err)
		close(n.done)
	}()
	p.nodes = append(p.nodes, n)
	p.endAtSignal(n)
	p.rec.add("node %s: started", name)
	for deadline := time.Now().Add(15 * time.Second); !n.ready(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			panic("node " + name + " is not ready in time")
		}
	}
	p.rec.add("node %s: says that it is ready", name)
	return n
}

// endAtSignal ends a node if this program is told to end.
func (p *platform) endAtSignal(n *node) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		n.cmd.Process.Kill()
		time.Sleep(100 * time.Millisecond)
		os.Exit(couldNot)
	}()
}

func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + n.mgmt + "/api/ready")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (p *platform) signal(n *node, sent syscall.Signal) {
	p.rec.add("node %s: gets %v", n.name, sent)
	n.cmd.Process.Signal(sent)
}

// end kills the nodes that still run, appends their logs to the record and removes the temporary folder.
func (p *platform) end() {
	for _, n := range p.nodes {
		select {
		case <-n.done:
		default:
			n.cmd.Process.Kill()
			<-n.done
		}
		log, _ := os.ReadFile(filepath.Join(p.dir, n.name+".log"))
		p.rec.mu.Lock()
		fmt.Fprintf(p.rec.file, "\nlog of node %s:\n%s", n.name, log)
		p.rec.mu.Unlock()
	}
	os.RemoveAll(p.dir)
}

// client is a client's connection.
type client struct {
	id     string
	conn   net.Conn
	reader *bufio.Reader
}

// open connects to the node and sends an OPEN line.
func (p *platform) open(id, class string, fields string) *client {
	conn, err := net.Dial("tcp", p.listen)
	must(err)
	fmt.Fprintf(conn, "OPEN %s %s c=%s,t=acme,d=4800%s\r\n", id, id, class, fields)
	p.rec.add("client %s: sent OPEN", id)
	return &client{id: id, conn: conn, reader: bufio.NewReader(conn)}
}

// answer returns the first line that the client gets, "" if there is none within 6 s.
func (p *platform) answer(c *client) string {
	c.conn.SetReadDeadline(time.Now().Add(6 * time.Second))
	line, err := c.reader.ReadString('\n')
	c.conn.SetReadDeadline(time.Time{})
	p.rec.add("client %s: got %q (%v)", c.id, line, err)
	return strings.TrimRight(line, "\r\n")
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
