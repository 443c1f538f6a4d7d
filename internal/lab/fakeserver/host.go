// Package fakeserver plays the parties around a node on loopback sockets, after a fleet's description: servers that speak the
// platform's protocol, the list of servers, the session store. Unlike the planner's model it has no shares and averages:
// each server works through single jobs on its cores, and answers a line when the line's job would be done.
package fakeserver

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

const (
	tick     = 20 * time.Millisecond // between looks at a server's background work
	mostLine = 4096
)

// Store is the session store: one queue for all.
type Store struct {
	mu   sync.Mutex
	free time.Time
	conf fleet.Store
}

// call is how long a call takes now.
func (s *Store) call(now time.Time) time.Duration {
	if s.conf.Rate <= 0 {
		return time.Duration(s.conf.Latency)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free.Before(now) {
		s.free = now
	}
	wait := s.free.Sub(now)
	s.free = s.free.Add(time.Duration(1e9 / s.conf.Rate))
	return wait + time.Duration(s.conf.Latency)
}

// Host is one stand-in server.
type Server struct {
	ID   string
	Kind *fleet.MachineKind
	Zone int

	fleet  *Fleet
	speed  float64
	cold   bool
	mu     sync.Mutex
	rng    *rand.Rand
	free   []time.Time // when each core is free again
	jobs   time.Time   // background jobs are drawn up to here
	load   float64     // of the connections that stand, and of groups: yardstick cores
	work   float64     // core seconds since the last tick
	asked  float64
	report string
	next   time.Time // refresh of the report
	setups int
	conns  map[*conn]struct{}
	groups map[uint64]int
	budget []spent
	dead   bool
	listen []net.Listener // by centre of the caller
	socks  map[net.Conn]struct{}
}

type spent struct {
	at   time.Time
	load float64
}

type conn struct {
	sock   net.Conn
	group  uint64
	load   float64
	wander workload.LoadProcess
	change time.Time
}

func (f *Fleet) newHost(id string, k *fleet.MachineKind, centre int, cold bool, seed uint64) (*Server, error) {
	h := &Server{ID: id, Kind: k, Zone: centre, fleet: f, cold: cold, rng: rand.New(rand.NewPCG(seed, 8)), conns: map[*conn]struct{}{},
		groups: map[uint64]int{}, socks: map[net.Conn]struct{}{}, jobs: f.Start, free: make([]time.Time, max(1, int(k.Cores+0.5)))}
	// Cores that are no whole number are made up for by their speed.
	h.speed = k.Speed * max(0.3, 1+k.SpeedSpread*h.rng.NormFloat64()) * k.Cores / float64(len(h.free))
	h.report = h.reportLine(0)
	for c := range f.Description.Centres {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		h.listen = append(h.listen, l)
		way := f.Description.OneWay(c, centre)
		go h.accept(l, way)
	}
	return h, nil
}

func (h *Server) accept(l net.Listener, way time.Duration) {
	for {
		s, err := l.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		if h.dead {
			s.Close()
		} else {
			h.socks[s] = struct{}{}
			go h.serve(s, way)
		}
		h.mu.Unlock()
	}
}

func (h *Server) warm(now time.Time) float64 {
	c := h.fleet.Description.SlowStart
	age := now.Sub(h.fleet.Start)
	if !h.cold || age >= time.Duration(c.WarmUp) {
		return 1
	}
	return c.Fraction + (1-c.Fraction)*age.Seconds()/c.WarmUp.Seconds()
}

// job takes a core for some work and returns when it is done. The lock is held.
func (h *Server) job(work float64, at time.Time) time.Time {
	best := 0
	for i, t := range h.free {
		if t.Before(h.free[best]) {
			best = i
		}
	}
	begin := h.free[best]
	if begin.Before(at) {
		begin = at
	}
	h.free[best] = begin.Add(time.Duration(work / (h.speed * h.warm(at)) * 1e9))
	return h.free[best]
}

// wait is when a message that comes now is answered: behind all work that came before. It counts among the connections'
// own work and adds none.
func (h *Server) wait(now time.Time) time.Time {
	h.draw(now)
	begin := h.free[0]
	for _, t := range h.free {
		if t.Before(begin) {
			begin = t
		}
	}
	if begin.Before(now) {
		begin = now
	}
	return begin.Add(time.Duration(h.fleet.Description.General.MessageWork.Seconds() / (h.speed * h.warm(now)) * 1e9))
}

// draw has the connections' work come up to now, as jobs at random times.
func (h *Server) draw(now time.Time) {
	size := h.fleet.Description.General.MessageWork.Seconds()
	for h.load > 1e-9 {
		next := h.jobs.Add(time.Duration(h.rng.ExpFloat64() * size / h.load * 1e9))
		if next.After(now) {
			break // the next gap is drawn anew: it has no memory
		}
		h.jobs = next
		h.job(size, next)
		h.work += size
	}
	h.jobs = now
}

// advance looks after what changes with time: the connections' loads, the report, work piled up.
func (h *Server) advance(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		return
	}
	h.draw(now)
	for k := range h.conns {
		if !k.change.IsZero() && now.After(k.change) {
			h.swing(k, now)
		}
	}
	able := float64(len(h.free)) * h.speed * h.warm(now)
	h.asked += (h.work/(able*tick.Seconds()) - h.asked) * 0.085 // as slow as the model's mean over steps
	h.work = 0
	if now.After(h.next) {
		h.next = now.Add(time.Duration(h.fleet.Description.LoadReports.Interval))
		h.report = h.reportLine(h.asked)
	}
	if s := time.Duration(h.Kind.ShedAfter); s > 0 && h.piled(now) > s {
		h.shed()
	}
	for len(h.budget) > 0 && now.Sub(h.budget[0].at) > time.Duration(h.fleet.Description.SlowStart.OverloadTime) {
		h.budget = h.budget[1:]
	}
}

