// Package replay plays a load in real time on loopback: real node processes between stand-in clients and a stand-in fleet.
// It measures what the planner forecasts.
package replay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"spurwinch/internal/lab/fakeserver"
	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

// Options are a replay's surroundings.
type Options struct {
	Node         string // the spurwinch program
	Dir          string // for configurations, logs and captures
	Seed         uint64
	Capture      bool // the nodes write their load down in Dir
	Lose         string
	LoseAt       time.Duration
	AllWarmingUp bool
}

// Result is what was measured. Lag is how much later than due the clients' own timers fired, at the 99th percentile: a
// machine that is too busy measures itself.
type Result struct {
	Account     *workload.Account
	Service     float64
	WorstWindow float64
	Classes     []float64
	Tenants     []float64
	Stats       Stats
	Lag         time.Duration
	Captures    []string
}

// Stats counts what the clients saw.
type Stats struct{ Requests, Established, Rejected, Failed, Migrations, Resets, Sheds, Overloaded int }

const (
	messageEvery = 400 * time.Millisecond // of a stand-in client: often enough to see short troubles
	startTime    = 20 * time.Second       // for a node to listen
)

type player struct {
	o       Options
	f       *fleet.Fleet
	l       *workload.Load
	stand   *fakeserver.Fleet
	worths  []float64
	begin   time.Time
	mu      sync.Mutex
	account *workload.Account
	stats   Stats
	lags    []time.Duration
	nodes   []*node
	rng     *rand.Rand
}

type node struct {
	cmd    *exec.Cmd
	addr   string
	centre int
	ended  chan struct{}
	mu     sync.Mutex
	dead   bool
}

// Play replays a load against a stand-in fleet.
func Play(ctx context.Context, f *fleet.Fleet, l *workload.Load, o Options) (r Result, err error) {
	stand, err := fakeserver.New(f, o.Seed, o.AllWarmingUp)
	if err != nil {
		return r, err
	}
	defer stand.Close()
	p := &player{o: o, f: f, l: l, stand: stand, worths: workload.Priorities(f, l), account: workload.NewAccount(f, l.Length), rng: rand.New(rand.NewPCG(o.Seed, 3))}
	p.account.AddDemand(l, p.worths)
	defer func() {
		if e := p.stop(); err == nil {
			err = e
		}
		if o.Capture {
			r.Captures, _ = filepath.Glob(filepath.Join(o.Dir, "load-*.spwcap"))
		}
	}()
	total := 0
	for _, n := range f.Nodes {
		total += n.Count
	}
	for _, n := range f.Nodes {
		for range n.Count {
			if err := p.startNode(n, total); err != nil {
				return r, err
			}
		}
	}
	if err := p.play(ctx); err != nil {
		return r, err
	}
	r.Account, r.Stats = p.account, p.stats
	s := stand.Stats()
	r.Stats.Sheds, r.Stats.Overloaded = s.Sheds, s.Overloaded
	r.Service, r.Classes, r.Tenants = p.account.Service()
	r.Tenants = r.Tenants[:len(f.Editions)]
	r.WorstWindow, _ = p.account.WorstWindow(10 * time.Second)
	r.Lag = percentile(p.lags, 0.99)
	return r, nil
}

// startNode starts the program as the platform does.
func (p *player) startNode(spec fleet.NodePool, total int) error {
	i, centre := len(p.nodes), p.f.Centre(spec.Zone)
	name := fmt.Sprintf("n%d", i)
	conf, err := json.Marshal(map[string]any{"name": name, "listen": "127.0.0.1:0", "discovery": p.stand.Discovery(centre),
		"seed": fmt.Sprintf("%x", workload.Mix(p.o.Seed+uint64(i))), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": spec.Sockets},
		"known": p.stand.Entries(centre), "settings": p.f.SettingsJSON(i, total, spec.Zone)})
	if err != nil {
		return err
	}
	path := filepath.Join(p.o.Dir, name+".json")
	if err := os.WriteFile(path, conf, 0o600); err != nil {
		return err
	}
	args := []string{"-log", "json", "-log-level", "info"}
	if p.o.Capture {
		op := filepath.Join(p.o.Dir, "capture.toml")
		text := fmt.Sprintf("[capture]\npath = %q\nkey = \"a replay on loopback, nobody's data\"\n", filepath.Join(p.o.Dir, "load"))
		if err := os.WriteFile(op, []byte(text), 0o600); err != nil {
			return err
		}
		args = append(args, "-operator", op)
	}
	file, err := os.Create(filepath.Join(p.o.Dir, name+".log"))
	if err != nil {
		return err
	}
	n := &node{cmd: exec.Command(p.o.Node, args...), centre: centre, ended: make(chan struct{})}
	n.cmd.Env = []string{"GW_CONFIG=" + path, "GOMAXPROCS=1"}
	logged, err := n.cmd.StderrPipe()
	if err == nil {
		err = n.cmd.Start()
	}
	if err != nil {
		file.Close()
		return fmt.Errorf("node program %s: %w", p.o.Node, err)
	}
	p.nodes = append(p.nodes, n)
	addr := make(chan string, 1)
	go func() {
		defer close(n.ended)
		defer file.Close()
		in := bufio.NewScanner(logged)
		for in.Scan() {
			fmt.Fprintf(file, "%s\n", in.Text())
			var line struct{ Event, Address string }
			if json.Unmarshal(in.Bytes(), &line) == nil && line.Event == "listening" {
				select {
				case addr <- line.Address:
				default:
				}
			}
		}
		n.cmd.Wait()
	}()
	select {
	case n.addr = <-addr:
		return nil
	case <-n.ended:
		return fmt.Errorf("node %s ended at its start: see %s", name, file.Name())
	case <-time.After(startTime):
		return fmt.Errorf("node %s does not listen after %v: see %s", name, startTime, file.Name())
	}
}

