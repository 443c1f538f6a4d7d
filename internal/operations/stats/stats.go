// Package stats holds a node's counters and writes them, with its gauges, as text.
//
// The counters are plain numbers, which belong to the goroutine of the event loop. The names in the text keep the words
// of the operators' pages ("refused", "hosts_known"); they are mapped to the terms of the code here.
package stats

import (
	"slices"
	"strconv"
	"strings"

	"spurwinch/internal/edge"
)

// Counters are the counts of one process, from its start on.
type Counters struct {
	Attempts      uint64        // written completely to a server
	ReloadsOK     uint64        // reloads of the configuration that took effect
	ReloadsFailed uint64        // reloads that were rejected
	classes       []classCounts // sorted by name
}

type classCounts struct {
	name string // as it stands in the text
	*edge.Counts
}

const prefix = "gw" // of each name

// metricKind is the type of a metric as the text has it.
type metricKind byte

const (
	counter metricKind = 'c'
	gauge   metricKind = 'g'
)

// Attempt counts an attempt whose line the kernel has taken completely.
func (c *Counters) Attempt() { c.Attempts++ }

// Class is the counter of a class, the same one for a name as long as the process runs: a class that vanishes from the
// settings and comes back goes on where it was.
func (c *Counters) Class(name string) *edge.Counts {
	name = escapeName(name)
	i, ok := slices.BinarySearchFunc(c.classes, name, func(class classCounts, name string) int {
		return strings.Compare(class.name, name)
	})
	if !ok {
		c.classes = slices.Insert(c.classes, i, classCounts{name, &edge.Counts{}})
	}
	return c.classes[i].Counts
}

// escapeName replaces what separates the parts of a line, and all but printable ASCII, by underscores.
func escapeName(name string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r >= 0x7f || r == ':' || r == '|' || r == '.' {
			return '_'
		}
		return r
	}, name)
}

// Append appends all counters and the given gauges to buf, one a line, and returns the extended buffer.
func (c *Counters) Append(buf []byte, gauges edge.Gauges) []byte {
	for _, class := range c.classes {
		buf = AppendCounter(buf, class.Served, "requests", class.name, "served")
		buf = AppendCounter(buf, class.Rejected, "requests", class.name, "refused")
		buf = AppendCounter(buf, class.Failed, "requests", class.name, "failed")
	}
	buf = AppendCounter(buf, c.Attempts, "attempts")
	buf = appendGauge(buf, gauges.InFlight, "in_flight")
	buf = appendGauge(buf, gauges.ServersKnown, "hosts_known")
	buf = appendGauge(buf, gauges.ServersExcluded, "hosts_excluded")
	buf = AppendCounter(buf, c.ReloadsOK, "reloads_ok")
	return AppendCounter(buf, c.ReloadsFailed, "reloads_failed")
}

// AppendCounter appends one counter to buf, in the form of Counters.Append. The words of its name are joined by dots.
func AppendCounter(buf []byte, value uint64, name ...string) []byte {
	return appendMetric(buf, value, counter, name...)
}

func appendGauge(buf []byte, value int, name string) []byte {
	return appendMetric(buf, uint64(max(0, value)), gauge, name)
}

// appendMetric appends a line in the form of StatsD: gw.NAME:VALUE|KIND.
func appendMetric(buf []byte, value uint64, kind metricKind, name ...string) []byte {
	buf = append(buf, prefix...)
	for _, word := range name {
		buf = append(buf, '.')
		buf = append(buf, word...)
	}
	buf = append(buf, ':')
	buf = strconv.AppendUint(buf, value, 10)
	return append(buf, '|', byte(kind), '\n')
}
