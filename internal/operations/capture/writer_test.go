package capture

import (
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestRotation checks that files are bounded in size and number, and that each can be read alone.
func TestRotation(t *testing.T) {
	path := writeRequests(t, 20000, func(options *Options) {
		options.FileSize = 100 << 10
		options.Files = 3
	})
	files, err := filepath.Glob(filepath.Join(filepath.Dir(path), "*"))
	if err != nil || len(files) != 3 {
		t.Fatalf("got files %v and error %v, want 3 files", files, err)
	}
	for _, file := range files[:2] {
		if size := fileSize(t, file); size > 200<<10 {
			t.Errorf("%s has %d bytes, want %d at most", file, size, 200<<10)
		}
		if count, faults := readRequests(t, file); count.hosts != 1 || len(faults) > 0 {
			t.Errorf("%s: got %+v and faults %v, want 1 host and no fault", file, count, faults)
		}
	}
}

// TestSampledShare checks that a share has whole groups, with the ends of their connections.
func TestSampledShare(t *testing.T) {
	count, _ := readRequests(t, writeRequests(t, 7000, func(options *Options) { options.Share = 0.5 }))
	if count.placed%1000 != 0 || count.placed == 0 || count.placed == 7000 || count.ended != count.placed {
		t.Errorf("half the groups: got %+v, want some groups of 1000 requests, each with its end", count)
	}
}

// TestFullQueueDropsRecords checks that a writer that can't keep up drops and counts records, and that Put returns.
func TestFullQueueDropsRecords(t *testing.T) {
	writer := &Writer{queue: make(chan Record, 16)} // nobody reads
	for range 1000 {
		writer.Put(Ended{})
	}
	if got, want := writer.Dropped(), uint64(1000-16); got != want {
		t.Errorf("%d records are counted, want %d", got, want)
	}
}

// TestNewNames adds a class while the node runs: its records stand in a file whose header names it.
func TestNewNames(t *testing.T) {
	options := options(t)
	options.Files = 9
	writer := startWriter(t, options)
	writer.Put(Placed{Seq: 1, Class: 0, Client: 1, Tenant: -1})
	writer.SetNames([]string{"a", "b"}, []string{"t"})
	writer.Put(Placed{Seq: 2, Class: 1, Client: 2, Tenant: 0})
	closeWriter(writer)
	got := map[string]int{}
	for _, name := range writer.Files() {
		_, faults, err := ReadFile(name, func(header Header, record Record) {
			if request, ok := record.(Placed); ok {
				got[header.Classes[request.Class]]++
			}
		})
		if err != nil || len(faults) > 0 {
			t.Errorf("%s: got error %v and faults %v, want none", name, err, faults)
		}
	}
	if got["a"] != 1 || got["b"] != 1 {
		t.Errorf("got requests by class %v, want 1 of a and 1 of b", got)
	}
}

// TestLongHostNames has a host whose id, zone and kind are longer than a record holds, and would be cut inside a
// character: the record and those of its block are read back, each text a whole number of characters.
func TestLongHostNames(t *testing.T) {
	writer := startWriter(t, options(t))
	long := "x" + strings.Repeat("é", maxNameBytes) // two bytes a character: byte maxNameBytes lies inside one
	writer.Put(Host{ID: long, Zone: long, Kind: long})
	writer.Put(Placed{Seq: 1, Tenant: -1})
	closeWriter(writer)
	var got []Record
	_, faults, err := ReadFile(writer.Files()[0], func(_ Header, record Record) { got = append(got, record) })
	if err != nil || len(faults) > 0 || len(got) != 2 {
		t.Fatalf("got %d records, faults %v and error %v, want 2 records and no fault", len(got), faults, err)
	}
	host, ok := got[0].(Host)
	if !ok {
		t.Fatalf("got %+v, want a host", got[0])
	}
	for _, text := range []string{host.ID, host.Zone, host.Kind} {
		if !utf8.ValidString(text) || len(text) != maxNameBytes-1 || !strings.HasPrefix(long, text) {
			t.Errorf("got %q of %d bytes, want the first %d bytes of the name", text, len(text), maxNameBytes-1)
		}
	}
}

// BenchmarkPut is the cost on the event loop of a connection's two records; bytes/conn is what they take on disk.
func BenchmarkPut(b *testing.B) {
	options := options(b)
	options.FileSize = 1 << 40
	options.Queue = 1 << 16
	options.Header = Header{Classes: []string{"a"}, Tenants: []string{"t"}}
	options.OnError = nil
	writer := startWriter(b, options)
	hosts := []string{"s-5be2a07c", "s-19ac04e1", "s-77f0b2d9", "s-c0ffee00"}
	b.ResetTimer()
	for i := range b.N {
		random := uint64(i) * 0x9e3779b97f4a7c15
		writer.Put(Placed{
			At: int64(i)*700000 + int64(random>>50), Seq: uint64(i),
			Client: random | 1, Group: random>>40 | 1, Took: int64(random >> 52),
			Attempts: []Attempt{{Host: hosts[random>>62], Took: int64(random >> 52)}},
		})
		writer.Put(Ended{At: int64(i)*700000 + 30e6, Seq: uint64(i), Lifetime: int64(random >> 38)})
	}
	b.StopTimer()
	dropped := writer.Dropped()
	closeWriter(writer)
	size := fileSize(b, writer.Files()[0])
	b.ReportMetric(float64(size)/max(1, float64(b.N)-float64(dropped)/2), "bytes/conn")
}