// piled is how long the work in hand takes.
func (h *Server) piled(now time.Time) time.Duration {
	sum := time.Duration(0)
	for _, t := range h.free {
		sum += max(0, t.Sub(now))
	}
	return sum / time.Duration(len(h.free))
}

func (h *Server) shed() {
	var worst *conn
	for k := range h.conns {
		if worst == nil || k.load > worst.load {
			worst = k
		}
	}
	if worst != nil {
		h.fleet.count(func(s *Stats) { s.Sheds++ })
		h.remove(worst)
		reset(worst.sock)
	}
}

func (h *Server) reportLine(asked float64) string {
	noise := func() float64 { return max(0.1, 1+h.fleet.Description.LoadReports.Noise*h.rng.NormFloat64()) }
	return fmt.Sprintf("latency_ms=%.2f,util=%.3f,x0=%.3f", 1000*h.fleet.Description.General.MessageWork.Seconds()/h.speed,
		min(1, asked)*noise(), asked*noise())
}

func (h *Server) swing(k *conn, now time.Time) {
	x, lasts := k.wander.Next()
	x *= h.fleet.Description.CoreLoad()
	h.load += x - k.load
	k.load = x
	k.change = time.Time{}
	if lasts > 0 {
		k.change = now.Add(lasts)
	}
}

func (h *Server) remove(k *conn) {
	if _, ok := h.conns[k]; !ok {
		return
	}
	delete(h.conns, k)
	h.load -= k.load
	if k.group != 0 && h.fleet.Description.Group.Cost > 0 {
		if h.groups[k.group]--; h.groups[k.group] == 0 {
			delete(h.groups, k.group)
			h.load -= h.fleet.Description.Group.Cost * h.fleet.Description.CoreLoad()
		}
	}
	if len(h.conns) == 0 {
		h.load = 0
	}
}

// serve speaks with one connection of a node.
func (h *Server) serve(s net.Conn, way time.Duration) {
	defer func() {
		h.mu.Lock()
		delete(h.socks, s)
		h.mu.Unlock()
		s.Close()
	}()
	r := bufio.NewReaderSize(s, mostLine)
	first, err := r.ReadSlice('\n')
	if err != nil {
		return
	}
	line := strings.TrimRight(string(first), "\r\n")
	if line == "PING" || line == "STATS" {
		h.probes(s, r, line, way)
		return
	}
	words := strings.Split(line, " ")
	if len(words) != 4 || words[0] != "OPEN" {
		fmt.Fprint(s, "SYNTAX\r\n")
		return
	}
	fields := map[string]string{}
	for _, kv := range strings.Split(words[3], ",") {
		k, v, _ := strings.Cut(kv, "=")
		fields[k] = v
	}
	class := -1
	for i, c := range h.fleet.Description.Classes {
		if c.Name == fields["c"] {
			class = i
		}
	}
	if class < 0 {
		fmt.Fprint(s, "ERR\r\n")
		return
	}
	time.Sleep(3 * way) // the connection's two ways, and the line's
	k := &conn{sock: s}
	key, _ := strconv.ParseUint(words[2], 16, 64)
	k.group, _ = strconv.ParseUint(fields["g"], 16, 64)
	if !h.setup(s, k, class, key, way) {
		return
	}
	defer func() {
		h.mu.Lock()
		h.remove(k)
		h.mu.Unlock()
	}()
	h.answer(s, r, way)
}

