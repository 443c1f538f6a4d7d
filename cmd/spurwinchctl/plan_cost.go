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

var errCostFlags = errors.New("--fill must be over 0 and at most 2, and --length between 5s and 24h")

// costMeasurement is the cost of one replication for a fleet of a given size.
type costMeasurement struct {
	Servers         int     `json:"servers"`
	MeanConcurrency float64 `json:"standing"`
	Sessions        int     `json:"sessions"`
	WallS           float64 `json:"wall_s"`
	Service         float64 `json:"service"`
}

// costBenchmark measures the planner itself. Its fields are the flags of plan cost.
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
		Short: "Measure the time that a forecast takes on this machine, by the size of the fleet",
		Long: "For each size, resizes the fleet, generates a load that requests the given fraction of its cores,\n" +
			"and measures the time of one replication.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return benchmark.run(command) },
	}
	flags := command.Flags()
	flags.StringVar(&benchmark.fleetPath, "fleet", "", "the `FLEET` file, which describes servers, nodes and clients")
	flags.IntSliceVar(&benchmark.sizes, "sizes", []int{10, 30, 100, 300, 1000},
		"numbers of servers to measure, each 1 to 20000")
	flags.Float64Var(&benchmark.fill, "fill", 0.45,
		"fraction of all cores that the load requests, over 0 and up to 2, without groups")
	flags.DurationVar(&benchmark.length, "length", 2*time.Minute, "length of the load, 5s to 24h")
	flags.Uint64Var(&benchmark.seed, "seed", 1, "seed of all random numbers")
	flags.BoolVar(&benchmark.asJSON, "json", false, "print JSON")
	flags.StringVar(&benchmark.plotPath, "plot", "", "write a plot to `FILE.svg` or FILE.png")
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
			return fmt.Errorf("--sizes must be numbers between 1 and 20000, got %d", servers)
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

// measure returns the time of one replication for the fleet, resized to a number of servers. It scales the store's rate
// and the nodes' descriptors with the fleet, because these limits would otherwise determine the result.
func (b *costBenchmark) measure(base *fleet.Fleet, servers int) (costMeasurement, error) {
	resized := base.Resize(servers)
	if resized.Store.Rate > 0 {
		resized.Store.Rate *= float64(servers) / float64(base.ServerCount())
	}
	concurrency := b.fill * resized.Cores() / (resized.MeanLoad() * resized.CoreLoad())
	for i := range resized.NodePools {
		node := &resized.NodePools[i]
		node.Descriptors = max(node.Descriptors, int(concurrency))
	}
	load := workload.Generate(resized, workload.GeneratorOptions{
		Seed:        b.seed,
		Length:      b.length,
		Concurrency: concurrency,
		StartOpen:   true,
	})
	runtime.GC()
	start := time.Now()
	run, err := planner.Simulate(resized, load, planner.Options{Seed: b.seed})
	if err != nil {
		return costMeasurement{}, err
	}
	return costMeasurement{
		Servers:         servers,
		MeanConcurrency: load.MeanConcurrency(),
		Sessions:        len(load.Sessions),
		WallS:           time.Since(start).Seconds(),
		Service:         run.Service,
	}, nil
}

func (b *costBenchmark) print(out io.Writer, measurements []costMeasurement) error {
	printf(out, "One replication of %v on one core\n", b.length)
	table := newFigureTable(out)
	printLine(table, "servers\tconcurrent\tsessions\twall time\tms per simulated s\tservice\t")
	for _, measured := range measurements {
		millisecondsPerSecond := 1000 * measured.WallS / b.length.Seconds()
		printf(table, "%d\t%.0f\t%d\t%.2f s\t%.2f\t%.1f%%\t\n", measured.Servers, measured.MeanConcurrency,
			measured.Sessions, measured.WallS, millisecondsPerSecond, 100*measured.Service)
	}
	return table.Flush()
}
