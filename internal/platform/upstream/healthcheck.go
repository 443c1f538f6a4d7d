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

// statsLine requests a server's load report.
var statsLine = []byte("STATS\r\n")

// healthChecker runs the health checks of one server. They share one connection, since each new connection would cost
// the server a handshake.
type healthChecker struct {
	cluster     *Cluster
	id          choice.ServerID
	addr        string
	conn        *loop.Conn // nil: not connected
	established bool
	lines       line.Reader
	done        func(choice.Outcome, []float64) // callback of the health check in flight; nil: no check is in flight
	stopTimer   func()
	element     *list.Element // element of Cluster.connected; nil: not connected
}

// CheckHealth requests a server's load report and calls done once, at the deadline at the latest. done gets the report
// in the order of the settings, or nil. If a health check of the server is already in flight, CheckHealth sends no
// second one and calls done with choice.NeverSent.
func (c *Cluster) CheckHealth(server edge.ServerEntry, deadline time.Time, done func(choice.Outcome, []float64)) {
	checker := c.checker(server)
	if checker.done != nil { // replies on the shared connection can't be matched to two checks
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

// checker returns the health checker of a server and creates one if necessary. It drops a health checker that uses a
// former address of the server.
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

// SetMaxHealthCheckConnections limits the number of health check connections; 0 means no limit. Connections beyond the
// limit are closed unless a health check is in flight on them. Without the limit, an endpoint list with more servers
// than the node has descriptors would leave no descriptors for clients.
func (c *Cluster) SetMaxHealthCheckConnections(maxConnections int) {
	c.maxCheckConnections = maxConnections
	c.closeIdleCheckers(0)
}

// closeIdleCheckers closes connections without a health check in flight, least recently used first, until the limit
// leaves room for the given number of new connections.
func (c *Cluster) closeIdleCheckers(needed int) {
	if c.maxCheckConnections <= 0 {
		return
	}
	element := c.connected.Front()
	for element != nil && c.connected.Len()+needed > c.maxCheckConnections {
		checker, _ := element.Value.(*healthChecker) // the list contains only *healthChecker
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

// RetainServers closes the health check connections of all servers that are not in servers. A full endpoint list shows
// that a server is gone by omitting it.
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

// drop closes the connection and ends the health check in flight with an outcome.
func (h *healthChecker) drop(outcome choice.Outcome) {
	h.disconnect()
	h.finish(outcome, nil)
}

// disconnect closes the connection, if there is one.
func (h *healthChecker) disconnect() {
	if h.conn != nil {
		h.conn.End()
		h.connectionGone()
	}
}

// connectionGone resets the health checker's state after its connection has ended.
func (h *healthChecker) connectionGone() {
	h.conn = nil
	h.established = false
	h.cluster.connected.Remove(h.element)
	h.element = nil
}

// finish reports the result of the health check in flight, if there is one.
func (h *healthChecker) finish(outcome choice.Outcome, report []float64) {
	if done := h.done; done != nil {
		h.done = nil
		h.stopTimer()
		done(outcome, report)
	}
}

// OnConnect sends the health check that waits for the connection.
func (h *healthChecker) OnConnect() {
	h.established = true
	h.conn.Write(statsLine)
}

// OnData reads the server's replies.
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

// onLine handles a line from the server and reports whether the connection stays open.
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

// OnEnd handles the end of the connection and fails the health check in flight, if there is one.
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

// OnDrained does nothing. Health checks don't track when their request has been written.
func (h *healthChecker) OnDrained() {}
