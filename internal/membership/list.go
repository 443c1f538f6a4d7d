package membership

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxNodes bounds a fleet's list.
const MaxNodes = 4096

// watchersPerNode is how many nodes watch one node, where there are as many.
const watchersPerNode = 5

// ErrInvalidList says that nodes do not make a list: their number, a name, a zone or a region is wrong.
var ErrInvalidList = errors.New("invalid list of nodes")

// Node is one node as the operators name it.
type Node struct {
	Name   string
	Zone   string
	Region string
	Voter  bool // a replica of the replicated log
}

// List is the nodes of a fleet, numbered by the order of their names. It does not change: a new list is another List.
// A List belongs to one goroutine, since it computes watchers on demand.
type List struct {
	nodes    []Node
	numbers  map[string]int // by name
	zones    []string
	regions  map[string]string // by zone
	inZone   map[string][]int
	voters   []int
	watchers [][]int // by node; nil: not computed yet
}

// NewList makes a list. The error is an ErrInvalidList.
func NewList(nodes []Node) (*List, error) {
	if len(nodes) == 0 || len(nodes) > MaxNodes {
		return nil, fmt.Errorf("%w: %d nodes, 1 to %d are possible", ErrInvalidList, len(nodes), MaxNodes)
	}
	list := &List{
		nodes:    slices.Clone(nodes),
		numbers:  map[string]int{},
		regions:  map[string]string{},
		inZone:   map[string][]int{},
		watchers: make([][]int, len(nodes)),
	}
	slices.SortFunc(list.nodes, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	for i, node := range list.nodes {
		if err := list.add(i, node); err != nil {
			return nil, err
		}
	}
	slices.Sort(list.zones)
	return list, nil
}

// add takes node number i into the maps.
func (l *List) add(i int, node Node) error {
	if _, twice := l.numbers[node.Name]; twice || node.Name == "" || node.Zone == "" {
		return fmt.Errorf("%w: node %q: a name of its own and a zone are wanted", ErrInvalidList, node.Name)
	}
	region, known := l.regions[node.Zone]
	if known && region != node.Region {
		return fmt.Errorf("%w: node %q: its zone %q is in region %q, elsewhere in the list in %q",
			ErrInvalidList, node.Name, node.Zone, node.Region, region)
	}
	if !known {
		l.zones = append(l.zones, node.Zone)
		l.regions[node.Zone] = node.Region
	}
	l.numbers[node.Name] = i
	l.inZone[node.Zone] = append(l.inZone[node.Zone], i)
	if node.Voter {
		l.voters = append(l.voters, i)
	}
	return nil
}

// Len counts the nodes.
func (l *List) Len() int { return len(l.nodes) }

// Node is node number i.
func (l *List) Node(i int) Node { return l.nodes[i] }

// Index is a node's number; -1: the list does not have it.
func (l *List) Index(name string) int {
	if i, ok := l.numbers[name]; ok {
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

// Voters are the replicas of the replicated log.
func (l *List) Voters() []int { return l.voters }

// Voter is a node's place among the voters; -1: it is none.
func (l *List) Voter(i int) int { return slices.Index(l.voters, i) }

// Key is a hash of two nodes' names, for rendezvous hashing: all nodes order the others of one node alike by it, and
// differently for each node.
func (l *List) Key(a, b int) uint64 {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(l.nodes[a].Name)))
	hash := xxhash.New()
	_, _ = hash.WriteString(l.nodes[a].Name) // a hash never fails to write, here and below
	_, _ = hash.Write(length[:])
	_, _ = hash.WriteString(l.nodes[b].Name)
	return hash.Sum64()
}

// Watchers are the nodes that watch a node: few, the same for all who ask, and from as many zones as there are, so
// that the view of a node does not hang on one zone's lines.
func (l *List) Watchers(i int) []int {
	if l.watchers[i] == nil {
		l.watchers[i] = l.selectWatchers(l.othersByKey(i))
	}
	return l.watchers[i]
}

// othersByKey are all nodes but one, in the order of their keys with it.
func (l *List) othersByKey(i int) []int {
	type candidate struct {
		node int
		key  uint64
	}
	var candidates []candidate
	for j := range l.nodes {
		if j != i {
			candidates = append(candidates, candidate{node: j, key: l.Key(i, j)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.key, b.key) })
	others := make([]int, len(candidates))
	for place, candidate := range candidates {
		others[place] = candidate.node
	}
	return others
}

// selectWatchers takes, round by round, the first candidate of each zone that is not taken yet.
func (l *List) selectWatchers(candidates []int) []int {
	selected := []int{}
	rounds := map[string]int{} // by zone: the rounds that it has taken part in
	for round := 0; len(selected) < min(watchersPerNode, len(candidates)); round++ {
		for _, node := range candidates {
			zone := l.nodes[node].Zone
			if rounds[zone] == round && len(selected) < watchersPerNode && !slices.Contains(selected, node) {
				selected = append(selected, node)
				rounds[zone]++
			}
		}
		for zone := range l.inZone { // a zone that has no more nodes must not hold up the round
			rounds[zone] = max(rounds[zone], round+1)
		}
	}
	return selected
}
