// Package membership says who of a fleet is there, in common: nodes watch one another, and one that leads takes a node for lost
// when most of its watchers say so. Free of I/O; time is a value.
package membership

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// BeatEvery is the time between two beats of a node to its watchers.
	BeatEvery = 500 * time.Millisecond
	// MostNodes bounds a fleet's list.
	MostNodes = 4096
	watchers  = 5 // of one node

	silentAfter = 2 * time.Second // without a beat: four in a row are lost or late
	stallGap    = time.Second     // between two ticks: then this node itself stood still, and others get their time anew
	wordLife    = 3 * time.Second // of a watcher's word
	settle      = time.Second     // more voices may come: what breaks together is taken out together
	backAfter   = 3 * time.Second // heard again
)

// Node is one node as the operators name it.
type Node struct {
	Name, Zone, Region string
	Voter              bool
}

// List is the nodes of a fleet. It doesn't change; a new list is another List.
type List struct {
	nodes   []Node
	at      map[string]int
	zones   []string
	regions map[string]string // by zone
	inZone  map[string][]int
	voters  []int
	watch   [][]int // by node, its watchers
}

// NewList makes a list. Its order is the names', so that all who have the same list number its nodes alike.
func NewList(nodes []Node) (*List, error) {
	if len(nodes) == 0 || len(nodes) > MostNodes {
		return nil, fmt.Errorf("%d nodes: 1 to %d are possible", len(nodes), MostNodes)
	}
	l := &List{nodes: slices.Clone(nodes), at: map[string]int{}, regions: map[string]string{}, inZone: map[string][]int{}}
	slices.SortFunc(l.nodes, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	for i, n := range l.nodes {
		if _, twice := l.at[n.Name]; twice || n.Name == "" || n.Zone == "" {
			return nil, fmt.Errorf("node %q: a name of its own and a zone are wanted", n.Name)
		}
		if r, ok := l.regions[n.Zone]; ok && r != n.Region {
			return nil, fmt.Errorf("node %q: its zone %q is in region %q, elsewhere in the list in %q", n.Name, n.Zone, n.Region, r)
		}
		if _, known := l.regions[n.Zone]; !known {
			l.zones = append(l.zones, n.Zone)
		}
		l.at[n.Name], l.regions[n.Zone] = i, n.Region
		l.inZone[n.Zone] = append(l.inZone[n.Zone], i)
		if n.Voter {
			l.voters = append(l.voters, i)
		}
	}
	slices.Sort(l.zones)
	l.watch = make([][]int, len(l.nodes))
	return l, nil
}

// Len counts the nodes.
func (l *List) Len() int { return len(l.nodes) }

// Node is node number i.
func (l *List) Node(i int) Node { return l.nodes[i] }

// Index is a node's number, or -1.
func (l *List) Index(name string) int {
	if i, ok := l.at[name]; ok {
		return i
	}
	return -1
}

// Zones are the zones, by name.
func (l *List) Zones() []string { return l.zones }

// Region is a zone's region.
func (l *List) Region(zone string) string { return l.regions[zone] }

// InZone are the nodes of a zone.
func (l *List) InZone(zone string) []int { return l.inZone[zone] }

// Voters are the voters.
func (l *List) Voters() []int { return l.voters }

// Voter is a node's place among the voters, or -1.
func (l *List) Voter(i int) int { return slices.Index(l.voters, i) }

// Key is a hash by which all nodes order two nodes alike, unlike for any others.
func (l *List) Key(a, b int) uint64 {
	var p [8]byte
	h := xxhash.New()
	h.WriteString(l.nodes[a].Name)
	binary.BigEndian.PutUint64(p[:], uint64(len(l.nodes[a].Name)))
	h.Write(p[:])
	h.WriteString(l.nodes[b].Name)
	return h.Sum64()
}

// Watchers are those who watch a node: few, the same for all who ask, and from as many zones as there are, so that no zone's
// bad line is all that is heard of it.
func (l *List) Watchers(i int) []int {
	if l.watch[i] != nil {
		return l.watch[i]
	}
	type other struct {
		node int
		key  uint64
	}
	var all []other
	for j := range l.nodes {
		if j != i {
			all = append(all, other{j, l.Key(i, j)})
		}
	}
	slices.SortFunc(all, func(a, b other) int { return cmp.Compare(a.key, b.key) })
	picked, used := []int{}, map[string]int{}
	for round := 0; len(picked) < min(watchers, len(all)); round++ {
		for _, o := range all {
			if zone := l.nodes[o.node].Zone; used[zone] == round && len(picked) < watchers && !slices.Contains(picked, o.node) {
				picked = append(picked, o.node)
				used[zone]++
			}
		}
		for z := range l.inZone { // a zone that has no more nodes must not hold the round
			used[z] = max(used[z], round+1)
		}
	}
	l.watch[i] = picked
	return picked
}

// Watch is what one node hears of those it watches.
type Watch struct {
	list  *List
	self  int
	heard map[int]time.Duration
	last  time.Duration
}

// NewWatch begins to watch; all get their time from now on.
func NewWatch(l *List, self int, now time.Duration) *Watch {
	w := &Watch{list: l, self: self, heard: map[int]time.Duration{}, last: now}
	for i := range l.nodes {
		if i != self && slices.Contains(l.Watchers(i), self) {
			w.heard[i] = now
		}
	}
	return w
}

// Heard says that a node's beat came.
func (w *Watch) Heard(i int, now time.Duration) {
	if _, ok := w.heard[i]; ok {
		w.heard[i] = now
	}
}

// Tick notices when this node itself stood still: what it did not hear meanwhile says nothing of others (Lifeguard's local
// health, Dadgar et al. 2018).
func (w *Watch) Tick(now time.Duration) {
	if now-w.last > stallGap {
		for i := range w.heard {
			w.heard[i] = now
		}
	}
	w.last = now
}

// Silent are those watched that are not heard. A node that hears next to nobody says nothing: its own line is the likelier
// cause.
func (w *Watch) Silent(now time.Duration) (silent []int) {
	for i, at := range w.heard {
		if now-at > silentAfter {
			silent = append(silent, i)
		}
	}
	if len(w.heard) >= 3 && len(silent) > len(w.heard)*2/3 {
		return nil
	}
	slices.Sort(silent)
	return silent
}

// Cut is the one view of who is there, held by the one that leads (multi-node cut detection as in Rapid, Suresh et al. 2018).
type Cut struct {
	list  *List
	words map[int]word
	lost  map[int]time.Duration // since when
	ok    map[int]time.Duration // of the lost: since when they are heard again
	first map[int]time.Duration // when the first voice against one came
}

type word struct {
	at     time.Duration
	silent []int
}

// NewCut begins with all there but those given.
func NewCut(l *List, lost []int, now time.Duration) *Cut {
	c := &Cut{list: l, words: map[int]word{}, lost: map[int]time.Duration{}, ok: map[int]time.Duration{}, first: map[int]time.Duration{}}
	for _, i := range lost {
		c.lost[i] = now
	}
	return c
}

// Word takes a node's word: whom, of those it watches, it doesn't hear. It shows as well that the node itself is there.
func (c *Cut) Word(from int, silent []int, now time.Duration) { c.words[from] = word{now, silent} }

// voices counts a node's watchers that don't hear it, of those whose word is fresh and who are there themselves.
func (c *Cut) voices(i int, now time.Duration) (against, fresh int) {
	for _, w := range c.list.Watchers(i) {
		k, ok := c.words[w]
		if _, gone := c.lost[w]; !ok || gone || now-k.at > wordLife {
			continue
		}
		if fresh++; slices.Contains(k.silent, i) {
			against++
		}
	}
	return against, fresh
}

// Step says whether the view has changed.
func (c *Cut) Step(now time.Duration) (changed bool) {
	var out []int
	wait := false
	for i := range c.list.nodes {
		against, fresh := c.voices(i, now)
		own, spoke := c.words[i]
		spoke = spoke && now-own.at <= wordLife
		enough := against > fresh/2 && (against >= 2 || fresh == 1 && len(c.list.Watchers(i)) == 1)
		if since, gone := c.lost[i]; gone {
			if enough || against > 0 && !spoke || fresh == 0 && !spoke {
				delete(c.ok, i)
			} else if at, ok := c.ok[i]; !ok {
				c.ok[i] = now
			} else if now-at >= backAfter && now-since >= backAfter {
				delete(c.lost, i)
				delete(c.ok, i)
				changed = true
			}
			continue
		}
		switch {
		case against == 0 || spoke:
			delete(c.first, i)
			continue
		case c.first[i] == 0:
			c.first[i] = now
		}
		if enough {
			out = append(out, i)
		} else if now-c.first[i] < settle {
			wait = true // what breaks together is taken out together
		}
	}
	if wait && !slices.ContainsFunc(out, func(i int) bool { return now-c.first[i] >= 2*settle }) {
		return changed
	}
	for _, i := range out {
		c.lost[i] = now
		delete(c.first, i)
		changed = true
	}
	return changed
}

// Live says whether a node is there, in the common view.
func (c *Cut) Live(i int) bool { _, gone := c.lost[i]; return !gone }

// LostSince says since when a node is out of the view.
func (c *Cut) LostSince(i int) (time.Duration, bool) { at, gone := c.lost[i]; return at, gone }

// Lost are the nodes out of the view.
func (c *Cut) Lost() (all []int) {
	for i := range c.lost {
		all = append(all, i)
	}
	slices.Sort(all)
	return all
}

// Heard says when a node's word last came.
func (c *Cut) Heard(i int) (time.Duration, bool) { w, ok := c.words[i]; return w.at, ok }
