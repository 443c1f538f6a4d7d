package edge

// Counts are the final answers of one class's requests.
type Counts struct{ Served, Rejected, Failed uint64 }

// Gauges are what a core holds now.
type Gauges struct{ InFlight, ServersKnown, ServersExcluded int }

// Add sums the gauges of several cores.
func (g *Gauges) Add(o Gauges) {
	g.InFlight, g.ServersKnown, g.ServersExcluded = g.InFlight+o.InFlight, g.ServersKnown+o.ServersKnown, g.ServersExcluded+o.ServersExcluded
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
