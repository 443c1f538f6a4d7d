package membership

import (
	"slices"
	"time"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a node to its watchers.
	HeartbeatInterval = 500 * time.Millisecond

	heartbeatTimeout = 2 * time.Second // without a heartbeat: four in a row are lost or late
	stallGap         = time.Second     // between two ticks: then this node itself was stalled
	// minWatched is the least number of watched nodes by which a failure detector recognizes a fault of its own
	// network.
	minWatched = 3

	reportTTL = 3 * time.Second // of a failure detector's report
	// settleTime is how long suspicions are collected before nodes are removed from the view, so that nodes that fail
	// together are removed in one change.
	settleTime = time.Second
	// maxSettleTime is how long a failed node waits for suspicions of others that are undecided.
	maxSettleTime = 2 * settleTime
	// recoveryTime is how long a lost node has to be reachable before it is in the view again.
	recoveryTime = 3 * time.Second
)

// FailureDetector is one node's failure detector for the nodes that it watches.
type FailureDetector struct {
	lastHeartbeat map[int]time.Duration // by watched node: when its last heartbeat came
	lastTick      time.Duration
}

// NewFailureDetector is the failure detector of a node, by its number in the list. All watched nodes count as reachable
// now.
func NewFailureDetector(list *List, self int, now time.Duration) *FailureDetector {
	detector := &FailureDetector{lastHeartbeat: map[int]time.Duration{}, lastTick: now}
	for i := range list.nodes {
		if i != self && slices.Contains(list.Watchers(i), self) {
			detector.lastHeartbeat[i] = now
		}
	}
	return detector
}

// RecordHeartbeat notes the arrival of a node's heartbeat; one of a node that is not watched is ignored.
func (d *FailureDetector) RecordHeartbeat(node int, now time.Duration) {
	if _, watched := d.lastHeartbeat[node]; watched {
		d.lastHeartbeat[node] = now
	}
}

// Tick has to be called several times a second. A longer gap shows that this node itself was stalled and may have
// missed heartbeats: all watched nodes count as reachable now (local health as in Lifeguard, Dadgar et al. 2018).
func (d *FailureDetector) Tick(now time.Duration) {
	if now-d.lastTick > stallGap {
		for node := range d.lastHeartbeat {
			d.lastHeartbeat[node] = now
		}
	}
	d.lastTick = now
}

// Unreachable are the watched nodes without a heartbeat for heartbeatTimeout, in ascending order. Where these are more
// than two thirds of all, none is reported, since a fault of this node's own network is the likelier cause.
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

// CutDetector is the leader's view of which nodes are live (multi-node cut detection as in Rapid, Suresh et al. 2018).
// A node is removed from the view once most of its watchers report it as unreachable.
type CutDetector struct {
	list      *List
	reports   map[int]report        // by reporting node
	lost      map[int]time.Duration // by node out of the view: since when
	recovered map[int]time.Duration // by lost node that is reachable again: since when
	suspected map[int]time.Duration // by node in the view: when its first watcher reported it as unreachable
}

// report is the newest report of one node's failure detector.
type report struct {
	at          time.Duration
	unreachable []int
}

// NewCutDetector begins with all nodes live but those given.
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

// Report records a node's report: which of the nodes that it watches are unreachable. The report is also evidence that
// the node itself is live. The caller must not change the slice afterwards.
func (c *CutDetector) Report(from int, unreachable []int, now time.Duration) {
	c.reports[from] = report{at: now, unreachable: unreachable}
}

// verdict is the sum of the reports on one node.
type verdict struct {
	suspecting    int  // its watchers that report it as unreachable
	reporting     int  // its watchers that are in the view and have reported within reportTTL
	reportsItself bool // it has itself reported within reportTTL
	failed        bool // more than half of the reporting watchers suspect it, and at least two, or its only one
}

// judge sums up what the reports say of a node.
func (c *CutDetector) judge(node int, now time.Duration) (judged verdict) {
	watchers := c.list.Watchers(node)
	for _, watcher := range watchers {
		report, ok := c.freshReport(watcher, now)
		if _, lost := c.lost[watcher]; !ok || lost {
			continue
		}
		judged.reporting++
		if slices.Contains(report.unreachable, node) {
			judged.suspecting++
		}
	}
	_, judged.reportsItself = c.freshReport(node, now)
	judged.failed = judged.suspecting > judged.reporting/2 &&
		(judged.suspecting >= 2 || judged.reporting == 1 && len(watchers) == 1)
	return judged
}

func (c *CutDetector) freshReport(from int, now time.Duration) (report, bool) {
	latest, ok := c.reports[from]
	return latest, ok && now-latest.at <= reportTTL
}

// Step updates the view by the reports, and reports whether it has changed.
func (c *CutDetector) Step(now time.Duration) (changed bool) {
	var failed []int
	undecided := false
	for node := range c.list.nodes {
		judged := c.judge(node, now)
		if _, lost := c.lost[node]; lost {
			changed = c.recover(node, judged, now) || changed
			continue
		}
		switch c.suspect(node, judged, now) {
		case suspicionNone:
		case suspicionUndecided:
			undecided = true
		case suspicionFailed:
			failed = append(failed, node)
		}
	}
	// While other suspicions are undecided, which may be of the same fault, failed nodes wait for them for a while.
	settled := func(node int) bool { return now-c.suspected[node] >= maxSettleTime }
	if undecided && !slices.ContainsFunc(failed, settled) {
		return changed
	}
	for _, node := range failed {
		c.lost[node] = now
		delete(c.suspected, node)
		changed = true
	}
	return changed
}

// suspicion is the state of a node in the view.
type suspicion uint8

const (
	suspicionNone      suspicion = iota
	suspicionUndecided           // suspected for less than settleTime, by too few of its watchers to be failed
	suspicionFailed              // to be removed from the view
)

// suspect returns the suspicion of a node in the view, and notes since when it is suspected. A node that reports itself
// is not suspected, nor one that too few of its watchers still suspect after settleTime.
func (c *CutDetector) suspect(node int, judged verdict, now time.Duration) suspicion {
	switch {
	case judged.suspecting == 0 || judged.reportsItself:
		delete(c.suspected, node)
		return suspicionNone
	case c.suspected[node] == 0:
		c.suspected[node] = now
	}
	switch {
	case judged.failed:
		return suspicionFailed
	case now-c.suspected[node] < settleTime:
		return suspicionUndecided
	}
	return suspicionNone
}

// recover takes a lost node back into the view once it has been reachable for recoveryTime.
func (c *CutDetector) recover(node int, judged verdict, now time.Duration) (back bool) {
	if judged.failed || !judged.reportsItself && (judged.suspecting > 0 || judged.reporting == 0) {
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

// IsLive says whether a node is in the view.
func (c *CutDetector) IsLive(node int) bool {
	_, lost := c.lost[node]
	return !lost
}

// LostSince says since when a node is out of the view.
func (c *CutDetector) LostSince(node int) (time.Duration, bool) {
	since, lost := c.lost[node]
	return since, lost
}

// Lost are the nodes out of the view.
func (c *CutDetector) Lost() (nodes []int) {
	for node := range c.lost {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	return nodes
}

// LastReport says when a node's last report came.
func (c *CutDetector) LastReport(node int) (time.Duration, bool) {
	latest, ok := c.reports[node]
	return latest.at, ok
}
