package main

import "io"

const (
	maxBrokenSchedules   = 20 // schedules with violations that a summary lists
	maxPrintedViolations = 3  // of one schedule
)

// exploreSummary summarizes the schedules of one run.
type exploreSummary struct {
	Schedules  int              `json:"schedules"`
	Violations int              `json:"violations"`
	Served     float64          `json:"served"`
	Crossed    float64          `json:"crossed"`
	Regions    float64          `json:"regions"`
	Worst      float64          `json:"worst"`
	Peak       float64          `json:"peak"`
	Reversals  int              `json:"reversals"`
	SpreadP50  float64          `json:"spread_p50_s"` // first node with a plan to the others; mean over schedules
	SpreadP99  float64          `json:"spread_p99_s"`
	Bytes      float64          `json:"bytes_node_s"`
	OldPolicy  float64          `json:"old_policy_s"` // longest use of a policy after the next one was committed
	ChangeP50  float64          `json:"change_p50_s"` // command to policy in force; mean over schedules
	ChangeP99  float64          `json:"change_p99_s"`
	ChangeMax  float64          `json:"change_longest_s"`
	Policies   int              `json:"policies"`
	Aborted    int              `json:"given_up"`
	Commands   int              `json:"commands"` // operators' commands for which a consistent order exists
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

// addMeans adds a schedule's part of the figures that are means over all count schedules.
func (s *exploreSummary) addMeans(result *scheduleResult, count float64) {
	figures := &result.Figures
	s.Served += figures.Served / count
	s.Crossed += figures.Crossed / count
	s.Regions += figures.Regions / count
	s.Bytes += result.Bytes / count
	s.SpreadP50 += figures.SpreadHalf / count
	s.SpreadP99 += figures.Spread / count
	s.ChangeP50 += figures.ChangeHalf / count
	s.ChangeP99 += figures.Change99 / count
}

// addExtremes updates the figures that are the maximum or minimum over all schedules.
func (s *exploreSummary) addExtremes(result *scheduleResult) {
	figures := &result.Figures
	s.Worst = min(s.Worst, figures.Worst)
	s.Peak = max(s.Peak, figures.PeakUtilization)
	s.ChangeMax = max(s.ChangeMax, figures.ChangeMost)
	s.OldPolicy = max(s.OldPolicy, figures.OldPolicy)
}

// addCounts updates the figures that are totals.
func (s *exploreSummary) addCounts(result *scheduleResult) {
	s.Schedules++
	s.Violations += len(result.Violations)
	s.Reversals += result.Figures.Reversals
	s.Policies += result.Seen["policies"]
	s.Aborted += result.Seen["change given up"]
	s.Commands += result.Seen["commands in order"]
}

func (s *exploreSummary) print(out io.Writer) {
	if s.Policies > 0 {
		printf(out, "%d schedules: %d policies committed, %d changes aborted, %d commands in a consistent order; "+
			"the old policy in use for at most %.2f s after a commit\n",
			s.Schedules, s.Policies, s.Aborted, s.Commands, s.OldPolicy)
		printf(out, "from a command until its policy is in force at all nodes: "+
			"p50 %.2f s, p99 %.2f s (means), longest %.2f s\n",
			s.ChangeP50, s.ChangeP99, s.ChangeMax)
	}
	printf(out, "%d schedules: %.2f%% served, %.2f%% crossed zones, %.2f%% crossed regions; "+
		"fullest zone %.0f%%, %d recovered zones lost again\n",
		s.Schedules, 100*s.Served, 100*s.Crossed, 100*s.Regions, 100*s.Peak, s.Reversals)
	printf(out, "a plan reaches the other nodes %.3f s (p50), %.3f s (p99) after the first; %.0f bytes/s per node\n",
		s.SpreadP50, s.SpreadP99, s.Bytes)
	for i := range s.Broken {
		schedule := &s.Broken[i]
		shown := min(maxPrintedViolations, len(schedule.Violations))
		for _, violation := range schedule.Violations[:shown] {
			printf(out, "seed %d at %.2f s: %s: %s\n", schedule.Seed, violation.At, violation.Rule, violation.What)
		}
	}
	printf(out, "violations: %d\n", s.Violations)
}
