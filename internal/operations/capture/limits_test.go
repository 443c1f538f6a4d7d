package capture

import (
	"fmt"
	"strings"
	"testing"
)

// TestManyHostsSpanSeveralBlocks checks that a file begins with all servers of the endpoint list and can be read when
// they don't fit into one block.
func TestManyHostsSpanSeveralBlocks(t *testing.T) {
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
		t.Errorf("reading the file: got %d hosts and faults %v, want %d and no fault", count.hosts, faults, hosts)
	}
}

// TestLongHostIDIsTruncatedInAllRecords writes a server's id that is over the limit of a record, and so long that the
// attempts of one request would not fit into a block. Attempts and reports must have the same truncated id as the
// server's Host record.
func TestLongHostIDIsTruncatedInAllRecords(t *testing.T) {
	writer := startWriter(t, options(t))
	id := strings.Repeat("x", maxRawBytes/maxAttempts)
	attempts := make([]Attempt, maxAttempts+1)
	for i := range attempts {
		attempts[i].Host = id
	}
	writer.Put(Host{ID: id})
	writer.Put(Placed{Seq: 1, Tenant: -1, Attempts: attempts})
	writer.Put(Report{Host: id})
	closeWriter(writer)
	var names []string
	_, faults, err := ReadFile(writer.Files()[0], func(_ Header, record Record) {
		switch record := record.(type) {
		case Host:
			names = append(names, record.ID)
		case Placed:
			for _, attempt := range record.Attempts {
				names = append(names, attempt.Host)
			}
		case Report:
			names = append(names, record.Host)
		}
	})
	if err != nil || len(faults) > 0 || len(names) != 1+maxAttempts+1 {
		t.Fatalf("ReadFile: got %d names, faults %v and error %v, want %d names and no fault",
			len(names), faults, err, 1+maxAttempts+1)
	}
	for _, name := range names {
		if name != id[:maxNameBytes] {
			t.Errorf("ReadFile: got a host's id of %d bytes, want its first %d", len(name), maxNameBytes)
		}
	}
	if attempts[0].Host != id {
		t.Error("Put: the caller's attempts were changed, want them unchanged")
	}
}
