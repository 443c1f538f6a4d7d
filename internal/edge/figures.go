package edge

import "spurwinch/choice"

// Counts holds the numbers of final answers to the requests of one class.
type Counts struct{ Served, Rejected, Failed uint64 }

// Gauges holds the current numbers of a core's requests, connections and servers.
type Gauges struct{ InFlight, ServersKnown, ServersExcluded int }

// Add adds the gauges of another core.
func (g *Gauges) Add(other Gauges) {
	g.InFlight += other.InFlight
	g.ServersKnown += other.ServersKnown
	g.ServersExcluded += other.ServersExcluded
}

// Figures provides the counters of a process, which all cores of the process increment.
type Figures interface {
	// Class returns the counters of the class with the given name. It returns the same counters for the lifetime of the
	// process.
	Class(name string) *Counts
	// Attempt counts an attempt whose last byte was passed to the kernel.
	Attempt()
}

// discardFigures implements Figures for a core without counters.
type discardFigures struct{}

func (discardFigures) Class(string) *Counts { return &Counts{} }
func (discardFigures) Attempt()             {}

// Gauges returns the core's current gauges.
func (c *Core) Gauges() Gauges {
	g := Gauges{InFlight: len(c.requests), ServersExcluded: c.balancer.Excluded(c.balancerTime(c.options.Clock.Now()))}
	for _, server := range c.servers {
		if server.State != choice.Gone {
			g.ServersKnown++
		}
	}
	return g
}

// AnswerCounts returns how many requests have a final answer, and how many of these were rejected or failed.
func (c *Core) AnswerCounts() (answered, unserved float64) {
	for _, counts := range c.answerCounts {
		unserved += float64(counts.Rejected + counts.Failed)
		answered += float64(counts.Served + counts.Rejected + counts.Failed)
	}
	return answered, unserved
}
