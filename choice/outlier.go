package choice

import "time"

// Outlier ejection: a server that failed an attempt or a health check of this node gets no new connection for a time,
// longer with each failure in a row. After that it is used again, and the next outcome decides.

const (
	firstEjection     = 2 * time.Second // how long the first ejection lasts
	ejectionDoublings = 3               // longest ejection: the first one, doubled so often

	maxInheritedEjections = 60 // guards against an overflow by what another process sent
)

// outlierState says whether a server is ejected.
type outlierState struct {
	ejections int           // since the last success
	until     time.Duration // ejected before this time, by the clock of Step
}

// eject ejects the server, twice as long as the last time up to a limit.
func (o *outlierState) eject(now time.Duration) {
	o.until = now + firstEjection<<min(o.ejections, ejectionDoublings)
	o.ejections++
}

// ejected reports whether the server is ejected now.
func (o *outlierState) ejected(now time.Duration) bool { return now < o.until }

// succeeded has the next ejection be a short one again. One that is in force stays so.
func (o *outlierState) succeeded() { o.ejections = 0 }

// inherit takes over an ejection by another process of this node if it lasts longer than the own one; it ends no later
// than the longest one that begins now.
func (o *outlierState) inherit(until time.Duration, ejections int, now time.Duration) {
	if until > o.until {
		o.until = min(until, now+firstEjection<<ejectionDoublings)
		o.ejections = max(o.ejections, min(ejections, maxInheritedEjections))
	}
}

// countEjected counts the ready servers, and the ejected ones among them.
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

// Excluded counts the listed servers that get nothing new now: those that drain, and the ejected ones.
func (b *Balancer) Excluded(now time.Duration) int {
	excluded := 0
	for _, server := range b.servers {
		if server.State == Draining || server.State == Ready && server.outlier.ejected(now) {
			excluded++
		}
	}
	return excluded
}
