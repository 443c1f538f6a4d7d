package planner

import (
	"fmt"
	"math"
	"time"
)

// limit identifies a capacity or quota that a load can exhaust.
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

// String returns the name of the limit in the output.
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

// minTimesReached is the number of observations at or above a limit after which the limit counts as reached.
const minTimesReached = 3

// LimitUsage describes how much of a limit a run used.
type LimitUsage struct {
	Limit        string        `json:"limit"`
	Peak         float64       `json:"peak"` // fraction of the limit; 1 or more means that it was reached
	At           time.Duration `json:"-"`    // when the limit was first reached, otherwise when the peak occurred
	AtS          float64       `json:"at_s"` // At in seconds
	Where        string        `json:"where"`
	TimesReached int           `json:"hits"`

	limit limit
}

// observeLimit records the fraction of a limit that is in use now. server is the server to which the limit belongs; it
// is nil for a limit of the nodes, of a tenant or of the whole fleet.
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

// limitReached reports whether the run reached a limit other than the momentary load of one server and the quota of a
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
