package membership

import (
	"errors"
	"fmt"
	"slices"
	"testing"
)

// newFleet makes a list of nodes whose zones take turns.
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

// TestWatchers holds that each node is watched by few, none of them itself, from as many zones as there are.
func TestWatchers(t *testing.T) {
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
				t.Errorf("%+v: node %d is watched by %v", test, node, watchers)
			}
		}
		for watcher, count := range watched {
			if count > 6*max(1, test.watchers) {
				t.Errorf("%+v: node %d watches %d, wanted at most %d", test, watcher, count, 6*max(1, test.watchers))
			}
		}
	}
}

// TestNewListErrors holds which nodes do not make a list.
func TestNewListErrors(t *testing.T) {
	for name, nodes := range map[string][]Node{
		"no node":               nil,
		"too many":              make([]Node, MaxNodes+1),
		"no name":               {{Zone: "z"}},
		"no zone":               {{Name: "a"}},
		"a name twice":          {{Name: "a", Zone: "z"}, {Name: "a", Zone: "z"}},
		"a zone in two regions": {{Name: "a", Zone: "z", Region: "r"}, {Name: "b", Zone: "z", Region: "s"}},
	} {
		if _, err := NewList(nodes); !errors.Is(err, ErrInvalidList) {
			t.Errorf("%s: NewList gives %v, wanted %v", name, err, ErrInvalidList)
		}
	}
}
