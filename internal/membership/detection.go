package membership

import (
	"slices"
	"time"
)

const (
	// HeartbeatInterval is the time between two heartbeats that a node sends to its watchers.
	HeartbeatInterval = 500 * time.Millisecond

	// heartbeatTimeout is the time without a heartbeat after which a node counts as unreachable. Four heartbeats in a
	// row were then lost or late.
	heartbeatTimeout = 2 * time.Second
	// stallThreshold limits the gap between two ticks. A longer gap means that this node itself was stalled.
	stallThreshold = time.Second
	// minWatched is the least number of watched nodes with which a failure detector can recognize a fault of its own
	// node's network.
	minWatched = 3

	reportTTL = 3 * time.Second // how long a failure detector's report is valid
	// settleTime is how long a suspicion by too few watchers counts as undecided. The cut detector waits for undecided
	// suspicions before it removes nodes from the view, so that it removes nodes that fail together in one change.
	settleTime = time.Second
	// maxSettleTime limits how long the removal of a failed node waits for undecided suspicions of other nodes.
	maxSettleTime = 2 * settleTime
	// recoveryTime is how long a lost node must be reachable before it is added to the view again.
	recoveryTime = 3 * time.Second
)

// FailureDetector is the failure detector of one node for the nodes that it watches.
type FailureDetector struct {
	lastHeartbeat map[int]time.Duration // when the last heartbeat arrived, by watched node
	lastTick      time.Duration
}

// NewFailureDetector returns the failure detector of a node. self is the node's number in the list. All watched nodes
// count as reachable at first.
func NewFailureDetector(list *List, self int, now time.Duration) *FailureDetector {
	detector := &FailureDetector{lastHeartbeat: map[int]time.Duration{}, lastTick: now}
	for i := range list.nodes {
		if i != self && slices.Contains(list.Watchers(i), self) {
			detector.lastHeartbeat[i] = now
		}
	}
	return detector
}

// RecordHeartbeat records the arrival of a node's heartbeat. It ignores heartbeats of nodes that are not watched.
func (d *FailureDetector) RecordHeartbeat(node int, now time.Duration) {
	if _, watched := d.lastHeartbeat[node]; watched {
		d.lastHeartbeat[node] = now
	}
}

// Tick must be called several times a second. A gap longer than stallThreshold means that this node itself was stalled
// and may have missed heartbeats. Tick then counts all watched nodes as reachable (local health as in Lifeguard, Dadgar
// et al. 2018).
func (d *FailureDetector) Tick(now time.Duration) {
	if now-d.lastTick > stallThreshold {
		for node := range d.lastHeartbeat {
			d.lastHeartbeat[node] = now
		}
	}
	d.lastTick = now
}

// Unreachable returns the watched nodes without a heartbeat for heartbeatTimeout, in ascending order. If at least
// minWatched nodes are watched and more than two thirds of them are unreachable, it returns none, because a fault of
// this node's own network is then the more likely cause.
func (d *FailureDetector) Unreachable(now time.Duration) (unreachable []int) {
	for node, at := range d.lastHeartbeat {
		if now-at > heartbeatTimeout {
			unreachable = append(unreachable, node)
		}
	}
	if len(d.lastHeartbeat) >= minWatched && len(unreachable) > len(d.lastHeartbeat)*2/3 {
		return nil
	}
	slices.Sort(unreachable)
	return unreachable
}

// CutDetector maintains the leader's view of which nodes are live (multi-node cut detection as in Rapid, Suresh et al.
// 2018). It removes a node from the view once most of the node's watchers report it as unreachable.
type CutDetector struct {
	list      *List
	reports   map[int]report        // by reporting node
	lost      map[int]time.Duration // when a node was removed from the view, by node
	recovered map[int]time.Duration // when a lost node became reachable again, by node
	suspected map[int]time.Duration // when a watcher first reported a node in the view as unreachable, by node
}

// report is the latest report of one node's failure detector.
type report struct {
	at          time.Duration
	unreachable []int
}

// NewCutDetector returns a cut detector whose view includes all nodes except the lost ones.
func NewCutDetector(list *List, lost []int, now time.Duration) *CutDetector {
	cut := &CutDetector{
		list:      list,
		reports:   map[int]report{},
		lost:      map[int]time.Duration{},
		recovered: map[int]time.Duration{},
		suspected: map[int]time.Duration{},
	}
	for _, node := range lost {
		cut.lost[node] = now
	}
	return cut
}

// Report records the report of node from, which lists the watched nodes that it can't reach. The report is also
// evidence that the reporting node is live. The caller must not change the slice afterwards.
func (c *CutDetector) Report(from int, unreachable []int, now time.Duration) {
	c.reports[from] = report{at: now, unreachable: unreachable}
}