// stop ends the nodes as at a planned stop, so that their captures are whole, and kills what is left.
func (p *player) stop() error {
	var errs []error
	for _, n := range p.nodes {
		n.mu.Lock()
		if !n.dead {
			select {
			case <-n.ended:
				errs = append(errs, errors.New("a node ended by itself during the replay"))
			default:
			}
		}
		if p.o.Capture && !n.dead {
			n.cmd.Process.Signal(syscall.SIGTERM)
		} else {
			n.cmd.Process.Kill()
		}
		n.dead = true
		n.mu.Unlock()
	}
	for _, n := range p.nodes {
		select {
		case <-n.ended:
		case <-time.After(15 * time.Second):
			n.cmd.Process.Kill()
			<-n.ended
		}
	}
	return errors.Join(errs...)
}

func (p *player) play(ctx context.Context) error {
	p.begin = time.Now().Add(300 * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, p.begin.Add(p.l.Length))
	defer cancel()
	var wait sync.WaitGroup
	if c := p.f.Centre(p.o.Lose); c >= 0 {
		t := time.AfterFunc(time.Until(p.begin.Add(p.o.LoseAt)), func() { p.lose(c) })
		defer t.Stop()
	}
	for i := range p.l.Sessions {
		s := &p.l.Sessions[i]
		if !sleep(ctx, p.begin.Add(s.Arrival)) {
			break
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			p.session(ctx, s, p.worths[i])
		}()
	}
	<-ctx.Done()
	wait.Wait()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil
	}
	return ctx.Err()
}

// lose takes a centre away.
func (p *player) lose(centre int) {
	for _, n := range p.nodes {
		if n.centre == centre {
			n.mu.Lock()
			n.dead = true
			n.cmd.Process.Kill()
			n.mu.Unlock()
		}
	}
	for _, h := range p.stand.Servers {
		if h.Zone == centre {
			h.Kill()
		}
	}
}

