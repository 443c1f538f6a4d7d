package failover

import (
	"fmt"
	"time"
)

// NodeView is what the leader knows of a node.
type NodeView struct {
	Live                 bool    // in the common view
	Plan                 uint64  // number of the newest plan that it has reported to have adopted
	LastReportSecondsAgo float64 // age of its last report in seconds; under 0: it has sent none
}

// NodeView is what is known of a node, by its number in the membership list.
func (p *Planner) NodeView(node int, now time.Duration) NodeView {
	view := NodeView{Live: p.cut.IsLive(node), Plan: p.adoptions.newestOf(node), LastReportSecondsAgo: -1}
	if at, heard := p.cut.LastReport(node); heard {
		view.LastReportSecondsAgo = (now - at).Seconds()
	}
	return view
}

// Explain describes for operators, line by line, what led to a zone's state; nil: there is no such zone. "Room", "told
// load" and "want" in the lines are capacity and demand in units of reported load; "hosts" are complete servers, and
// what they can do and have is their mean capacity and predicted load as one node sees them. Programs don't parse the
// lines.
func (p *Planner) Explain(zone string, now time.Duration) (lines []string) {
	state := p.zoneStates[zone]
	if state == nil {
		return nil
	}
	lines = append(lines,
		fmt.Sprintf("%s is %s since %v", zone, state.state, (now-state.since).Round(time.Second)),
		p.explainView(zone, now))
	if cause, failing := p.zoneFailure(zone, now); failing {
		lines = append(lines, "it is taken for bad: "+cause)
	} else if state.state == Lost {
		healthyFor := (now - state.healthySince).Round(time.Second)
		lines = append(lines,
			fmt.Sprintf("it is well again since %v; it comes back after %v, and %v after it last came back",
				healthyFor, p.rules.RecoveryDelay, flapPeriod))
	}
	lines = append(lines,
		fmt.Sprintf("room %.1f in told load, of which %.1f may be given now", state.capacity.capacity, state.usable()))
	for _, from := range p.zones {
		stats := p.paths[path{from, zone}]
		if stats != nil && now-stats.at < evidenceLifetime && stats.attempts >= 1 {
			lines = append(lines,
				fmt.Sprintf("from %s: %.0f tries of late, %.0f failed", from, stats.attempts, stats.failed))
		}
	}
	for i, class := range p.rules.Classes {
		lines = append(lines, fmt.Sprintf("its clients want %.1f of class %s", state.demand.byClass[i], class.Name))
	}
	return lines
}

// explainView describes what is known of a zone's servers, as the mean over the nodes that reported.
func (p *Planner) explainView(zone string, now time.Duration) string {
	view, ok := p.viewZone(zone, now)
	if !ok {
		return fmt.Sprintf("nobody has told of its hosts within %v", evidenceLifetime)
	}
	who := "other zones' nodes tell"
	if view.own {
		who = "its own nodes tell"
	}
	nodes := float64(max(view.Nodes, 1))
	return fmt.Sprintf(
		"%s (%.0f of them): %.1f hosts serve, %.1f are left out, together they can do %.1f and have %.1f",
		who, nodes, float64(view.Ready)/nodes, float64(view.Ejected)/nodes, float64(view.Capacity)/nodes,
		float64(view.Load)/nodes)
}
