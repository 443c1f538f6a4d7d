package edge

// Counts are the final answers of one class's requests.
type Counts struct{ Served, Refused, Failed uint64 }

// Gauges are what a core holds now.
type Gauges struct{ InFlight, HostsKnown, HostsExcluded int }

// Add sums the gauges of several cores.
func (g *Gauges) Add(o Gauges) {
	g.InFlight, g.HostsKnown, g.HostsExcluded = g.InFlight+o.InFlight, g.HostsKnown+o.HostsKnown, g.HostsExcluded+o.HostsExcluded
}

// Figures holds the counters of a process, which all its cores raise.
type Figures interface {
	// Class is the counter of a class by its name, the same one for the life of the process.
	Class(name string) *Counts
	// Attempt counts an attempt whose line is whole with the kernel.
	Attempt()
}

// uncounted is for a core whose figures nobody asks for.
type uncounted struct{}

func (uncounted) Class(string) *Counts { return &Counts{} }
func (uncounted) Attempt()             {}
