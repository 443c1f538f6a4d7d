package membership

import (
	"slices"
	"testing"
	"time"
)

const (
	fleetNodes     = 30
	reportInterval = 250 * time.Millisecond
)

// nodesExcept returns the numbers of all nodes of the fleet except some.
func nodesExcept(without ...int) (nodes []int) {
	for node := range fleetNodes {
		if !slices.Contains(without, node) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// TestCutDetectorLostNodes checks which nodes the cut detector removes from the view for given reports, and that it
// adds them again once they are reachable.
func TestCutDetectorLostNodes(t *testing.T) {
	list := newFleet(t, fleetNodes, 3)
	noneUnreachable := func(int) []int { return nil }
	for _, test := range []struct {
		name        string
		reporting   []int                // nodes whose reports arrive
		unreachable func(from int) []int // nodes that node from can't reach
		lost        []int                // nodes that are then out of the view
	}{
		{"all nodes reach all", nodesExcept(), noneUnreachable, nil},
		{"one node failed", nodesExcept(3), func(int) []int { return []int{3} }, []int{3}},
		{"one node reaches no other", nodesExcept(), func(from int) []int {
			if from == 7 {
				return nodesExcept(7)
			}
			return nil
		}, nil},
		{"one watcher can't reach a node", nodesExcept(3), func(from int) []int {
			if from == list.Watchers(3)[0] {
				return []int{3}
			}
			return nil
		}, nil},
		{"two watchers can't reach a node that reports", nodesExcept(), func(from int) []int {
			if slices.Contains(list.Watchers(3)[:2], from) {
				return []int{3}
			}
			return nil
		}, nil},
		{
			"a zone failed", nodesExcept(list.InZone("z1")...),
			func(int) []int { return list.InZone("z1") }, list.InZone("z1"),
		},
		{"no node reports", nil, noneUnreachable, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			cut := NewCutDetector(list, nil, 0)
			now := playReports(cut, test.reporting, test.unreachable)
			if lost := cut.Lost(); !slices.Equal(lost, test.lost) {
				t.Fatalf("Lost: got %v, want %v", lost, test.lost)
			}
			checkRecovery(t, cut, test.lost, now)
		})
	}
}

// playReports makes the reporting nodes report for ten seconds which of the nodes that they watch are unreachable.
func playReports(cut *CutDetector, reporting []int, unreachable func(from int) []int) (now time.Duration) {
	for range 40 {
		now += reportInterval
		for _, from := range reporting {
			var reported []int
			for _, node := range unreachable(from) {
				if slices.Contains(cut.list.Watchers(node), from) {
					reported = append(reported, node)
				}
			}
			cut.Report(from, reported, now)
		}
		cut.Step(now)
	}
	return now
}

// checkRecovery checks that the lost nodes are added to the view again some time after all nodes reach each other, but
// not immediately.
func checkRecovery(t *testing.T, cut *CutDetector, lost []int, now time.Duration) {
	t.Helper()
	cut.Step(now)
	for i := range 30 {
		now += reportInterval
		for _, node := range nodesExcept() {
			cut.Report(node, nil, now)
		}
		cut.Step(now)
		if i == 3 && len(cut.Lost()) < len(lost) {
			t.Errorf("Lost after one second: got %v, want %v", cut.Lost(), lost)
		}
	}
	if still := cut.Lost(); len(still) > 0 {
		t.Errorf("Lost after recovery: got %v, want none", still)
	}
}

// TestUnreachable checks which nodes a failure detector reports as unreachable, including after its own node stalled.
func TestUnreachable(t *testing.T) {
	detector := NewFailureDetector(newFleet(t, fleetNodes, 3), 0, 0)
	var watched []int
	for node := range detector.lastHeartbeat {
		watched = append(watched, node)
	}
	slices.Sort(watched)
	if len(watched) < 2 {
		t.Skip("the node watches fewer than two others")
	}
	now := time.Duration(0)
	for range 20 {
		now += HeartbeatInterval
		for _, node := range watched[1:] {
			detector.RecordHeartbeat(node, now)
		}
		detector.Tick(now)
	}
	if unreachable := detector.Unreachable(now); !slices.Equal(unreachable, watched[:1]) {
		t.Errorf("Unreachable: got %v, want %v", unreachable, watched[:1])
	}
	now += 10 * time.Second // the node was stalled
	detector.Tick(now)
	if unreachable := detector.Unreachable(now); len(unreachable) > 0 {
		t.Errorf("Unreachable after a stall of its own node: got %v, want none", unreachable)
	}
}
