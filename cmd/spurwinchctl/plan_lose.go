package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"spurwinch/internal/plan/planner"
)

// lossPlan implements plan lose.
type lossPlan struct {
	planInput
	centre string
	at     time.Duration // after the beginning of the load
}

func loseCommand() *cobra.Command {
	var plan lossPlan
	command := &cobra.Command{
		Use:   "lose --load CAPTURE --fleet FLEET --centre NAME",
		Short: "Forecast the effect of the loss of a data centre",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return plan.run(command) },
	}
	plan.addFlags(command)
	flags := command.Flags()
	flags.StringVar(&plan.centre, "centre", "", "the `NAME` of the data centre that is lost with its servers and nodes")
	flags.DurationVar(&plan.at, "at", 0,
		"time of the loss after the beginning of the load (default: half the load's length)")
	requireFlags(command, "centre")
	return command
}

// resolve checks the flags against the fleet and the load, and sets the default of --at.
func (p *lossPlan) resolve() error {
	if p.fleet.ZoneIndex(p.centre) < 0 {
		var names []string
		for _, centre := range p.fleet.Zones {
			names = append(names, centre.Name)
		}
		return fmt.Errorf("--centre %q is not in the fleet file: it must be one of %s",
			p.centre, strings.Join(names, ", "))
	}
	if p.at <= 0 {
		p.at = p.load.Length / 2
	}
	if p.at >= p.load.Length {
		return fmt.Errorf("--at %v is not before the end of the load: it must be less than %v",
			p.at, p.load.Length.Round(time.Second))
	}
	return nil
}

func (p *lossPlan) run(command *cobra.Command) error {
	if err := p.read(command.ErrOrStderr()); err != nil {
		return err
	}
	if err := p.resolve(); err != nil {
		return err
	}
	options := p.options()
	options.LostZone = p.centre
	options.LossTime = p.at
	progress := newProgress(command)
	loss, err := planner.SimulateZoneLoss(p.fleet, p.load, options, p.replications, progress.show)
	if err != nil {
		return err
	}
	progress.done()
	if p.plotPath != "" {
		if err := plotLoss(p.plotPath, "Service when "+p.centre+" is lost", loss.ServiceBySecond, p.at); err != nil {
			return err
		}
	}
	if p.asJSON {
		return writeJSON(command.OutOrStdout(), loss)
	}
	p.print(command.OutOrStdout(), &loss)
	return nil
}

func (p *lossPlan) print(out io.Writer, loss *planner.ZoneLoss) {
	p.describe(out)
	atSeconds := p.at.Seconds()
	printf(out, "\n%s is lost after %.0f s: %d of %d servers, %d of %d nodes\n",
		p.centre, atSeconds, loss.ServersLost, p.fleet.ServerCount(), loss.NodesLost, loss.Nodes)
	table := newReportTable(out)
	printf(table, "  \tbefore\tclients reconnect\tafter\twithout the loss\n")
	printf(table, "  \t0 to %.0f s\tfrom %.0f s, for %.0f s\tfrom %.0f s on\tafter\n",
		atSeconds, atSeconds, loss.ReconnectS, atSeconds+loss.ReconnectS)
	printRow := func(name string, phases planner.Phases) {
		printf(table, "  %s\t%5.1f%%\t%5.1f%%\t%5.1f%%\t%5.1f%%\n",
			name, 100*phases.Before, 100*phases.Reconnecting, 100*phases.After, 100*phases.WithoutLoss)
	}
	printRow("total", loss.Overall)
	for i := range p.fleet.Classes {
		name := p.fleet.Classes[i].Name
		printRow("class "+name, loss.Classes[name])
	}
	flushTable(table)
	printf(out, "Connections reset: %.0f; peak of new requests per second: %.0f before, %.0f after the loss\n",
		loss.Resets, loss.PeakRequestsBefore, loss.PeakRequestsAfter)
}
