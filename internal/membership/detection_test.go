package membership

import (
	"slices"
	"testing"
	"time"
)

const (
	fleetNodes  = 30
	reportEvery = 250 * time.Millisecond
)

func nodesBut(without ...int) (nodes []int) {
	for node := range fleetNodes {
		if !slices.Contains(without, node) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// TestCut plays what failure detectors report, as cases: who is taken out of the view, and who is not.
func TestCut(t *testing.T) {
	list := newFleet(t, fleetNodes, 3)
	none := func(int) []int { return nil }
	for _, test := range []struct {
		name        string
		reporting   []int                // nodes whose reports come
		unreachable func(from int) []int // the nodes that are unreachable for one
		lost        []int
	}{
		{"all reach all", nodesBut(), none, nil},
		{"one is gone", nodesBut(3), func(int) []int { return []int{3} }, []int{3}},
		{"one reaches none", nodesBut(), func(from int) []int {
			if from == 7 {
				return nodesBut(7)
			}
			return nil
		}, nil},
		{"one is unreachable for one watcher", nodesBut(3), func(from int) []int {
			if from == list.Watchers(3)[0] {
				return []int{3}
			}
			return nil
		}, nil},
		{"one that reports is not gone, whatever two watchers say", nodesBut(), func(from int) []int {
			if slices.Contains(list.Watchers(3)[:2], from) {
				return []int{3}
			}
			return nil
		}, nil},
		{
			"a zone is gone", nodesBut(list.InZone("z1")...),
			func(int) []int { return list.InZone("z1") }, list.InZone("z1"),
		},
		{"nobody reports anything", nil, none, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			cut := NewCutDetector(list, nil, 0)
			now := playReports(cut, test.reporting, test.unreachable)
			if lost := cut.Lost(); !slices.Equal(lost, test.lost) {
				t.Fatalf("out of the view are %v, wanted %v", lost, test.lost)
			}
			checkRecovery(t, cut, test.lost, now)
		})
	}
}

// playReports has nodes report for ten seconds which of the nodes that they watch are unreachable.
func playReports(cut *CutDetector, reporting []int, unreachable func(from int) []int) (now time.Duration) {
	for range 40 {
		now += reportEvery
		for _, from := range reporting {
			var notHeard []int
			for _, node := range unreachable(from) {
				if slices.Contains(cut.list.Watchers(node), from) {
					notHeard = append(notHeard, node)
				}
			}
			cut.Report(from, notHeard, now)
		}
		cut.Step(now)
	}
	return now
}

// checkRecovery wants all nodes in the view again after a while in which all reach all, and not at once.
func checkRecovery(t *testing.T, cut *CutDetector, lost []int, now time.Duration) {
	t.Helper()
	cut.Step(now)
	for i := range 30 {
		now += reportEvery
		for _, node := range nodesBut() {
			cut.Report(node, nil, now)
		}
		cut.Step(now)
		if i == 3 && len(cut.Lost()) < len(lost) {
			t.Errorf("a second later out of the view are %v, wanted still %v", cut.Lost(), lost)
		}
	}
	if still := cut.Lost(); len(still) > 0 {
		t.Errorf("still out of the view are %v, wanted none", still)
	}
}

// TestUnreachable checks which nodes a failure detector reports as unreachable, also when its own node was stalled.
func TestUnreachable(t *testing.T) {
	watch := NewFailureDetector(newFleet(t, fleetNodes, 3), 0, 0)
	var watched []int
	for node := range watch.lastHeartbeat {
		watched = append(watched, node)
	}
	slices.Sort(watched)
	if len(watched) < 2 {
		t.Skip("it watches too few")
	}
	now := time.Duration(0)
	for range 20 {
		now += HeartbeatInterval
		for _, node := range watched[1:] {
			watch.RecordHeartbeat(node, now)
		}
		watch.Tick(now)
	}
	if unreachable := watch.Unreachable(now); !slices.Equal(unreachable, watched[:1]) {
		t.Errorf("unreachable are %v, wanted %v", unreachable, watched[:1])
	}
	now += 10 * time.Second // the node was stopped
	watch.Tick(now)
	if unreachable := watch.Unreachable(now); len(unreachable) > 0 {
		t.Errorf("after its own node was stalled unreachable are %v, wanted none", unreachable)
	}
}
