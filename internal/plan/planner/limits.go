package planner

import (
	"fmt"
	"math"
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
	limitDescriptors
	limitSlowStart
	limitQuota
	limitCount // number of limits
)

// String returns the name that the limit has in replies.
func (l limit) String() string {
	return [limitCount]string{
		limitServer:      "capacity of a server",
		limitFleet:       "capacity of all servers",
		limitConnections: "connections of a server",
		limitSetups:      "set-up queue of a server",
		limitStore:       "session store",
		limitDescriptors: "descriptors of a node",
		limitSlowStart:   "a cold server",
		limitQuota:       "share of an edition",
	}[l]
}

// minTimesReached is how often a limit must be found reached before it counts as such.
const minTimesReached = 3

// LimitUsage is how much of a limit was used.
type LimitUsage struct {
	Limit        string        `json:"limit"`
	Peak         float64       `json:"peak"` // fraction of the limit; from 1 on it was reached
	At           time.Duration `json:"-"`    // when it was first reached, or else when the peak was
	AtS          float64       `json:"at_s"` // likewise
	Where        string        `json:"where"`
	TimesReached int           `json:"hits"`

	limit limit
}

// observeLimit records that a fraction of a limit is used now, of one server or, where that is nil, of the fleet.
func (s *simulation) observeLimit(observed limit, server *server, fraction float64) {
	if s.now < settleTime && observed != limitSlowStart || !isFinite(fraction) {
		return
	}
	usage := &s.limits[observed]
	if fraction >= 1 {
		usage.TimesReached++
		if usage.TimesReached == 1 {
			usage.At = s.now
			usage.Where = s.describePlace(server)
		}
	}
	if fraction > usage.Peak {
		usage.Peak = fraction
		if usage.TimesReached == 0 {
			usage.At = s.now
			usage.Where = s.describePlace(server)
		}
	}
}

func (s *simulation) describePlace(server *server) string {
	if server == nil {
		return "all"
	}
	return fmt.Sprintf("%s (%s, %s)", server.id, server.kind.Name, s.fleet.Zones[server.zone].Name)
}

// limitReached reports whether a limit was reached that is more than the momentary load of one server or the quota of a
// tenant.
func (s *simulation) limitReached() bool {
	for i := range s.limits {
		if limit(i) != limitServer && limit(i) != limitQuota && s.limits[i].TimesReached >= minTimesReached {
			return true
		}
	}
	return false
}

// limitUsages returns the usage of each limit.
func (s *simulation) limitUsages() []LimitUsage {
	var usages []LimitUsage
	for i, usage := range s.limits {
		usage.limit = limit(i)
		usage.Limit = limit(i).String()
		usage.AtS = usage.At.Seconds()
		usages = append(usages, usage)
	}
	return usages
}

func isFinite(x float64) bool { return !math.IsInf(x, 0) && !math.IsNaN(x) }
