package main

import "io"

const (
	maxBrokenSchedules   = 20 // schedules with violations that a summary names
	maxPrintedViolations = 3  // of one schedule
)

// exploreSummary sums up the schedules of one run.
type exploreSummary struct {
	Schedules  int              `json:"schedules"`
	Violations int              `json:"violations"`
	Served     float64          `json:"served"`
	Crossed    float64          `json:"crossed"`
	Regions    float64          `json:"regions"`
	Worst      float64          `json:"worst"`
	Peak       float64          `json:"peak"`
	Reversals  int              `json:"reversals"`
	SpreadHalf float64          `json:"spread_p50_s"` // from the first node that has a plan to the others, in the mean
	Spread     float64          `json:"spread_p99_s"`
	Bytes      float64          `json:"bytes_node_s"`
	OldPolicy  float64          `json:"old_policy_s"` // longest use of a policy after the next one was decided
	ChangeHalf float64          `json:"change_p50_s"` // in the mean over schedules
	Change99   float64          `json:"change_p99_s"`
	ChangeMost float64          `json:"change_longest_s"`
	Policies   int              `json:"policies"`
	GivenUp    int              `json:"given_up"`
	Commands   int              `json:"commands"` // of which an order was found
	Broken     []scheduleResult `json:"broken"`
}

func summarize(results []scheduleResult) *exploreSummary {
	summary := &exploreSummary{Worst: 1}
	count := float64(len(results))
	for i := range results {
		result := &results[i]
		summary.addMeans(result, count)
		summary.addExtremes(result)
		summary.addCounts(result)
		if len(result.Violations) > 0 && len(summary.Broken) < maxBrokenSchedules {
			summary.Broken = append(summary.Broken, *result)
		}
	}
	return summary
}

// addMeans adds a schedule's part of the figures that are means over count schedules.
func (s *exploreSummary) addMeans(result *scheduleResult, count float64) {
	figures := &result.Figures
	s.Served += figures.Served / count
	s.Crossed += figures.Crossed / count
	s.Regions += figures.Regions / count
	s.Bytes += result.Bytes / count
	s.SpreadHalf += figures.SpreadHalf / count
	s.Spread += figures.Spread / count
	s.ChangeHalf += figures.ChangeHalf / count
	s.Change99 += figures.Change99 / count
}

// addExtremes updates the figures that are of the worst schedule.
func (s *exploreSummary) addExtremes(result *scheduleResult) {
	figures := &result.Figures
	s.Worst = min(s.Worst, figures.Worst)
	s.Peak = max(s.Peak, figures.PeakUtilization)
	s.ChangeMost = max(s.ChangeMost, figures.ChangeMost)
	s.OldPolicy = max(s.OldPolicy, figures.OldPolicy)
}

// addCounts updates the figures that are totals.
func (s *exploreSummary) addCounts(result *scheduleResult) {
	s.Schedules++
	s.Violations += len(result.Violations)
	s.Reversals += result.Figures.Reversals
	s.Policies += result.Seen["policies"]
	s.GivenUp += result.Seen["change given up"]
	s.Commands += result.Seen["commands in order"]
}

func (s *exploreSummary) print(out io.Writer) {
	if s.Policies > 0 {
		printf(out, "%d schedules: %d policies decided, %d changes given up, %d commands in an order that fits; "+
			"the old one in use for %.2f s at most\n",
			s.Schedules, s.Policies, s.GivenUp, s.Commands, s.OldPolicy)
		printf(out, "from a command to a policy in force at the last node: "+
			"p50 %.2f s, p99 %.2f s (means), longest %.2f s\n",
			s.ChangeHalf, s.Change99, s.ChangeMost)
	}
	printf(out, "%d schedules: %.2f%% served, %.2f%% crossed zones, %.2f%% regions; "+
		"fullest zone %.0f%%, %d reversals\n",
		s.Schedules, 100*s.Served, 100*s.Crossed, 100*s.Regions, 100*s.Peak, s.Reversals)
	printf(out, "a plan reaches the others %.3f s (p50), %.3f s (p99) after the first; %.0f bytes a node and second\n",
		s.SpreadHalf, s.Spread, s.Bytes)
	for i := range s.Broken {
		schedule := &s.Broken[i]
		shown := min(maxPrintedViolations, len(schedule.Violations))
		for _, violation := range schedule.Violations[:shown] {
			printf(out, "seed %d at %.2f s: %s: %s\n", schedule.Seed, violation.At, violation.Rule, violation.What)
		}
	}
	printf(out, "violations: %d\n", s.Violations)
}
