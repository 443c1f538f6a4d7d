package upstream

import (
	"bytes"
	"container/list"
	"errors"
	"io"
	"maps"
	"slices"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/line"

	"go.uber.org/zap"
)

// statsLine asks a server for its load report.
var statsLine = []byte("STATS\r\n")

// healthChecker holds the one connection that a server's health checks share; each new one would cost the server a
// handshake.
type healthChecker struct {
	cluster     *Cluster
	id          choice.ServerID
	addr        string
	conn        *loop.Conn // nil: there is none
	established bool
	lines       line.Reader
	done        func(choice.Outcome, []float64) // of the health check in flight; nil: none is
	stopTimer   func()
	element     *list.Element // of Cluster.connected; nil without a connection
}

// CheckHealth asks a server for its load report and calls done once, at the deadline at the latest. done gets the
// report in the order of the settings, or nil. A server has one health check in flight at a time; another is never
// sent.
func (c *Cluster) CheckHealth(server edge.ServerEntry, deadline time.Time, done func(choice.Outcome, []float64)) {
	checker := c.checker(server)
	if checker.done != nil { // a second reply on its connection could not be told from the first
		done(choice.NeverSent, nil)
		return
	}
	checker.done = done
	checker.stopTimer = c.loop.At(deadline, func() { checker.drop(choice.TimedOut) })
	if checker.conn == nil {
		c.closeIdleCheckers(1)
		checker.lines = line.Reader{}
		checker.conn = c.loop.Dial(server.Addr, deadline, checker)
		checker.element = c.connected.PushBack(checker)
		return
	}
	c.connected.MoveToBack(checker.element)
	if checker.established {
		checker.conn.Write(statsLine)
	}
}

// checker returns the health checker of a server. One for a former address of the server is dropped.
func (c *Cluster) checker(server edge.ServerEntry) *healthChecker {
	checker := c.checkers[server.ID]
	if checker != nil && checker.addr == server.Addr {
		return checker
	}
	if checker != nil {
		checker.drop(choice.ConnectFailed)
	}
	checker = &healthChecker{cluster: c, id: server.ID, addr: server.Addr}
	c.checkers[server.ID] = checker
	return checker
}

// SetMaxHealthCheckConnections limits the connections for health checks; 0: no limit. Beyond it those without a check
// in flight are closed. Guards against an endpoint list with more servers than the node has descriptors, whose health
// checks would leave none for clients.
func (c *Cluster) SetMaxHealthCheckConnections(maxConnections int) {
	c.maxCheckConnections = maxConnections
	c.closeIdleCheckers(0)
}

// closeIdleCheckers ends connections without a health check in flight, the longest unused first, until so many more
// fit.
func (c *Cluster) closeIdleCheckers(needed int) {
	if c.maxCheckConnections <= 0 {
		return
	}
	element := c.connected.Front()
	for element != nil && c.connected.Len()+needed > c.maxCheckConnections {
		checker, _ := element.Value.(*healthChecker) // the list holds nothing else
		element = element.Next()
		if checker.done == nil {
			checker.disconnect()
		}
	}
}

// RemoveServer closes the health check connection of a server that is gone.
func (c *Cluster) RemoveServer(id choice.ServerID) {
	if checker := c.checkers[id]; checker != nil {
		checker.drop(choice.ConnectFailed)
		delete(c.checkers, id)
	}
}

// RetainServers closes the health check connections of all servers but these: a full endpoint list says what is gone by
// not naming it.
func (c *Cluster) RetainServers(servers []edge.ServerEntry) {
	listed := map[choice.ServerID]bool{}
	for _, server := range servers {
		listed[server.ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(c.checkers)) {
		if !listed[id] {
			c.RemoveServer(id)
		}
	}
}

// drop ends the connection and the health check in flight.
func (h *healthChecker) drop(outcome choice.Outcome) {
	h.disconnect()
	h.finish(outcome, nil)
}

// disconnect ends the connection, where there is one.
func (h *healthChecker) disconnect() {
	if h.conn != nil {
		h.conn.End()
		h.connectionGone()
	}
}

// connectionGone resets the state of a connection that has ended.
func (h *healthChecker) connectionGone() {
	h.conn = nil
	h.established = false
	h.cluster.connected.Remove(h.element)
	h.element = nil
}

// finish ends the health check in flight, where there is one.
func (h *healthChecker) finish(outcome choice.Outcome, report []float64) {
	if done := h.done; done != nil {
		h.done = nil
		h.stopTimer()
		done(outcome, report)
	}
}

// OnConnect sends the health check.
func (h *healthChecker) OnConnect() {
	h.established = true
	h.conn.Write(statsLine)
}

// OnData takes the reply.
func (h *healthChecker) OnData(data []byte) {
	for len(data) > 0 {
		text, rest, err := h.lines.Next(data)
		if err != nil {
			zap.L().Warn("health_check_line_too_long", zap.String("host", string(h.id)))
			h.drop(choice.Failed)
			return
		}
		if text == nil || !h.onLine(text) {
			return
		}
		data = rest
	}
}

// onLine takes a line and reports whether the connection goes on.
func (h *healthChecker) onLine(text []byte) bool {
	if h.done == nil {
		zap.L().Warn("health_check_line_unexpected", zap.String("host", string(h.id)))
		h.drop(choice.Failed)
		return false
	}
	word, info, _ := bytes.Cut(line.Trim(text), []byte(" "))
	var outcome choice.Outcome
	switch string(word) {
	case "PONG":
		outcome = choice.Served
	case "ERR":
		outcome = choice.Failed
	case "BUSY":
		outcome = choice.Full
	default:
		h.drop(choice.Failed)
		return false
	}
	h.finish(outcome, h.cluster.parseReport(info))
	return true
}

// OnEnd fails the health check in flight.
func (h *healthChecker) OnEnd(err error) {
	outcome := choice.Reset
	switch {
	case loop.IsLocal(err):
		outcome = choice.NeverSent
	case !h.established:
		outcome = choice.ConnectFailed
	}
	if errors.Is(err, io.EOF) {
		h.conn.End()
	}
	h.connectionGone()
	h.finish(outcome, nil)
}

// OnDrained is of no use here.
func (h *healthChecker) OnDrained() {}
