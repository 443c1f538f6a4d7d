package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

const (
	dialTime     = time.Second
	rudeTime     = 3*time.Second + time.Second // in which a client that can't be served has its error or its end
	silentTime   = 7*time.Second + 1500*time.Millisecond
	meanLife     = 1500 * time.Millisecond
	longestLife  = 6 * time.Second
	restsFor     = 2500 * time.Millisecond
	settlesAfter = 700 * time.Millisecond // the laboratory's two sides of a connection know the same
)

// arrivals brings clients until the run is over.
func (l *lab) arrivals(rng *rand.Rand) {
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / l.rate() * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-l.done:
			return
		}
		n, err := l.pick(rng)
		if err != nil {
			l.judge.saw("clients without a node")
			continue
		}
		c := &client{lab: l, node: n, rng: rand.New(rand.NewPCG(rng.Uint64(), 3))}
		l.wait.Add(1)
		go func() {
			defer l.wait.Done()
			c.come()
		}()
	}
}

// pick is what the front does.
func (l *lab) pick(rng *rand.Rand) (*node, error) {
	var all []*node
	for _, n := range l.nodes {
		n.mu.Lock()
		if n.admitted {
			all = append(all, n)
		}
		n.mu.Unlock()
	}
	if len(all) == 0 {
		return nil, errNoNode
	}
	return all[rng.IntN(len(all))], nil
}

type client struct {
	lab  *lab
	node *node
	rng  *rand.Rand
	conn *net.TCPConn
	in   *bufio.Reader
}

// come is one connection of a client.
func (c *client) come() {
	d, err := net.DialTimeout("tcp", c.node.addr, dialTime)
	if err != nil {
		c.lab.judge.saw("connections refused")
		return
	}
	c.conn, c.in = d.(*net.TCPConn), bufio.NewReaderSize(d, 8192)
	defer c.conn.Close()
	switch x := c.rng.Float64(); {
	case x < 0.03:
		c.nonsense()
	case x < 0.06:
		c.rests()
	default:
		c.asks()
	}
}

var nonsense = []string{"HELLO world\r\n", "OPEN\r\n", "OPEN 1 2 c=none\r\n", "OPEN 0123456789abcdef 01 c=read,d=x\r\n", "OPEN 0123456789abcdef 01 c=read\r\nmore\r\n",
	"OPEN 0123456789abcdef 01 c=re", "\r\n", "\x00\x01\x02", "PING\r\nOPEN 0123", "OPEN 0123456789abcdef 01 c=read,d=-5\r\n"}

