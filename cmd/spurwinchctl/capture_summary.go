package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"spurwinch/internal/plan/workload"
)

func printSummary(out io.Writer, summary *workload.Summary) {
	printTotals(out, summary)
	table := newReportTable(out)
	printLine(table, "  class\trequests/s\tmean lifetime\tmedian\t99%\tmean load\trefused")
	printCategories(table, summary.Classes)
	printLine(table, "  edition\t\t\t\t\t\t")
	printCategories(table, summary.Tenants)
	printLine(table, "  host\tkind\tzone\treports\tmean load\tpeak\t")
	for _, id := range slices.Sorted(maps.Keys(summary.Servers)) {
		host := summary.Servers[id]
		printf(table, "  %s\t%s\t%s\t%d\t%.2f\t%.2f\t\n", id, host.Kind, host.Zone, host.Reports, host.Load, host.Peak)
	}
	flushTable(table)
}

func printTotals(out io.Writer, summary *workload.Summary) {
	printf(out, "Capture of %d nodes, from %s, %.1f s; it covers %.0f%% of the groups or clients\n",
		summary.Nodes, summary.Begin.UTC().Format(time.RFC3339), summary.LengthS, 100*summary.Share)
	answers := summary.Answers
	printf(out, "%d requests of %d clients: "+
		"%d connected, %d served at once, %d refused, %d failed, %d clients left before an answer\n",
		summary.Requests, summary.Clients,
		answers["up"], answers["served"], answers["refused"], answers["failed"], answers["left"])
	printf(out, "Time to an answer: median %.1f ms, 99th percentile %.1f ms; mean number of attempts %.2f\n",
		summary.AnswerMedianMS, summary.Answer99MS, summary.AttemptsMean)
	ends := summary.Ends
	printf(out, "Connections: %d closed by clients, %d closed by hosts, %d migrated, %d open at the end\n",
		ends["client"], ends["host"], ends["moved"], ends["none"])
	printf(out, "Groups: %d, with a mean of %.1f requests, %d in the largest\n",
		summary.Groups, summary.GroupMean, summary.LargestGroup)
	printf(out, "Peak: %.1f requests/s in the 10 s from %.0f s on; at most %d concurrent connections, at %.0f s\n\n",
		summary.PeakRate, summary.PeakAtS, summary.PeakConcurrency, summary.PeakConcurrencyAtS)
}

// loadText formats the mean load of a class, or states that no host reported one.
func loadText(load float64) string {
	if load == 0 {
		return "not reported"
	}
	return fmt.Sprintf("%.3g", load)
}

// printCategories prints a row for each class or edition.
func printCategories(table *tabwriter.Writer, categories []workload.Breakdown) {
	for i := range categories {
		category := &categories[i]
		printf(table, "  %s\t%.2f\t%.1f s\t%.1f s\t%.1f s\t%s\t%.1f%%\n",
			category.Name, category.Rate, category.LifetimeMeanS, category.LifetimeMedianS, category.Lifetime99S,
			loadText(category.Load), 100*category.RejectedFraction)
	}
}
