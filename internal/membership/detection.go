package membership

import (
	"slices"
	"time"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a node to its watchers.
	HeartbeatInterval = 500 * time.Millisecond

	silentAfter = 2 * time.Second // without a heartbeat: four in a row are lost or late
	stallGap    = time.Second     // between two ticks: then this node itself has stalled
	// minWatched is from how many watched nodes on a failure detector can tell its own bad line from theirs.
	minWatched = 3

	reportTTL = 3 * time.Second // of a failure detector's report
	// A node that may have failed waits so long for others that fail with it: what fails together is taken out
	// together.
	settleTime = time.Second
	// recoveryTime is how long a node that was taken out has to be heard before it is back.
	recoveryTime = 3 * time.Second
)

// FailureDetector is one node's failure detector for the nodes that it watches.
type FailureDetector struct {
	heard    map[int]time.Duration // by watched node: when its last heartbeat came
	lastTick time.Duration
}

// NewFailureDetector begins to watch; all watched nodes count as heard now.
func NewFailureDetector(list *List, self int, now time.Duration) *FailureDetector {
	detector := &FailureDetector{heard: map[int]time.Duration{}, lastTick: now}
	for i := range list.nodes {
		if i != self && slices.Contains(list.Watchers(i), self) {
			detector.heard[i] = now
		}
	}
	return detector
}

// RecordHeartbeat notes that a node's heartbeat came.
func (d *FailureDetector) RecordHeartbeat(node int, now time.Duration) {
	if _, watched := d.heard[node]; watched {
		d.heard[node] = now
	}
}

// Tick notices when this node itself has stalled: what it did not hear meanwhile says nothing of others, who count as
// heard now (local health as in Lifeguard, Dadgar et al. 2018).
func (d *FailureDetector) Tick(now time.Duration) {
	if now-d.lastTick > stallGap {
		for node := range d.heard {
			d.heard[node] = now
		}
	}
	d.lastTick = now
}

// Silent are the watched nodes that are not heard. A node that hears next to nobody reports nobody: its own line is the
// likelier cause.
func (d *FailureDetector) Silent(now time.Duration) (silent []int) {
	for node, at := range d.heard {
		if now-at > silentAfter {
			silent = append(silent, node)
		}
	}
	if len(d.heard) >= minWatched && len(silent) > len(d.heard)*2/3 {
		return nil
	}
	slices.Sort(silent)
	return silent
}

// CutDetector is the leader's view of who is live (multi-node cut detection as in Rapid, Suresh et al. 2018).
type CutDetector struct {
	list      *List
	reports   map[int]report        // by reporting node
	lost      map[int]time.Duration // nodes out of the view: since when
	recovered map[int]time.Duration // of those: since when they are heard again
	suspected map[int]time.Duration // nodes in the view: when the first report against one came
}

// report is what one node's failure detector says.
type report struct {
	at     time.Duration
	silent []int
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

// Report takes a node's report: which of the nodes that it watches it does not hear. It shows as well that the node
// itself is live. The caller must not change the slice afterwards.
func (c *CutDetector) Report(from int, silent []int, now time.Duration) {
	c.reports[from] = report{at: now, silent: silent}
}

// verdict is what the reports say of one node.
type verdict struct {
	against int  // of its watchers, those that do not hear it
	fresh   int  // of its watchers, those that are in the view and have reported of late
	reports bool // it has reported itself of late
	failed  bool // most of its watchers say so
}

// judge sums up what the reports say of a node.
func (c *CutDetector) judge(node int, now time.Duration) (judged verdict) {
	watchers := c.list.Watchers(node)
	for _, watcher := range watchers {
		report, ok := c.freshReport(watcher, now)
		if _, lost := c.lost[watcher]; !ok || lost {
			continue
		}
		judged.fresh++
		if slices.Contains(report.silent, node) {
			judged.against++
		}
	}
	_, judged.reports = c.freshReport(node, now)
	judged.failed = judged.against > judged.fresh/2 &&
		(judged.against >= 2 || judged.fresh == 1 && len(watchers) == 1)
	return judged
}

func (c *CutDetector) freshReport(from int, now time.Duration) (report, bool) {
	latest, ok := c.reports[from]
	return latest, ok && now-latest.at <= reportTTL
}

// Step goes by the reports; changed says that the view is another one.
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
	// What fails together is taken out together: the undecided ones may be more of the same cut.
	if undecided && !slices.ContainsFunc(failed, func(node int) bool { return now-c.suspected[node] >= 2*settleTime }) {
		return changed
	}
	for _, node := range failed {
		c.lost[node] = now
		delete(c.suspected, node)
		changed = true
	}
	return changed
}

// suspicion is how far a node in the view is from being taken out of it.
type suspicion uint8

const (
	suspicionNone suspicion = iota
	suspicionUndecided
	suspicionFailed
)

// suspect notes since when there are reports against a node of the view.
func (c *CutDetector) suspect(node int, judged verdict, now time.Duration) suspicion {
	switch {
	case judged.against == 0 || judged.reports:
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

// recover takes a lost node back into the view once it has been heard for long enough.
func (c *CutDetector) recover(node int, judged verdict, now time.Duration) (back bool) {
	if judged.failed || !judged.reports && (judged.against > 0 || judged.fresh == 0) {
		delete(c.recovered, node)
		return false
	}
	since, heard := c.recovered[node]
	if !heard {
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
