package capture

import (
	"fmt"
	"testing"
)

// TestManyHosts has more hosts than a block holds: each file begins with all of them, and can be read.
func TestManyHosts(t *testing.T) {
	const hosts = 40000
	writer := newWriter(options(t))
	for i := range hosts {
		id := fmt.Sprintf("server-%06d.zone-1.example.net:4000", i)
		writer.hosts[id] = Host{ID: id, Zone: "zone-1", Kind: "kind-1"}
	}
	if err := writer.openFile(); err != nil {
		t.Fatal(err)
	}
	writer.files.close()
	count, faults := readRequests(t, writer.Files()[0])
	if count.hosts != hosts || len(faults) > 0 {
		t.Errorf("got %d hosts and faults %v, want %d and no fault", count.hosts, faults, hosts)
	}
}
