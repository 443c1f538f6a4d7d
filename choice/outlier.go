package choice

import "time"

// Outlier ejection. A server that failed an attempt or a health check of this node gets no new connections for a time,
// which grows with each consecutive failure. After the ejection the server is used again, and the next outcome decides
// whether it is ejected again.

const (
	firstEjection     = 2 * time.Second // duration of the first ejection
	ejectionDoublings = 3               // maximum number of times that the duration is doubled

	maxInheritedEjections = 60 // prevents an overflow caused by a value from another process
)

// outlierState is the ejection state of a server.
type outlierState struct {
	ejections int           // since the last success
	until     time.Duration // the server is ejected before this time, by the clock of Step
}

// eject ejects the server for twice as long as the last time, up to a limit.
func (o *outlierState) eject(now time.Duration) {
	o.until = now + firstEjection<<min(o.ejections, ejectionDoublings)
	o.ejections++
}

// ejected reports whether the server is ejected now.
func (o *outlierState) ejected(now time.Duration) bool { return now < o.until }

// succeeded resets the duration of the next ejection. An ejection in force stays in force.
func (o *outlierState) succeeded() { o.ejections = 0 }

// inherit takes over an ejection from another process of this node if it lasts longer than this process's ejection. It
// ends no later than the longest ejection that could begin now.
func (o *outlierState) inherit(until time.Duration, ejections int, now time.Duration) {
	if until > o.until {
		o.until = min(until, now+firstEjection<<ejectionDoublings)
		o.ejections = max(o.ejections, min(ejections, maxInheritedEjections))
	}
}

// countEjected returns the number of ready servers and how many of them are ejected.
func (b *Balancer) countEjected() (ejected, ready int) {
	for _, server := range b.servers {
		if server.State != Ready {
			continue
		}
		ready++
		if server.outlier.ejected(b.now) {
			ejected++
		}
	}
	return ejected, ready
}

// Excluded returns the number of listed servers that get no new connections at the given time because they are draining
// or ejected.
func (b *Balancer) Excluded(now time.Duration) int {
	excluded := 0
	for _, server := range b.servers {
		if server.State == Draining || server.State == Ready && server.outlier.ejected(now) {
			excluded++
		}
	}
	return excluded
}
