package edge

import "spurwinch/choice"

// Counts are the final answers of one class's requests.
type Counts struct{ Served, Rejected, Failed uint64 }

// Gauges are counts of a core's present requests, connections and servers.
type Gauges struct{ InFlight, ServersKnown, ServersExcluded int }

// Add sums the gauges of several cores.
func (g *Gauges) Add(other Gauges) {
	g.InFlight += other.InFlight
	g.ServersKnown += other.ServersKnown
	g.ServersExcluded += other.ServersExcluded
}

// Figures holds the counters of a process, which all its cores raise.
type Figures interface {
	// Class is the counter of a class by its name, the same one for the lifetime of the process.
	Class(name string) *Counts
	// Attempt counts an attempt whose last byte is with the kernel.
	Attempt()
}

// uncounted is for a core without figures.
type uncounted struct{}

func (uncounted) Class(string) *Counts { return &Counts{} }
func (uncounted) Attempt()             {}

// Gauges returns the core's present gauges.
func (c *Core) Gauges() Gauges {
	g := Gauges{InFlight: len(c.requests), ServersExcluded: c.balancer.Excluded(c.balancerTime(c.options.Clock.Now()))}
	for _, server := range c.servers {
		if server.State != choice.Gone {
			g.ServersKnown++
		}
	}
	return g
}

// AnswerCounts counts the requests that were answered, and those of them that were rejected or failed.
func (c *Core) AnswerCounts() (answered, unserved float64) {
	for _, counts := range c.answerCounts {
		unserved += float64(counts.Rejected + counts.Failed)
		answered += float64(counts.Served + counts.Rejected + counts.Failed)
	}
	return answered, unserved
}
