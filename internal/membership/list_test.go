package membership

import (
	"errors"
	"fmt"
	"slices"
	"testing"
)

// newFleet returns a list of nodes that are assigned to the zones in turn.
func newFleet(tb testing.TB, nodes, zones int) *List {
	tb.Helper()
	var all []Node
	for i := range nodes {
		all = append(all, Node{Name: fmt.Sprintf("n%03d", i), Zone: fmt.Sprintf("z%d", i%zones), Region: "r"})
	}
	list, err := NewList(all)
	if err != nil {
		tb.Fatalf("NewList of %d nodes in %d zones: %v", nodes, zones, err)
	}
	return list
}

// TestWatchersAreFewAndSpreadOverZones checks that few nodes watch each node, that no node watches itself, that the
// watchers come from as many zones as possible, and that no node watches too many.
func TestWatchersAreFewAndSpreadOverZones(t *testing.T) {
	for _, test := range []struct{ nodes, zones, watchers, spread int }{
		{1, 1, 0, 0}, {2, 1, 1, 1}, {4, 2, 3, 2}, {30, 3, 5, 3}, {300, 9, 5, 5},
	} {
		list := newFleet(t, test.nodes, test.zones)
		watched := map[int]int{} // by watcher
		for node := range test.nodes {
			watchers := list.Watchers(node)
			zones := map[string]bool{}
			for _, watcher := range watchers {
				zones[list.Node(watcher).Zone] = true
				watched[watcher]++
			}
			if len(watchers) != test.watchers || slices.Contains(watchers, node) || len(zones) < test.spread {
				t.Errorf("%+v: Watchers(%d): got %v, want other nodes, as many and from as many zones as given",
					test, node, watchers)
			}
		}
		for watcher, count := range watched {
			if count > 6*max(1, test.watchers) {
				t.Errorf("%+v: node %d watches %d nodes, want at most %d",
					test, watcher, count, 6*max(1, test.watchers))
			}
		}
	}
}

// TestNewListRejectsInvalidNodes checks which nodes NewList rejects.
func TestNewListRejectsInvalidNodes(t *testing.T) {
	for name, nodes := range map[string][]Node{
		"no nodes":            nil,
		"too many nodes":      make([]Node, MaxNodes+1),
		"no name":             {{Zone: "z"}},
		"no zone":             {{Name: "a"}},
		"duplicate name":      {{Name: "a", Zone: "z"}, {Name: "a", Zone: "z"}},
		"zone in two regions": {{Name: "a", Zone: "z", Region: "r"}, {Name: "b", Zone: "z", Region: "s"}},
	} {
		if _, err := NewList(nodes); !errors.Is(err, ErrInvalidList) {
			t.Errorf("%s: NewList: got error %v, want %v", name, err, ErrInvalidList)
		}
	}
}
