// Package stats holds the node's figures: plain counters with one owner, the loop's goroutine, and their text.
package stats

import (
	"slices"
	"strconv"
	"strings"

	"spurwinch/internal/edge"
)

// Figures are the counts of one process, from its start on.
type Figures struct {
	Attempts      uint64 // written whole to a host
	ReloadsOK     uint64
	ReloadsFailed uint64
	classes       []named // by name
}

type named struct {
	name string // as it stands in the text
	*edge.Counts
}

// Attempt counts an attempt whose line is whole with the kernel.
func (f *Figures) Attempt() { f.Attempts++ }

// Class is the counter of a class, the same one for a name as long as the process runs: a class that vanishes from the
// settings and comes back goes on where it was.
func (f *Figures) Class(name string) *edge.Counts {
	name = clean(name)
	i, ok := slices.BinarySearchFunc(f.classes, name, func(c named, name string) int { return strings.Compare(c.name, name) })
	if !ok {
		f.classes = slices.Insert(f.classes, i, named{name, &edge.Counts{}})
	}
	return f.classes[i].Counts
}

// clean guards the text's form against names that hold its marks.
func clean(name string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r >= 0x7f || r == ':' || r == '|' || r == '.' {
			return '_'
		}
		return r
	}, name)
}

// Append writes all figures behind buf, one a line.
func (f *Figures) Append(buf []byte, g edge.Gauges) []byte {
	line := func(value uint64, kind string, name ...string) { buf = appendFigure(buf, value, kind, name...) }
	for _, c := range f.classes {
		line(c.Served, "c", "requests", c.name, "served")
		line(c.Rejected, "c", "requests", c.name, "refused")
		line(c.Failed, "c", "requests", c.name, "failed")
	}
	line(f.Attempts, "c", "attempts")
	line(uint64(max(0, g.InFlight)), "g", "in_flight")
	line(uint64(max(0, g.ServersKnown)), "g", "hosts_known")
	line(uint64(max(0, g.ServersExcluded)), "g", "hosts_excluded")
	line(f.ReloadsOK, "c", "reloads_ok")
	line(f.ReloadsFailed, "c", "reloads_failed")
	return buf
}

// AppendCounter writes one counter behind buf, in the form of Append.
func AppendCounter(buf []byte, value uint64, name ...string) []byte {
	return appendFigure(buf, value, "c", name...)
}

func appendFigure(buf []byte, value uint64, kind string, name ...string) []byte {
	buf = append(buf, "gw"...)
	for _, n := range name {
		buf = append(append(buf, '.'), n...)
	}
	buf = strconv.AppendUint(append(buf, ':'), value, 10)
	return append(append(append(buf, '|'), kind...), '\n')
}
