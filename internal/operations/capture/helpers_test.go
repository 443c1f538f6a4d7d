package capture

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// options returns the options of a capture in a separate directory. The capture writes all records to one file, and a
// write error fails the test.
func options(tb testing.TB) Options {
	tb.Helper()
	return Options{
		Path: filepath.Join(tb.TempDir(), "load"), FileSize: 1 << 20, Files: 1, Share: 1,
		Key: []byte("0123456789abcdef"), Queue: 64,
		Header:  Header{Node: "n1", Classes: []string{"a"}},
		OnError: func(err error) { tb.Error(err) },
	}
}

// startWriter starts a writer with the given options.
func startWriter(tb testing.TB, options Options) *Writer {
	tb.Helper()
	writer, err := NewWriter(options)
	if err != nil {
		tb.Fatal(err)
	}
	return writer
}

// closeWriter closes a writer after it has written all records of its queue.
func closeWriter(writer *Writer) { writer.Close(time.Now().Add(time.Hour)) }

// writeRequests writes a capture of the given number of requests, each with the end of its connection, and returns the
// capture's oldest file.
func writeRequests(tb testing.TB, requests int, change func(*Options)) string {
	tb.Helper()
	options := options(tb)
	options.FileSize = 1 << 30
	options.Files = 100
	options.Queue = 4 * requests
	options.Header = Header{
		Node: "n1", Classes: []string{"a", "b"}, Tenants: []string{"t"}, Fields: []string{"x0"},
	}
	if change != nil {
		change(&options)
	}
	writer := startWriter(tb, options)
	writer.Put(Host{ID: "h1", Zone: "z", Kind: "k"})
	for i := range requests {
		writer.Put(Placed{
			At: int64(i) * 1000, Seq: uint64(i), Class: i % 2, Client: uint64(i + 1), Group: uint64(i%7 + 1),
			Load: 0.25, Took: 3000, Attempts: []Attempt{{Host: "h1", Took: 2900}},
		})
		writer.Put(Ended{At: int64(i)*1000 + 500, Seq: uint64(i), Lifetime: 500})
	}
	closeWriter(writer)
	if writer.Dropped() > 0 {
		tb.Fatal("Put: got dropped records, want none: the queue has room for all records")
	}
	files, err := filepath.Glob(options.Path + "*.spwcap")
	if err != nil || len(files) == 0 {
		tb.Fatalf("Glob: got files %v and error %v, want one file or more", files, err)
	}
	return files[0]
}

// counts are the numbers of records by kind.
type counts struct{ placed, ended, hosts int }

// readRequests reads a file that writeRequests wrote, checks its records and counts them.
func readRequests(tb testing.TB, path string) (count counts, faults []Fault) {
	tb.Helper()
	_, faults, err := ReadFile(path, func(_ Header, record Record) {
		switch record := record.(type) {
		case Placed:
			count.placed++
			oneAttempt := len(record.Attempts) == 1 && record.Attempts[0].Host == "h1"
			if record.Load != 0.25 || !oneAttempt || record.Client < 5000 {
				tb.Fatalf("ReadFile: got request %+v, want one as written by writeRequests", record)
			}
		case Ended:
			count.ended++
		case Host:
			count.hosts++
		}
	})
	if err != nil {
		tb.Fatal(err)
	}
	return count, faults
}

func fileSize(tb testing.TB, path string) int64 {
	tb.Helper()
	info, err := os.Stat(path)
	if err != nil {
		tb.Fatal(err)
	}
	return info.Size()
}
