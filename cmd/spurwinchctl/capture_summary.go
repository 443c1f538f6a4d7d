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
	printLine(table, "  class\trequests/s\tlife mean\tmedian\t99%\tload mean\trefused")
	printCategories(table, summary.Classes)
	printLine(table, "  edition\t\t\t\t\t\t")
	printCategories(table, summary.Tenants)
	printLine(table, "  host\tkind\tzone\treports\tload mean\tpeak\t")
	for _, id := range slices.Sorted(maps.Keys(summary.Servers)) {
		host := summary.Servers[id]
		printf(table, "  %s\t%s\t%s\t%d\t%.2f\t%.2f\t\n", id, host.Kind, host.Zone, host.Reports, host.Load, host.Peak)
	}
	flushTable(table)
}

func printTotals(out io.Writer, summary *workload.Summary) {
	printf(out, "Capture of %d nodes, from %s, %.1f s; %.0f%% of groups or clients are in it\n",
		summary.Nodes, summary.Begin.UTC().Format(time.RFC3339), summary.LengthS, 100*summary.Share)
	answers := summary.Answers
	printf(out, "%d requests of %d clients: "+
		"%d up, %d served at once, %d refused, %d failed, %d left before an answer\n",
		summary.Requests, summary.Clients,
		answers["up"], answers["served"], answers["refused"], answers["failed"], answers["left"])
	printf(out, "Answers took %.1f ms in the median, %.1f ms at the 99th percentile; %.2f attempts each\n",
		summary.AnswerMedianMS, summary.Answer99MS, summary.AttemptsMean)
	ends := summary.Ends
	printf(out, "Ends of connections: %d by clients, %d by hosts, %d moved, %d stood at the end\n",
		ends["client"], ends["host"], ends["moved"], ends["none"])
	printf(out, "Groups: %d, of %.1f requests in the mean, %d in the largest\n",
		summary.Groups, summary.GroupMean, summary.LargestGroup)
	printf(out, "Peak: %.1f requests a second over the 10 s from %.0f s on; most standing %d at %.0f s\n\n",
		summary.PeakRate, summary.PeakAtS, summary.PeakConcurrency, summary.PeakConcurrencyAtS)
}

// loadText prints the mean load of a class, or that no host reported it.
func loadText(load float64) string {
	if load == 0 {
		return "not told"
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