func sleep(ctx context.Context, until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// pick is a node of the centre that runs, or of another one where none does.
func (p *player) pick(centre int) *node {
	var near, far []*node
	for _, n := range p.nodes {
		n.mu.Lock()
		dead := n.dead
		n.mu.Unlock()
		if dead {
			continue
		}
		if far = append(far, n); centre < 0 || n.centre == centre {
			near = append(near, n)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return near[p.rng.IntN(len(near))]
}

type ending int

const (
	wanted  ending = iota // the session is over
	refused               // come again later
	broken                // broken or moved: come again soon
)

// session plays one client until it wants its connection no longer.
func (p *player) session(ctx context.Context, s *workload.Session, worth float64) {
	end := p.begin.Add(s.Arrival + s.Lifetime)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	rng := rand.New(rand.NewPCG(p.o.Seed, s.Client))
	k := p.f.Clients
	failures := 0
	for ctx.Err() == nil {
		how, after := refused, time.Duration(0)
		if n := p.pick(s.Zone); n != nil {
			how, after = p.connect(ctx, n, s, worth, rng, &failures)
		}
		switch how {
		case wanted:
			return
		case refused:
			wait := max(time.Duration(k.Backoff), after, time.Millisecond)
			if failures++; failures > k.Retries {
				failures, wait = 0, max(wait, time.Duration(k.Pause))
			}
			sleep(ctx, time.Now().Add(wait))
		case broken:
			span := time.Duration(k.ReconnectMax) - time.Duration(k.ReconnectMin)
			sleep(ctx, time.Now().Add(time.Duration(k.ReconnectMin)+time.Duration(rng.Float64()*float64(span))))
		}
	}
}

func (p *player) count(fn func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fn(&p.stats)
}

// connect opens one connection and holds it, a message now and then.
func (p *player) connect(ctx context.Context, n *node, s *workload.Session, worth float64, rng *rand.Rand, failures *int) (ending, time.Duration) {
	class := p.f.Classes[s.Class]
	p.count(func(t *Stats) { t.Requests++ })
	time.Sleep(time.Duration(p.f.Network.Client))
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", n.addr)
	if err != nil {
		if ctx.Err() != nil {
			return wanted, 0
		}
		p.count(func(t *Stats) { t.Failed++ })
		return refused, 0
	}
	defer c.Close()
	patience := time.Duration(class.Deadline)
	tenant := ""
	if s.Tenant >= 0 {
		tenant = ",t=" + p.f.Editions[s.Tenant].Name
	}
	group := ""
	if s.Group != 0 {
		group = fmt.Sprintf(",g=%016x", s.Group)
	}
	fmt.Fprintf(c, "OPEN %016x %016x c=%s%s,d=%d%s\r\n", rng.Uint64(), s.Client, class.Name, tenant, patience.Milliseconds(), group)
	c.SetReadDeadline(earlier(time.Now().Add(patience+100*time.Millisecond), ctxEnd(ctx)))
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
	switch {
	case err != nil && ctx.Err() != nil, err != nil && time.Now().After(ctxEnd(ctx)):
		return wanted, 0
	case word == "UP":
		p.count(func(t *Stats) { t.Established++ })
		*failures = 0
	case word == "BUSY":
		p.count(func(t *Stats) { t.Rejected++ })
		var ms int
		fmt.Sscan(rest, &ms)
		return refused, time.Duration(ms) * time.Millisecond
	default:
		p.count(func(t *Stats) { t.Failed++ })
		return refused, 0
	}
	return p.talk(ctx, c, r, s, worth, time.Duration(class.MessageObjective), rng), 0
}

// talk sends a message each messageEvery, at a phase of its own; one that is answered within the aim stands for that time.
func (p *player) talk(ctx context.Context, c net.Conn, r *bufio.Reader, s *workload.Session, worth float64, aim time.Duration, rng *rand.Rand) ending {
	next := time.Now().Add(time.Duration(rng.Float64() * float64(messageEvery)))
	end := ctxEnd(ctx)
	var out []time.Time // of messages that have no answer yet
	var part []byte
	buf := make([]byte, 512)
	var got []time.Time
	var lags []time.Duration
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.lags = append(p.lags, lags...)
		for _, at := range got {
			p.account.AddServed(at.Sub(p.begin), s.Class, s.Tenant, worth*messageEvery.Seconds())
		}
	}()
	for {
		now := time.Now()
		if !now.Before(end) {
			return wanted
		}
		if !now.Before(next) {
			if len(lags) < 64 {
				lags = append(lags, now.Sub(next))
			}
			if len(out) < 64 {
				out = append(out, now)
				c.SetWriteDeadline(now.Add(time.Second))
				if _, err := c.Write([]byte("SYNC\r\n")); err != nil {
					p.count(func(t *Stats) { t.Resets++ })
					return broken
				}
			}
			next = next.Add(messageEvery)
		}
		c.SetReadDeadline(earlier(next, end))
		n, err := r.Read(buf)
		now = time.Now()
		part = append(part, buf[:n]...)
		for {
			i := bytes.IndexByte(part, '\n')
			if i < 0 {
				break
			}
			line := bytes.TrimRight(part[:i], "\r")
			part = part[i+1:]
			switch {
			case bytes.Equal(line, []byte("MOVE")):
				p.count(func(t *Stats) { t.Migrations++ })
				return broken
			case bytes.Equal(line, []byte("SYNC")) && len(out) > 0:
				if now.Sub(out[0]) <= aim {
					got = append(got, out[0])
				}
				out = out[1:]
			}
		}
		if err != nil && !os.IsTimeout(err) {
			if err == io.EOF && !time.Now().Before(end) {
				return wanted
			}
			p.count(func(t *Stats) { t.Resets++ })
			return broken
		}
	}
}

func ctxEnd(ctx context.Context) time.Time {
	t, _ := ctx.Deadline()
	return t
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
