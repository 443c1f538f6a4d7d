package failover

import (
	"fmt"
	"time"
)

// NodeView is what the leader knows about a node.
type NodeView struct {
	Live                 bool    // whether the cut detector considers it live
	Plan                 uint64  // number of the newest plan that it has reported to have adopted
	LastReportSecondsAgo float64 // age of its last report in seconds; negative if it has sent none
}

// NodeView returns what is known about a node, given by its index in the membership list.
func (p *Planner) NodeView(node int, now time.Duration) NodeView {
	view := NodeView{Live: p.cutDetector.IsLive(node), Plan: p.adoptions.newestPlanOf(node), LastReportSecondsAgo: -1}
	if at, heard := p.cutDetector.LastReport(node); heard {
		view.LastReportSecondsAgo = (now - at).Seconds()
	}
	return view
}

// Explain describes to operators, as lines of text, what led to a zone's state. It returns nil for an unknown zone. In
// the lines, "room" is capacity and "want" is demand, both in units of reported load ("told load"). "Hosts" are
// complete servers. What hosts "can do" and "have" is their mean capacity and predicted load, as one node sees them.
// Programs don't parse the lines.
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
			fmt.Sprintf("its hosts have answered for %v; it returns after %v, at the earliest %v after its last return",
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

// explainView describes a zone's servers as the mean over the nodes that reported on them.
func (p *Planner) explainView(zone string, now time.Duration) string {
	view, ok := p.viewZone(zone, now)
	if !ok {
		return fmt.Sprintf("no node has reported on its hosts within %v", evidenceLifetime)
	}
	observers := "other zones' nodes tell"
	if view.own {
		observers = "its own nodes tell"
	}
	nodes := float64(max(view.Nodes, 1))
	return fmt.Sprintf(
		"%s (%.0f of them): %.1f hosts serve, %.1f are left out, together they can do %.1f and have %.1f",
		observers, nodes, float64(view.Ready)/nodes, float64(view.Ejected)/nodes, float64(view.Capacity)/nodes,
		float64(view.Load)/nodes)
}
