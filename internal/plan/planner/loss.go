package planner

import (
	"math"
	"time"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

// Phases is the service before the loss of a zone, while its clients reconnect, and after that. WithoutLoss is the
// service during the last phase in the replications without the loss.
type Phases struct {
	Before       float64 `json:"before"`
	Reconnecting float64 `json:"storm"`
	After        float64 `json:"after"`
	WithoutLoss  float64 `json:"without_loss"`
}

// ZoneLoss is the effect of losing a zone, as a mean over the replications.
type ZoneLoss struct {
	Overall            Phases            `json:"all"`
	Classes            map[string]Phases `json:"classes"`
	ReconnectS         float64           `json:"storm_s"` // time until the rate of requests is back to its usual level
	ServersLost        int               `json:"servers_lost"`
	NodesLost          int               `json:"nodes_lost"`
	Nodes              int               `json:"nodes"`                // of the whole fleet
	Resets             float64           `json:"breaks"`               // connections that were reset
	PeakRequestsBefore float64           `json:"peak_requests_before"` // in one second
	PeakRequestsAfter  float64           `json:"peak_requests_after"`
	ServiceBySecond    []float64         `json:"-"` // with the loss; NaN where nothing was demanded
}

const (
	minReconnectPhase = 3 * time.Second // applies even if the rate of requests hardly rises
	recoverySeconds   = 5               // consecutive seconds at the usual rate of requests that end the phase
	reconnectFactor   = 1.5             // multiple of the usual rate of requests above which clients still reconnect
)

// SimulateZoneLoss simulates the load with the loss of options.LostZone at options.LossTime and without it, each in the
// same number of replications with the same seeds. onPhase takes the arguments of Printf and is called with a
// description of what is simulated next.
func SimulateZoneLoss(
	description *fleet.Fleet, load *workload.Load, options Options, replications int, onPhase func(string, ...any),
) (ZoneLoss, error) {
	onPhase("with the loss")
	with, err := Replicate(description, load, options, replications, nil)
	if err != nil {
		return ZoneLoss{}, err
	}
	onPhase("without the loss")
	optionsWithoutLoss := options
	optionsWithoutLoss.LostZone = ""
	without, err := Replicate(description, load, optionsWithoutLoss, replications, nil)
	if err != nil {
		return ZoneLoss{}, err
	}
	comparison := lossComparison{
		with:      with.Runs,
		without:   without.Runs,
		lossTime:  options.LossTime,
		length:    load.Length,
		reconnect: minReconnectPhase,
	}
	loss := ZoneLoss{Classes: map[string]Phases{}}
	loss.countLost(description, options.LostZone)
	loss.Resets = comparison.meanResets()
	usual := meanRequests(without.Runs)
	actual := meanRequests(with.Runs)
	loss.PeakRequestsBefore, loss.PeakRequestsAfter = comparison.peaks(actual)
	comparison.findReconnectPhase(usual, actual)
	loss.ReconnectS = comparison.reconnect.Seconds()
	loss.Overall = comparison.phases(func(overall float64, _ []float64) float64 { return overall })
	for i, class := range description.Classes {
		loss.Classes[class.Name] = comparison.phases(func(_ float64, classes []float64) float64 { return classes[i] })
	}
	loss.ServiceBySecond = meanServiceBySecond(with.Runs)
	return loss, nil
}

// countLost sets the number of servers and nodes in the lost zone and the number of all nodes.
func (l *ZoneLoss) countLost(description *fleet.Fleet, zone string) {
	for _, pool := range description.ServerPools {
		if pool.Zone == zone {
			l.ServersLost += pool.Count
		}
	}
	l.Nodes = description.NodeCount()
	for _, pool := range description.NodePools {
		if pool.Zone == zone {
			l.NodesLost += pool.Count
		}
	}
}

// lossComparison compares the replications with the loss of a zone with the replications without it.
type lossComparison struct {
	with, without []Run
	lossTime      time.Duration
	length        time.Duration
	reconnect     time.Duration // length of the phase in which clients reconnect
}

func (c *lossComparison) meanResets() float64 {
	mean := 0.0
	for i := range c.with {
		mean += float64(c.with[i].Stats.Resets) / float64(len(c.with))
	}
	return mean
}

// meanRequests returns the mean number of requests in each second over the runs, which must not be empty.
func meanRequests(runs []Run) []float64 {
	means := make([]float64, len(runs[0].RequestsBySecond))
	for i := range runs {
		for second := range means {
			means[second] += float64(runs[i].RequestsBySecond[second]) / float64(len(runs))
		}
	}
	return means
}

// peaks returns the highest number of requests in a second before and after the loss. The initial arrivals don't count.
func (c *lossComparison) peaks(requests []float64) (before, after float64) {
	lost := int(c.lossTime / time.Second)
	for second, count := range requests {
		switch {
		case second >= lost:
			after = max(after, count)
		case second >= int(settleTime/time.Second):
			before = max(before, count)
		}
	}
	return before, after
}

// findReconnectPhase sets the length of the phase in which clients reconnect. The phase lasts until the rate of
// requests is back to its usual level for recoverySeconds consecutive seconds, which don't belong to the phase.
func (c *lossComparison) findReconnectPhase(usual, actual []float64) {
	usualRateSeconds := 0
	for second := int(c.lossTime / time.Second); second < len(actual) && usualRateSeconds < recoverySeconds; second++ {
		usualRateSeconds++
		if actual[second] > reconnectFactor*usual[second]+1 {
			usualRateSeconds = 0
			c.reconnect = max(c.reconnect, time.Duration(second+1)*time.Second-c.lossTime)
		}
	}
	c.reconnect = min(c.reconnect, c.length-c.lossTime)
}

// phases returns the mean service of each phase. pick selects a value from the service of all sessions and the service
// of each class.
func (c *lossComparison) phases(pick func(overall float64, classes []float64) float64) Phases {
	mean := func(runs []Run, from, to time.Duration) float64 {
		sum := 0.0
		for i := range runs {
			sum += pick(runs[i].Account.ServiceBetween(from, to)) / float64(len(runs))
		}
		return sum
	}
	recovered := c.lossTime + c.reconnect
	return Phases{
		Before:       mean(c.with, 0, c.lossTime),
		Reconnecting: mean(c.with, c.lossTime, recovered),
		After:        mean(c.with, recovered, c.length),
		WithoutLoss:  mean(c.without, recovered, c.length),
	}
}

// meanServiceBySecond returns the mean service of each second over the runs, which must not be empty. The mean of a
// second without demand in any run is NaN.
func meanServiceBySecond(runs []Run) []float64 {
	means := make([]float64, len(runs[0].ServiceBySecond))
	for second := range means {
		count := 0.0
		for i := range runs {
			service := runs[i].ServiceBySecond[second]
			if !math.IsNaN(service) {
				means[second] += service
				count++
			}
		}
		means[second] /= count
	}
	return means
}