// nonsense sends what can't be served: an error or an end has to come.
func (c *client) nonsense() {
	began := time.Now()
	fmt.Fprint(c.conn, nonsense[c.rng.IntN(len(nonsense))])
	c.conn.SetReadDeadline(began.Add(rudeTime))
	if _, err := io.Copy(io.Discard, c.conn); isTimeout(err) && !c.node.excused(began, time.Now()) {
		c.lab.judge.broken(Answer, "%s: a client that can't be served has no end after %v", c.node.name, rudeTime)
	}
	c.lab.judge.saw("clients with nonsense")
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// rests pings, rests about as long as a node lets it, and asks in the moment in which it may be ended.
func (c *client) rests() {
	began := time.Now()
	if c.rng.IntN(2) == 0 {
		fmt.Fprint(c.conn, "PING\r\n")
		c.conn.SetReadDeadline(began.Add(rudeTime))
		if line, err := c.in.ReadString('\n'); line != "PONG\r\n" && !c.node.excused(began, time.Now()) {
			c.lab.judge.saw("rests ended before PONG: " + fmt.Sprint(err))
			return
		}
	}
	time.Sleep(time.Until(began.Add(restsFor + time.Duration(c.rng.IntN(8)-4)*time.Millisecond)))
	r := c.request()
	c.lab.judge.saw("requests across the end of a rest")
	fmt.Fprint(c.conn, c.line(r)) // by then the node may have ended the connection: then this is nobody's
	c.conn.SetReadDeadline(time.Now().Add(rudeTime))
	c.in.ReadString('\n')
}

// request draws a request that nobody knows of yet.
func (c *client) request() *request {
	x, k := c.rng.Float64(), 0
	for ; k < len(classes)-1 && x > classes[k].part; k++ {
		x -= classes[k].part
	}
	c.node.mu.Lock()
	run := c.node.run
	c.node.mu.Unlock()
	return &request{id: fmt.Sprintf("%016x", c.rng.Uint64()), class: &classes[k], node: c.node, run: run}
}

func (c *client) line(r *request) string {
	return fmt.Sprintf("OPEN %s %016x c=%s,t=all,d=%d\r\n", r.id, c.rng.Uint64(), r.class.name, r.class.patience.Milliseconds())
}

// asks makes a request and uses the connection that it gets.
func (c *client) asks() {
	r := c.request()
	line := c.line(r)
	if c.rng.IntN(6) == 0 { // in pieces
		for len(line) > 1 {
			n := 1 + c.rng.IntN(min(len(line)-1, 20))
			if _, err := io.WriteString(c.conn, line[:n]); err != nil {
				return
			}
			line = line[n:]
			time.Sleep(time.Duration(c.rng.IntN(40)) * time.Millisecond)
		}
	}
	r.sent = time.Now()
	r.deadline = r.sent.Add(r.class.patience)
	c.lab.judge.asked(r)
	if _, err := io.WriteString(c.conn, line); err != nil {
		c.lab.judge.leaves(r)
		return
	}
	if c.rng.IntN(7) == 0 {
		c.leavesEarly(r)
		return
	}
	c.conn.SetReadDeadline(r.deadline.Add(answerSlack + 2*time.Second))
	answer, err := c.in.ReadString('\n')
	word, rest, _ := strings.Cut(strings.TrimRight(answer, "\r\n"), " ")
	switch {
	case err != nil:
		c.unanswered(r, answer, err)
	case word == "UP":
		c.lab.judge.answers(r, "UP")
		if y := c.lab.judge.owns(r, rest); y != nil {
			c.stands(r, y)
		}
	case word == "BUSY" || word == "ERR":
		c.lab.judge.answers(r, word)
	default:
		c.lab.judge.broken(Receipt, "%s: answered %q by %s", r.id, answer, c.node.name)
	}
}

// unanswered is a connection that ended before the answer.
func (c *client) unanswered(r *request, part string, err error) {
	defer c.lab.judge.leaves(r)
	if c.node.excused(r.sent, time.Now()) {
		c.lab.judge.saw("requests lost with a killed process")
		return
	}
	c.lab.judge.broken(Answer, "%s (%s): no answer from %s after %v: %q, %v", r.id, r.class.name, c.node.name, time.Since(r.sent).Round(time.Millisecond), part, err)
}

// leavesEarly ends the connection before its answer, if that does not come first.
func (c *client) leavesEarly(r *request) {
	c.conn.SetReadDeadline(time.Now().Add(time.Duration(c.rng.ExpFloat64() * float64(150*time.Millisecond))))
	if answer, err := c.in.ReadString('\n'); !isTimeout(err) {
		if err == nil {
			word, _, _ := strings.Cut(strings.TrimRight(answer, "\r\n"), " ")
			c.lab.judge.answers(r, word)
		}
		return
	}
	c.lab.judge.saw("clients that left early")
	switch c.rng.IntN(3) {
	case 0:
		c.conn.Close()
	case 1:
		reset(c.conn)
	default:
		c.conn.CloseWrite()
	}
	c.lab.judge.leaves(r)
	c.conn.SetReadDeadline(time.Now().Add(time.Second))
	io.Copy(io.Discard, c.conn)
}

// stands uses a connection that is up: each line has to come back.
func (c *client) stands(r *request, y *try) {
	end := time.Now().Add(min(time.Duration(c.rng.ExpFloat64()*float64(meanLife)), longestLife))
	for k := 0; time.Now().Before(end) && !c.lab.over(); k++ {
		line := fmt.Sprintf("line %d of %s\r\n", k, r.id)
		sent := time.Now()
		if _, err := io.WriteString(c.conn, line); err != nil {
			c.cutOff(r, y, err)
			return
		}
		if !c.comesBack(r, y, line, sent) {
			return
		}
		time.Sleep(time.Duration(50+c.rng.IntN(400)) * time.Millisecond)
	}
	if c.rng.IntN(4) == 0 {
		reset(c.conn)
	}
}

// comesBack waits for a line's return and says whether the connection stands.
func (c *client) comesBack(r *request, y *try, line string, sent time.Time) bool {
	c.conn.SetReadDeadline(sent.Add(silentTime))
	got, err := c.in.ReadString('\n')
	switch {
	case err == nil && got == line:
		m, _ := y.host.now()
		w := y.host.proxy.weather.Load()
		if took := time.Since(sent); took > lineTime && m == well && w.hold == 0 && !c.lab.judge.endedByHost(y) {
			c.lab.judge.broken(Line, "%s: a line came back by %s after %v", r.id, c.node.name, took)
		}
		return true
	case err == nil && got == "MOVE\r\n":
		c.lab.judge.saw("clients moved")
		return false
	case err == nil && strings.HasPrefix(line, strings.TrimRight(got, "\r\n")): // the host's line was cut short: MOVE has to be a line of its own
		if next, _ := c.in.ReadString('\n'); next == "MOVE\r\n" {
			c.lab.judge.saw("clients moved")
			return false
		}
		fallthrough
	case err == nil:
		c.lab.judge.broken(Line, "%s: %q came back by %s for %q", r.id, got, c.node.name, line)
		return false
	case isTimeout(err):
		c.lab.judge.broken(Line, "%s: nothing came back by %s for %v", r.id, c.node.name, silentTime)
		return false
	}
	c.cutOff(r, y, err)
	return false
}

// cutOff judges the end of a connection that was up, without MOVE.
func (c *client) cutOff(r *request, y *try, err error) {
	now := time.Now()
	for end := now.Add(settlesAfter); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if c.lab.judge.endedByHost(y) {
			c.lab.judge.saw("connections ended by their hosts")
			return
		}
	}
	switch {
	case c.node.excused(now.Add(-settlesAfter), now):
		c.lab.judge.saw("connections lost with a killed process")
	case c.node.brokeUnder():
		c.lab.judge.saw("connections broken under a node")
	default:
		c.lab.judge.broken(CutOff, "%s: %s ended the connection to %s without MOVE: %v", r.id, c.node.name, y.host.id, err)
	}
}