// setup does the work of a new connection and says UP, or BUSY.
func (h *Server) setup(s net.Conn, k *conn, class int, key uint64, way time.Duration) bool {
	c := &h.fleet.Description.Classes[class]
	h.mu.Lock()
	if h.dead || len(h.conns)+h.setups >= h.Kind.Connections || h.setups >= h.Kind.SetupQueue {
		h.mu.Unlock()
		time.Sleep(way)
		fmt.Fprint(s, "BUSY\r\n")
		return false
	}
	h.setups++
	h.mu.Unlock()
	time.Sleep(h.fleet.store.call(time.Now()))
	h.mu.Lock()
	now := time.Now()
	h.draw(now)
	work := c.SetupWork.Seconds()
	done := h.job(work, now)
	h.work += work
	h.mu.Unlock()
	time.Sleep(time.Until(done))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setups--
	if h.dead {
		return false
	}
	now = time.Now()
	k.wander = workload.NewLoadProcess(h.fleet.seed^key*3, c, 0)
	h.conns[k] = struct{}{}
	if k.group != 0 && h.fleet.Description.Group.Cost > 0 {
		if h.groups[k.group]++; h.groups[k.group] == 1 {
			h.load += h.fleet.Description.Group.Cost * h.fleet.Description.CoreLoad()
		}
	}
	h.swing(k, now)
	if h.push(c, now) {
		go h.Kill() // pushed over while cold: it stays down
		return false
	}
	go func() { // the answer's way
		time.Sleep(way)
		fmt.Fprintf(s, "UP %x\r\n", key)
	}()
	return true
}

// push books a new connection of a cold server and reports whether that was too much.
func (h *Server) push(c *fleet.Class, now time.Time) bool {
	if !h.cold || h.warm(now) == 1 {
		return false
	}
	conf := h.fleet.Description
	h.budget = append(h.budget, spent{now, c.Load * conf.CoreLoad()})
	sum := 0.0
	for _, b := range h.budget {
		if now.Sub(b.at) <= time.Duration(conf.SlowStart.OverloadTime) {
			sum += b.load
		}
	}
	able := float64(len(h.free)) * h.speed * h.warm(now) / conf.SlowStart.WarmUp.Seconds() * conf.SlowStart.OverloadTime.Seconds()
	if sum <= conf.SlowStart.OverloadMultiple*able+4*conf.MeanLoad()*conf.CoreLoad() {
		return false
	}
	h.fleet.count(func(s *Stats) { s.Overloaded++ })
	return true
}

// answer returns each line when its turn has come. What waits is bounded by the lines a client sends before it reads.
func (h *Server) answer(s net.Conn, r *bufio.Reader, way time.Duration) {
	type due struct {
		at   time.Time
		line string
	}
	out := make(chan due, 256)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for d := range out {
			time.Sleep(time.Until(d.at))
			if _, err := s.Write([]byte(d.line)); err != nil {
				s.Close()
				for range out {
				}
				return
			}
		}
	}()
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			break
		}
		now := time.Now()
		h.mu.Lock()
		at := h.wait(now).Add(2 * way)
		h.mu.Unlock()
		out <- due{at, string(line)}
	}
	close(out)
	s.Close()
	<-done
}

// probes answers PING and STATS, each at the price of a probe.
func (h *Server) probes(s net.Conn, r *bufio.Reader, line string, way time.Duration) {
	for {
		time.Sleep(2 * way)
		h.mu.Lock()
		now := time.Now()
		h.draw(now)
		work := h.fleet.Description.LoadReports.HealthCheckWork.Seconds()
		h.job(work, now)
		h.work += work
		report := h.report
		h.mu.Unlock()
		text := "PONG\r\n"
		if line == "STATS" {
			text = "PONG " + report + "\r\n"
		}
		if _, err := s.Write([]byte(text)); err != nil {
			return
		}
		next, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(string(next), "\r\n")
	}
}

// Kill ends the server as a process that dies: its connections reset, new ones are refused.
func (h *Server) Kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		return
	}
	h.dead = true
	for _, l := range h.listen {
		l.Close()
	}
	for s := range h.socks {
		reset(s)
	}
	h.fleet.changed(h)
}

func reset(s net.Conn) {
	if t, ok := s.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	s.Close()
}
