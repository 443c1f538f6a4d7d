package upstream

import (
	"bytes"
	"container/list"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/line"

	"go.uber.org/zap"
)

// fieldNames are the names that hosts give to a report's values, where they differ from those of the settings.
var fieldNames = map[string]string{"outstanding": "inflight", "backlog": "queue", "utilization": "util",
	"recent_ms": "latency_ms", "throughput": "qps", "errors_per_s": "eps"}

// prober holds the one connection that a host's probes share; each new one would cost the host a handshake.
type prober struct {
	cluster *Cluster
	id      choice.ServerID
	addr    string
	conn    *loop.Conn
	up      bool
	in      line.Reader
	done    func(choice.Outcome, []float64) // the probe in hand; nil: none
	stop    func()
	place   *list.Element // among those that have a connection
}

// CheckHealth asks a host for its load report.
func (c *Cluster) CheckHealth(h edge.ServerEntry, by time.Time, done func(choice.Outcome, []float64)) {
	p := c.probes[h.ID]
	if p == nil || p.addr != h.Addr {
		if p != nil {
			p.drop(choice.ConnectFailed)
		}
		p = &prober{cluster: c, id: h.ID, addr: h.Addr}
		c.probes[h.ID] = p
	}
	if p.done != nil { // the core has one probe out a host; a further one can't be told from it
		done(choice.NeverSent, nil)
		return
	}
	p.done = done
	p.stop = c.loop.At(by, func() { p.drop(choice.TimedOut) })
	if p.conn == nil {
		c.endUnused(1)
		p.in = line.Reader{}
		p.conn = c.loop.Dial(h.Addr, by, p)
		p.place = c.connected.PushBack(p)
		return
	}
	c.connected.MoveToBack(p.place)
	if p.up {
		p.conn.Write([]byte("STATS\r\n"))
	}
}

// KeepHealthChecks sets how many connections for probes are kept, beside those with a probe under way. Guards against a list with more
// hosts than the node has descriptors, whose probes would leave none for clients. 0: there is no bound.
func (c *Cluster) KeepHealthChecks(most int) {
	c.mostProbes = most
	c.endUnused(0)
}

// endUnused ends connections that are not in use, the longest unused first, until there is room for so many more.
func (c *Cluster) endUnused(more int) {
	if c.mostProbes <= 0 {
		return
	}
	for e := c.connected.Front(); e != nil && c.connected.Len()+more > c.mostProbes; {
		p := e.Value.(*prober)
		e = e.Next()
		if p.done == nil {
			p.hangUp()
		}
	}
}

// Forget closes the probe connections of hosts that are gone.
func (c *Cluster) Forget(id choice.ServerID) {
	if p := c.probes[id]; p != nil {
		p.drop(choice.ConnectFailed)
		delete(c.probes, id)
	}
}

// ForgetOthers closes the probe connections of all hosts but these: a whole list says what is gone by not naming it.
func (c *Cluster) ForgetOthers(hosts []edge.ServerEntry) {
	named := map[choice.ServerID]bool{}
	for _, h := range hosts {
		named[h.ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(c.probes)) {
		if !named[id] {
			c.Forget(id)
		}
	}
}

func (p *prober) drop(o choice.Outcome) {
	p.hangUp()
	p.finish(o, nil)
}

// hangUp ends the connection, where there is one.
func (p *prober) hangUp() {
	if p.conn != nil {
		p.conn.End()
		p.unplace()
	}
}

// unplace takes note that there is no connection any more.
func (p *prober) unplace() {
	p.conn, p.up = nil, false
	p.cluster.connected.Remove(p.place)
	p.place = nil
}

func (p *prober) finish(o choice.Outcome, report []float64) {
	if done := p.done; done != nil {
		p.done = nil
		p.stop()
		done(o, report)
	}
}

// OnConnect sends the probe.
func (p *prober) OnConnect() {
	p.up = true
	p.conn.Write([]byte("STATS\r\n"))
}

// OnData takes the answer.
func (p *prober) OnData(b []byte) {
	for len(b) > 0 {
		l, rest, err := p.in.Next(b)
		if err != nil {
			zap.L().Warn("probe_line_too_long", zap.String("host", string(p.id)))
			p.drop(choice.Failed)
			return
		}
		if l == nil {
			return
		}
		b = rest
		word, info, _ := bytes.Cut(line.Trim(l), []byte(" "))
		switch {
		case p.done == nil:
			zap.L().Warn("probe_line_unasked", zap.String("host", string(p.id)))
			p.drop(choice.Failed)
			return
		case string(word) == "PONG":
			p.finish(choice.Served, p.cluster.report(info))
		case string(word) == "ERR":
			p.finish(choice.Failed, p.cluster.report(info))
		case string(word) == "BUSY":
			p.finish(choice.Full, p.cluster.report(info))
		default:
			p.drop(choice.Failed)
			return
		}
	}
}

// OnEnd fails the probe in hand.
func (p *prober) OnEnd(err error) {
	o := choice.Reset
	switch {
	case loop.IsLocal(err):
		o = choice.NeverSent
	case !p.up:
		o = choice.ConnectFailed
	}
	if err == io.EOF {
		p.conn.End()
	}
	p.unplace()
	p.finish(o, nil)
}

// OnDrained is of no use here.
func (p *prober) OnDrained() {}

func (r *Request) report(info []byte) []float64 { return r.cluster.report(info) }

// report reads "name=value,name=value" into the order of the settings. A value that is absent, no number or
// below none is not a number; without any the report is nil.
func (c *Cluster) report(info []byte) []float64 {
	if len(info) == 0 {
		return nil
	}
	var out []float64
	for i, name := range c.fields {
		from, to := line.Find(info, name)
		if from < 0 {
			from, to = line.Find(info, fieldNames[name])
		}
		if from < 0 {
			continue
		}
		if x, err := strconv.ParseFloat(string(info[from:to]), 64); err == nil && x >= 0 && !math.IsInf(x, 0) {
			if out == nil {
				out = make([]float64, len(c.fields))
				for j := range out {
					out[j] = math.NaN()
				}
			}
			out[i] = x
		}
	}
	return out
}
