package failover

import (
	"math"
	"time"
)

// Observe processes the evidence from a zone's nodes, which one of the zone's aggregators has summed. From stale
// evidence, which was delayed in transit, it uses only the statuses of the nodes.
func (p *Planner) Observe(aggregator int, summary EvidenceSummary, stale bool, now time.Duration) {
	state := p.zoneStates[summary.Zone]
	if state == nil {
		return
	}
	p.observeNodes(&summary, now)
	report := &state.report
	redundant := aggregator != report.aggregator && now-report.at < evidenceLifetime/2 &&
		len(summary.Nodes) <= len(report.summary.Nodes) // the other aggregator reported no fewer nodes
	if stale || redundant {
		return
	}
	for _, evidence := range summary.Zones {
		p.observePath(path{summary.Zone, evidence.Zone}, float64(evidence.Attempts), float64(evidence.Failed), now)
	}
	state.demand.update(p.rules.Classes, &summary, now)
	*report = zoneReport{summary: summary, at: now, aggregator: aggregator}
}

// observeNodes processes the reports of a zone's nodes about unreachable nodes and the plans that they have adopted.
func (p *Planner) observeNodes(summary *EvidenceSummary, now time.Duration) {
	for _, status := range summary.Nodes {
		if status.Node < 0 || status.Node >= p.list.Len() || p.list.Node(status.Node).Zone != summary.Zone {
			continue
		}
		p.cutDetector.Report(status.Node, status.Unreachable, now)
		p.adoptions.record(status.Node, status.Plan, now)
	}
}

// observePath adds newly reported attempts to the statistics of a path.
func (p *Planner) observePath(between path, attempts, failed float64, now time.Duration) {
	stats := p.paths[between]
	if stats == nil {
		stats = &pathStats{at: now}
		p.paths[between] = stats
	}
	fade := math.Exp(-(now - stats.at).Seconds())
	stats.attempts = stats.attempts*fade + attempts
	stats.failed = stats.failed*fade + failed
	stats.at = now
}
