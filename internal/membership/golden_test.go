package membership

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew: only for a form that is new")

// TestGoldenList holds what all nodes of a fleet must work out alike from one list, whatever their version: numbers, zones, voters, keys
// and watchers.
func TestGoldenList(t *testing.T) {
	var nodes []Node
	for i := range 24 {
		nodes = append(nodes, Node{Name: fmt.Sprintf("node-%d", i), Zone: fmt.Sprintf("zone-%d", i%5), Region: fmt.Sprintf("region-%d", i%5/3), Voter: i%8 == 1})
	}
	l, err := NewList(nodes)
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	fmt.Fprintf(&got, "zones %v\nvoters %v\n", l.Zones(), l.Voters())
	for _, zone := range l.Zones() {
		fmt.Fprintf(&got, "zone %s region %s nodes %v\n", zone, l.Region(zone), l.InZone(zone))
	}
	for i := range l.Len() {
		n := l.Node(i)
		fmt.Fprintf(&got, "node %d name %s zone %s region %s voter %v key %016x watchers %v\n",
			i, n.Name, n.Zone, n.Region, n.Voter, l.Key(i, (i+1)%l.Len()), l.Watchers(i))
	}
	path := filepath.Join("testdata", "list.txt")
	if *update {
		if err := os.WriteFile(path, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("got\n%s\nwanted\n%s", got.Bytes(), want)
	}
}
