package planner

import (
	"fmt"
	"time"
)

// limit is something that can be full.
type limit int

const (
	limitServer limit = iota
	limitFleet
	limitConnections
	limitSetups
	limitStore
	limitSockets
	limitCold
	limitShare
	limitCount
)

var limitNames = [limitCount]string{"capacity of a server", "capacity of all servers", "connections of a server", "set-up queue of a server",
	"session store", "descriptors of a node", "a cold server", "share of an edition"}

// Seen is how far a limit was used.
type LimitUsage struct {
	Limit   string        `json:"limit"`
	Peak    float64       `json:"peak"` // of the limit; from 1 on it was reached
	At      time.Duration `json:"-"`    // when it was first reached, or came closest
	AtS     float64       `json:"at_s"`
	Where   string        `json:"where"`
	Reached int           `json:"hits"` // times it was found reached
}

type limits struct {
	seen [limitCount]LimitUsage
}

// hit notes that so much of a limit is used now.
func (l *limits) hit(w *simulation, k limit, h *server, part float64) {
	if w.now < settleTime && k != limitCold || !finite(part) {
		return
	}
	s := &l.seen[k]
	if part >= 1 {
		if s.Reached++; s.Reached == 1 {
			s.At, s.Where = w.now, where(w, h)
		}
	}
	if part > s.Peak {
		if s.Peak = part; s.Reached == 0 {
			s.At, s.Where = w.now, where(w, h)
		}
	}
}

func where(w *simulation, h *server) string {
	if h == nil {
		return "all"
	}
	return fmt.Sprintf("%s (%s, %s)", h.id, h.kind.Name, w.fleet.Centres[h.centre].Name)
}

// broken reports whether a limit was reached that is more than a moment's load of one server, or an edition's share.
func (l *limits) broken() bool {
	for k := range l.seen {
		if limit(k) != limitServer && limit(k) != limitShare && l.seen[k].Reached >= enough {
			return true
		}
	}
	return false
}

func (l *limits) list() []LimitUsage {
	var out []LimitUsage
	for k := range l.seen {
		s := l.seen[k]
		s.Limit, s.AtS = limitNames[k], s.At.Seconds()
		out = append(out, s)
	}
	return out
}
