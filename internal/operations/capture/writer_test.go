package capture

import (
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestRotation checks that the size and the number of files are limited, and that each file can be read on its own.
func TestRotation(t *testing.T) {
	path := writeRequests(t, 20000, func(options *Options) {
		options.FileSize = 100 << 10
		options.Files = 3
	})
	files, err := filepath.Glob(filepath.Join(filepath.Dir(path), "*"))
	if err != nil || len(files) != 3 {
		t.Fatalf("Glob: got files %v and error %v, want 3 files", files, err)
	}
	for _, file := range files[:2] {
		if size := fileSize(t, file); size > 200<<10 {
			t.Errorf("size of %s: got %d bytes, want %d at most", file, size, 200<<10)
		}
		if count, faults := readRequests(t, file); count.hosts != 1 || len(faults) > 0 {
			t.Errorf("ReadFile(%s): got %+v and faults %v, want 1 host and no fault", file, count, faults)
		}
	}
}

// TestSampledShare checks that a share contains whole groups, including the ends of their connections.
func TestSampledShare(t *testing.T) {
	count, _ := readRequests(t, writeRequests(t, 7000, func(options *Options) { options.Share = 0.5 }))
	if count.placed%1000 != 0 || count.placed == 0 || count.placed == 7000 || count.ended != count.placed {
		t.Errorf("reading a share of 0.5: got %+v, want some groups of 1000 requests, each with its end", count)
	}
}

// TestFullQueueDropsRecords checks that Put does not wait if the queue is full, and that it drops and counts the
// record.
func TestFullQueueDropsRecords(t *testing.T) {
	writer := &Writer{queue: make(chan Record, 16)} // no goroutine receives from the queue
	for range 1000 {
		writer.Put(Ended{})
	}
	if got, want := writer.Dropped(), uint64(1000-16); got != want {
		t.Errorf("Dropped: got %d, want %d", got, want)
	}
}

// TestSetNamesStartsNewFile adds a class while the node runs. Its records must be in a file whose header names the
// class.
func TestSetNamesStartsNewFile(t *testing.T) {
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
			t.Errorf("ReadFile(%s): got error %v and faults %v, want none", name, err, faults)
		}
	}
	if got["a"] != 1 || got["b"] != 1 {
		t.Errorf("ReadFile: got requests by class %v, want 1 of a and 1 of b", got)
	}
}

// TestLongHostNamesAreTruncatedBetweenCharacters writes a server whose id, zone and kind are over the limit of a
// record, which lies inside a character. The record and the others of its block must be readable, and each text must
// end with a complete character.
func TestLongHostNamesAreTruncatedBetweenCharacters(t *testing.T) {
	writer := startWriter(t, options(t))
	long := "x" + strings.Repeat("é", maxNameBytes) // é has two bytes: byte maxNameBytes lies inside one
	writer.Put(Host{ID: long, Zone: long, Kind: long})
	writer.Put(Placed{Seq: 1, Tenant: -1})
	closeWriter(writer)
	var got []Record
	_, faults, err := ReadFile(writer.Files()[0], func(_ Header, record Record) { got = append(got, record) })
	if err != nil || len(faults) > 0 || len(got) != 2 {
		t.Fatalf("ReadFile: got %d records, faults %v and error %v, want 2 records and no fault", len(got), faults, err)
	}
	host, ok := got[0].(Host)
	if !ok {
		t.Fatalf("ReadFile: got %+v, want a host", got[0])
	}
	for _, text := range []string{host.ID, host.Zone, host.Kind} {
		if !utf8.ValidString(text) || len(text) != maxNameBytes-1 || !strings.HasPrefix(long, text) {
			t.Errorf("ReadFile: got %q of %d bytes, want the first %d bytes of the name",
				text, len(text), maxNameBytes-1)
		}
	}
}

// BenchmarkPut measures the cost of a connection's two records on the event loop. bytes/conn is their size on disk.
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
