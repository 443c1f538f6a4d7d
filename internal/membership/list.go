package membership

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxNodes is the most nodes that a list can hold.
const MaxNodes = 4096

// watchersPerNode is how many nodes watch one node, if the list has enough nodes.
const watchersPerNode = 5

// ErrInvalidList means that a list of nodes is invalid, because of the number of nodes, a name, a zone or a region.
var ErrInvalidList = errors.New("invalid list of nodes")

// Node is one node as the operators configured it.
type Node struct {
	Name   string
	Zone   string
	Region string
	Voter  bool // the node is a replica of the replicated log
}

// List holds the nodes of a fleet, numbered in the order of their names. Its nodes do not change. Different nodes need
// another List. A List must be used by only one goroutine, because it computes watchers on demand.
type List struct {
	nodes    []Node
	numbers  map[string]int    // by name
	zones    []string          // sorted by name
	regions  map[string]string // by zone
	inZone   map[string][]int  // nodes by zone
	voters   []int
	watchers [][]int // by node; nil until computed
}

// NewList returns a list of nodes. The error is an ErrInvalidList.
func NewList(nodes []Node) (*List, error) {
	if len(nodes) == 0 || len(nodes) > MaxNodes {
		return nil, fmt.Errorf("%w: %d nodes, must be between 1 and %d", ErrInvalidList, len(nodes), MaxNodes)
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

// add adds node number i to the maps and lists.
func (l *List) add(i int, node Node) error {
	if _, duplicate := l.numbers[node.Name]; duplicate || node.Name == "" || node.Zone == "" {
		return fmt.Errorf("%w: node %q must have a unique name and a zone", ErrInvalidList, node.Name)
	}
	region, known := l.regions[node.Zone]
	if known && region != node.Region {
		return fmt.Errorf("%w: node %q: zone %q has region %q here, but region %q at an earlier node",
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

// Len returns the number of nodes.
func (l *List) Len() int { return len(l.nodes) }

// Node returns node number i.
func (l *List) Node(i int) Node { return l.nodes[i] }

// Index returns a node's number, or -1 if the list does not have the node.
func (l *List) Index(name string) int {
	if i, ok := l.numbers[name]; ok {
		return i
	}
	return -1
}

// Zones returns the zones, sorted by name.
func (l *List) Zones() []string { return l.zones }

// Region returns a zone's region.
func (l *List) Region(zone string) string { return l.regions[zone] }

// InZone returns the nodes of a zone, in ascending order.
func (l *List) InZone(zone string) []int { return l.inZone[zone] }

// Voters returns the nodes that are replicas of the replicated log, in ascending order.
func (l *List) Voters() []int { return l.voters }

// VoterIndex returns a node's index among the voters, or -1 if it is not a voter.
func (l *List) VoterIndex(i int) int { return slices.Index(l.voters, i) }

// RendezvousHash returns a hash of the names of two nodes, for rendezvous hashing. Sorting the other nodes by their
// keys with one node gives that node's order. All nodes compute the same order for a node, and the order differs from
// node to node.
func (l *List) RendezvousHash(a, b int) uint64 {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(l.nodes[a].Name)))
	hash := xxhash.New()
	_, _ = hash.WriteString(l.nodes[a].Name) // writing to a hash never fails, here and below
	_, _ = hash.Write(length[:])
	_, _ = hash.WriteString(l.nodes[b].Name)
	return hash.Sum64()
}

// Watchers returns the nodes that watch a node. They are few, every node computes the same ones, and they come from as
// many zones as possible, so that the view of a node does not depend on the network links of one zone.
func (l *List) Watchers(i int) []int {
	if l.watchers[i] == nil {
		l.watchers[i] = l.selectWatchers(l.othersByKey(i))
	}
	return l.watchers[i]
}

// othersByKey returns all nodes except node i, in the order of their keys with it.
func (l *List) othersByKey(i int) []int {
	type candidate struct {
		node int
		key  uint64
	}
	var candidates []candidate
	for j := range l.nodes {
		if j != i {
			candidates = append(candidates, candidate{node: j, key: l.RendezvousHash(i, j)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.key, b.key) })
	others := make([]int, len(candidates))
	for position, candidate := range candidates {
		others[position] = candidate.node
	}
	return others
}

// selectWatchers selects watchers in rounds. Each round selects the first remaining candidate of each zone.
func (l *List) selectWatchers(candidates []int) []int {
	selected := []int{}
	rounds := map[string]int{} // number of rounds that a zone has taken part in, by zone
	for round := 0; len(selected) < min(watchersPerNode, len(candidates)); round++ {
		for _, node := range candidates {
			zone := l.nodes[node].Zone
			if rounds[zone] == round && len(selected) < watchersPerNode && !slices.Contains(selected, node) {
				selected = append(selected, node)
				rounds[zone]++
			}
		}
		for zone := range l.inZone { // a zone without further candidates must not block the next round
			rounds[zone] = max(rounds[zone], round+1)
		}
	}
	return selected
}
