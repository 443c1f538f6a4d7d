package main

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/planner"
	"spurwinch/internal/plan/workload"
)

// Bounds of the flags of plan cost.
const (
	maxCostFill    = 2
	minCostLength  = 5 * time.Second
	maxCostLength  = 24 * time.Hour
	maxCostServers = 20000
)

var errCostFlags = errors.New("--fill takes a part over 0, up to 2; --length 5s to 24h")

// costMeasurement is what one replication took for a fleet of a size.
type costMeasurement struct {
	Servers  int     `json:"servers"`
	Standing float64 `json:"standing"`
	Sessions int     `json:"sessions"`
	WallS    float64 `json:"wall_s"`
	Service  float64 `json:"service"`
}

// costBenchmark measures the planner itself; its fields are the flags of plan cost.
type costBenchmark struct {
	fleetPath string
	plotPath  string
	sizes     []int
	fill      float64
	length    time.Duration
	seed      uint64
	asJSON    bool
}

func costCommand() *cobra.Command {
	var benchmark costBenchmark
	command := &cobra.Command{
		Use:   "cost --fleet FLEET",
		Short: "Time that a forecast takes on this machine, by the size of the fleet",
		Long: "Resizes the fleet, has as many connections stand as fill the given part of it, " +
			"and times one replication.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return benchmark.run(command) },
	}
	flags := command.Flags()
	flags.StringVar(&benchmark.fleetPath, "fleet", "", "the `FLEET` file")
	flags.IntSliceVar(&benchmark.sizes, "sizes", []int{10, 30, 100, 300, 1000}, "servers")
	flags.Float64Var(&benchmark.fill, "fill", 0.45, "part of all cores that connections ask for, without groups")
	flags.DurationVar(&benchmark.length, "length", 2*time.Minute, "of the load")
	flags.Uint64Var(&benchmark.seed, "seed", 1, "of all chance")
	flags.BoolVar(&benchmark.asJSON, "json", false, "print JSON")
	flags.StringVar(&benchmark.plotPath, "plot", "", "draw to `FILE.svg` or FILE.png")
	requireFlags(command, "fleet")
	return command
}

func (b *costBenchmark) run(command *cobra.Command) error {
	fillValid := b.fill > 0 && b.fill <= maxCostFill // false for NaN
	if !fillValid || b.length < minCostLength || b.length > maxCostLength {
		return errCostFlags
	}
	base, err := fleet.Read(b.fleetPath)
	if err != nil {
		return err
	}
	var measurements []costMeasurement
	progress := newProgress(command)
	for _, servers := range b.sizes {
		if servers < 1 || servers > maxCostServers {
			return fmt.Errorf("--sizes %d: 1 to 20000 are wanted", servers)
		}
		progress.show("%d servers", servers)
		measured, err := b.measure(base, servers)
		if err != nil {
			return err
		}
		measurements = append(measurements, measured)
	}
	progress.done()
	if b.plotPath != "" {
		if err := plotCost(b.plotPath, measurements); err != nil {
			return err
		}
	}
	if b.asJSON {
		return writeJSON(command.OutOrStdout(), measurements)
	}
	return b.print(command.OutOrStdout(), measurements)
}

// measure times one replication of the fleet at a size. The store's rate and the nodes' descriptors grow with the
// fleet, or they alone would be measured.
func (b *costBenchmark) measure(base *fleet.Fleet, servers int) (costMeasurement, error) {
	resized := base.Resize(servers)
	if resized.Store.Rate > 0 {
		resized.Store.Rate *= float64(servers) / float64(base.ServerCount())
	}
	standing := b.fill * resized.Cores() / (resized.MeanLoad() * resized.CoreLoad())
	for i := range resized.NodePools {
		node := &resized.NodePools[i]
		node.Descriptors = max(node.Descriptors, int(standing))
	}
	load := workload.Generate(resized, workload.GeneratorOptions{
		Seed:        b.seed,
		Length:      b.length,
		Concurrency: standing,
		StartOpen:   true,
	})
	runtime.GC()
	start := time.Now()
	run, err := planner.Simulate(resized, load, planner.Options{Seed: b.seed})
	if err != nil {
		return costMeasurement{}, err
	}
	return costMeasurement{
		Servers:  servers,
		Standing: load.MeanConcurrency(),
		Sessions: len(load.Sessions),
		WallS:    time.Since(start).Seconds(),
		Service:  run.Service,
	}, nil
}

func (b *costBenchmark) print(out io.Writer, measurements []costMeasurement) error {
	printf(out, "One replication of %v on one core\n", b.length)
	table := newFigureTable(out)
	printLine(table, "servers\tstanding\tsessions\twall\tms a simulated s\tservice\t")
	for _, measured := range measurements {
		millisecondsPerSecond := 1000 * measured.WallS / b.length.Seconds()
		printf(table, "%d\t%.0f\t%d\t%.2f s\t%.2f\t%.1f%%\t\n", measured.Servers, measured.Standing,
			measured.Sessions, measured.WallS, millisecondsPerSecond, 100*measured.Service)
	}
	return table.Flush()
}
