package membership

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files; use it only to add a new form")

// TestGoldenList checks the numbers, zones, voters, keys and watchers of a list. All nodes of a fleet must compute the
// same ones from the same list, whatever their version.
func TestGoldenList(t *testing.T) {
	var nodes []Node
	for i := range 24 {
		nodes = append(nodes, Node{
			Name:   fmt.Sprintf("node-%d", i),
			Zone:   fmt.Sprintf("zone-%d", i%5),
			Region: fmt.Sprintf("region-%d", i%5/3),
			Voter:  i%8 == 1,
		})
	}
	list, err := NewList(nodes)
	if err != nil {
		t.Fatal(err)
	}
	got := describe(list)
	path := filepath.Join("testdata", "list.txt")
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("describe: got\n%s\nwant\n%s", got, want)
	}
}

// describe returns everything that a list provides, as text.
func describe(list *List) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "zones %v\nvoters %v\n", list.Zones(), list.Voters())
	for _, zone := range list.Zones() {
		fmt.Fprintf(&text, "zone %s region %s nodes %v\n", zone, list.Region(zone), list.InZone(zone))
	}
	for i := range list.Len() {
		node := list.Node(i)
		fmt.Fprintf(&text, "node %d name %s zone %s region %s voter %v key %016x watchers %v\n",
			i, node.Name, node.Zone, node.Region, node.Voter,
			list.RendezvousHash(i, (i+1)%list.Len()), list.Watchers(i))
	}
	return text.Bytes()
}
