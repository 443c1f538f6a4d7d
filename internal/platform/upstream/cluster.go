// Package upstream implements the server side of the platform's protocol: it runs attempts, relays established
// connections, checks the health of servers and parses their load reports.
package upstream

import (
	"container/list"
	"math"
	"strconv"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/line"
)

// reportFieldAliases maps the settings' names of load report values to the names that some servers use instead.
var reportFieldAliases = map[string]string{
	"outstanding":  "inflight",
	"backlog":      "queue",
	"utilization":  "util",
	"recent_ms":    "latency_ms",
	"throughput":   "qps",
	"errors_per_s": "eps",
}

// Sink is the client's side of an upstream request. The request calls none of its methods after ServerEnded or Served,
// nor after the request was ended or given up.
type Sink interface {
	Established(upLine []byte) // forwards the server's UP line, which is the reply to the client
	Forward(data []byte)       // forwards the bytes after the UP line unchanged
	ServerEnded(reset bool)    // the server ended the connection after UP, by FIN or by a reset
	ServerDrained()            // the kernel has accepted all bytes to be written to the server
	Served(reply []byte)       // the server completed the request with this line, without UP
	CheckClient()              // reads the client's socket; gives the attempt up if the client has disconnected
}

// Cluster starts upstream requests to the platform's servers and checks their health.
type Cluster struct {
	loop         *loop.Loop
	reportFields []string // names of a load report's values, in the order of the settings
	checkers     map[choice.ServerID]*healthChecker

	connected           list.List // *healthChecker elements that have a connection, least recently used first
	maxCheckConnections int       // maximum length of connected; 0: no limit
}

// New returns a Cluster. reportFields are the names of the load report values, in the order of the settings.
func New(eventLoop *loop.Loop, reportFields []string) *Cluster {
	return &Cluster{loop: eventLoop, reportFields: reportFields, checkers: map[choice.ServerID]*healthChecker{}}
}

// SetReportFields sets the names of the values in later load reports.
func (c *Cluster) SetReportFields(reportFields []string) { c.reportFields = reportFields }

// Attempt dials the attempt's server and returns the request, which sends openLine once the connection is established.
// openLine is the client's OPEN line; only its deadline field d is rewritten.
func (c *Cluster) Attempt(attempt *edge.Attempt, openLine []byte, sink Sink) *Request {
	request := &Request{cluster: c, attempt: attempt, sink: sink, openLine: openLine}
	request.conn = c.loop.Dial(attempt.Server.Addr, attempt.ConnectBy(), request)
	return request
}

// parseReport parses "name=value,name=value" into a load report in the order of the settings. A value that is absent,
// not a finite number or negative becomes NaN. If no value is valid, the report is nil.
func (c *Cluster) parseReport(info []byte) []float64 {
	if len(info) == 0 {
		return nil
	}
	var report []float64
	for index, name := range c.reportFields {
		from, to := line.FindField(info, name)
		if from < 0 {
			from, to = line.FindField(info, reportFieldAliases[name])
		}
		if from < 0 {
			continue
		}
		value, ok := line.ParseNumber(string(info[from:to]))
		if !ok {
			continue
		}
		if report == nil {
			report = emptyReport(len(c.reportFields))
		}
		report[index] = value
	}
	return report
}

// emptyReport returns a load report in which each value is NaN.
func emptyReport(size int) []float64 {
	report := make([]float64, size)
	for index := range report {
		report[index] = math.NaN()
	}
	return report
}

// withDeadline returns the OPEN line with its field d set to the time left in whole milliseconds, but at least 1. It
// returns a line without d unchanged.
func withDeadline(openLine []byte, left time.Duration) []byte {
	start := line.FieldsStart(openLine)
	from, to := line.FindField(openLine[start:], "d")
	if from < 0 {
		return openLine
	}
	rewritten := make([]byte, 0, len(openLine)+maxAddedDigits)
	rewritten = append(rewritten, openLine[:start+from]...)
	rewritten = strconv.AppendInt(rewritten, max(1, left.Milliseconds()), 10)
	return append(rewritten, openLine[start+to:]...)
}
