package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func fleet(t testing.TB, nodes, zones int) *List {
	var all []Node
	for i := range nodes {
		all = append(all, Node{Name: fmt.Sprintf("n%03d", i), Zone: fmt.Sprintf("z%d", i%zones), Region: "r"})
	}
	l, err := NewList(all)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// TestWatchers holds that each node is watched by few, none of them itself, from as many zones as there are.
func TestWatchers(t *testing.T) {
	for _, c := range []struct{ nodes, zones, want, spread int }{{1, 1, 0, 0}, {2, 1, 1, 1}, {4, 2, 3, 2}, {30, 3, 5, 3}, {300, 9, 5, 5}} {
		l := fleet(t, c.nodes, c.zones)
		load := map[int]int{}
		for i := range c.nodes {
			w := l.Watchers(i)
			zones := map[string]bool{}
			for _, j := range w {
				zones[l.Node(j).Zone] = true
				load[j]++
			}
			if len(w) != c.want || slices.Contains(w, i) || len(zones) < c.spread {
				t.Errorf("%+v: node %d is watched by %v", c, i, w)
			}
		}
		for j, n := range load {
			if n > 6*max(1, c.want) {
				t.Errorf("%+v: node %d watches %d", c, j, n)
			}
		}
	}
}

// TestCut plays what watchers say, as cases: who is taken out of the view, and who is not.
func TestCut(t *testing.T) {
	l := fleet(t, 30, 3)
	all := func(skip ...int) (ids []int) {
		for i := range 30 {
			if !slices.Contains(skip, i) {
				ids = append(ids, i)
			}
		}
		return ids
	}
	for _, c := range []struct {
		name  string
		speak []int                      // whose words come
		says  func(from int) (out []int) // whom each doesn't hear
		lost  []int
	}{
		{"all hear all", all(), func(int) []int { return nil }, nil},
		{"one is gone", all(3), func(from int) []int { return []int{3} }, []int{3}},
		{"one hears nobody", all(), func(from int) []int {
			if from == 7 {
				return all(7)
			}
			return nil
		}, nil},
		{"one is not heard by one watcher", all(3), func(from int) []int {
			if from == l.Watchers(3)[0] {
				return []int{3}
			}
			return nil
		}, nil},
		{"one that speaks is not gone, whatever two watchers say", all(), func(from int) []int {
			if slices.Contains(l.Watchers(3)[:2], from) {
				return []int{3}
			}
			return nil
		}, nil},
		{"a zone is gone", all(l.InZone("z1")...), func(int) []int { return l.InZone("z1") }, l.InZone("z1")},
		{"nobody says anything", nil, func(int) []int { return nil }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			cut := NewCut(l, nil, 0)
			now := time.Duration(0)
			for range 40 {
				now += 250 * time.Millisecond
				for _, i := range c.speak {
					var out []int
					for _, j := range c.says(i) {
						if slices.Contains(l.Watchers(j), i) {
							out = append(out, j)
						}
					}
					cut.Word(i, out, now)
				}
				cut.Step(now)
			}
			if got := cut.Lost(); !slices.Equal(got, c.lost) {
				t.Fatalf("out of the view are %v, wanted %v", got, c.lost)
			}
			// All are well again: after a while all are back, not at once.
			cut.Step(now)
			for i := range 30 {
				now += 250 * time.Millisecond
				for _, n := range all() {
					cut.Word(n, nil, now)
				}
				cut.Step(now)
				if i == 3 && len(cut.Lost()) < len(c.lost) {
					t.Error("back after a second")
				}
			}
			if got := cut.Lost(); len(got) > 0 {
				t.Errorf("still out: %v", got)
			}
		})
	}
}

// TestWatch holds what a node says of those that it watches, also when it stood still itself.
func TestWatch(t *testing.T) {
	l := fleet(t, 30, 3)
	w := NewWatch(l, 0, 0)
	var watched []int
	for i := range w.heard {
		watched = append(watched, i)
	}
	slices.Sort(watched)
	if len(watched) < 2 {
		t.Skip("it watches too few")
	}
	now := time.Duration(0)
	for range 20 {
		now += 500 * time.Millisecond
		for _, i := range watched[1:] {
			w.Heard(i, now)
		}
		w.Tick(now)
	}
	if got := w.Silent(now); !slices.Equal(got, watched[:1]) {
		t.Errorf("silent are %v, wanted %v", got, watched[:1])
	}
	now += 10 * time.Second // it was stopped
	w.Tick(now)
	if got := w.Silent(now); len(got) > 0 {
		t.Errorf("after it stood still it says that %v are silent", got)
	}
}