// reportSummary summarizes the reports about one node.
type reportSummary struct {
	suspecting    int  // number of reporting watchers that report the node as unreachable
	reporting     int  // number of its watchers that are in the view and have reported within reportTTL
	reportsItself bool // the node itself has reported within reportTTL
	failed        bool // more than half of the reporting watchers suspect it, and at least two or its only watcher
}

// summarizeReports summarizes the reports about a node.
func (c *CutDetector) summarizeReports(node int, now time.Duration) (summary reportSummary) {
	watchers := c.list.Watchers(node)
	for _, watcher := range watchers {
		latest, ok := c.freshReport(watcher, now)
		if _, lost := c.lost[watcher]; !ok || lost {
			continue
		}
		summary.reporting++
		if slices.Contains(latest.unreachable, node) {
			summary.suspecting++
		}
	}
	_, summary.reportsItself = c.freshReport(node, now)
	summary.failed = summary.suspecting > summary.reporting/2 &&
		(summary.suspecting >= 2 || summary.reporting == 1 && len(watchers) == 1)
	return summary
}

// freshReport returns a node's latest report, and whether it is still valid.
func (c *CutDetector) freshReport(from int, now time.Duration) (report, bool) {
	latest, ok := c.reports[from]
	return latest, ok && now-latest.at <= reportTTL
}

// Step updates the view from the reports, and reports whether the view has changed.
func (c *CutDetector) Step(now time.Duration) (changed bool) {
	var failed []int
	undecided := false
	for node := range c.list.nodes {
		summary := c.summarizeReports(node, now)
		if _, lost := c.lost[node]; lost {
			changed = c.recover(node, summary, now) || changed
			continue
		}
		switch c.updateSuspicion(node, summary, now) {
		case suspicionNone:
		case suspicionUndecided:
			undecided = true
		case suspicionFailed:
			failed = append(failed, node)
		}
	}
	// Undecided suspicions of other nodes may have the same cause. The removal of failed nodes therefore waits for
	// them, but at most for maxSettleTime.
	waitedLongEnough := func(node int) bool { return now-c.suspected[node] >= maxSettleTime }
	if undecided && !slices.ContainsFunc(failed, waitedLongEnough) {
		return changed
	}
	for _, node := range failed {
		c.lost[node] = now
		delete(c.suspected, node)
		changed = true
	}
	return changed
}

// suspicion is the degree to which a node in the view is suspected of failure.
type suspicion uint8

const (
	suspicionNone      suspicion = iota
	suspicionUndecided           // suspected for less than settleTime, by too few watchers to count as failed
	suspicionFailed              // to be removed from the view
)

// updateSuspicion returns the suspicion of a node in the view, and records when the node was first suspected. A node
// that itself sends reports is not suspected. Suspicion by too few watchers is ignored after settleTime.
func (c *CutDetector) updateSuspicion(node int, summary reportSummary, now time.Duration) suspicion {
	switch {
	case summary.suspecting == 0 || summary.reportsItself:
		delete(c.suspected, node)
		return suspicionNone
	case c.suspected[node] == 0:
		c.suspected[node] = now
	}
	switch {
	case summary.failed:
		return suspicionFailed
	case now-c.suspected[node] < settleTime:
		return suspicionUndecided
	}
	return suspicionNone
}

// recover adds a lost node to the view again once it has been reachable for recoveryTime. It reports whether it
// added the node.
func (c *CutDetector) recover(node int, summary reportSummary, now time.Duration) (added bool) {
	if summary.failed || !summary.reportsItself && (summary.suspecting > 0 || summary.reporting == 0) {
		delete(c.recovered, node)
		return false
	}
	since, reachable := c.recovered[node]
	if !reachable {
		c.recovered[node] = now
		return false
	}
	if now-since < recoveryTime || now-c.lost[node] < recoveryTime {
		return false
	}
	delete(c.lost, node)
	delete(c.recovered, node)
	return true
}

// IsLive reports whether a node is in the view.
func (c *CutDetector) IsLive(node int) bool {
	_, lost := c.lost[node]
	return !lost
}

// LostSince returns when a node was removed from the view, and whether it is out of the view.
func (c *CutDetector) LostSince(node int) (time.Duration, bool) {
	since, lost := c.lost[node]
	return since, lost
}

// Lost returns the nodes that are out of the view, in ascending order.
func (c *CutDetector) Lost() (nodes []int) {
	for node := range c.lost {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	return nodes
}

// LastReport returns when a node's latest report arrived, and whether there is one.
func (c *CutDetector) LastReport(node int) (time.Duration, bool) {
	latest, ok := c.reports[node]
	return latest.at, ok
}
