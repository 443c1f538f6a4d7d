package capture

import (
	"bytes"
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "write the golden files anew")

const goldenFile = "testdata/capture.spwcap"

// goldenHeader is the header of the golden file, as it is read.
var goldenHeader = Header{
	Version: 1, Node: "node-1", Zone: "zone-2", Start: 1700000000123456789, File: 3, Share: 0.5,
	Classes: []string{"class-1", "class-2", "class-3"}, Tenants: []string{"tenant-1", "tenant-2"},
	Fields: []string{"x0", "x1", "backlog"},
}

// goldenRecords have each field of each kind of record set to a value of its own, and each value of the fields that
// are numbers for words.
func goldenRecords() []Record {
	records := []Record{
		Host{At: 1, ID: "host-2", Zone: "zone-3", Kind: "kind-4", State: 1},
		Placed{
			At: 5, Seq: 6, Class: 2, Tenant: 1, Client: 7, Group: 8, Load: 0.9, Returned: true, TimeLeft: 10,
			Took: 11, Answer: 3,
			Attempts: []Attempt{{Host: "host-12", Outcome: 5, Took: 13}, {Host: "host-14", Outcome: 1, Took: 15}},
		},
		Ended{At: 16, Seq: 17, Lifetime: 18, Cause: 2, Load: 1.9},
		Report{At: 20, Host: "host-21", Values: []float32{22.5, -23.5, 24.5}},
		Dropped{At: 25, Count: 26},
		Host{At: 27, ID: "host-28", Zone: "zone-29", Kind: "kind-30", State: 2},
		Placed{At: 31, Seq: 32, Tenant: -1},
	}
	for i, answer := range []Answer{Open, Served, Rejected, Failed, ClientLeft} {
		records = append(records, Placed{At: 40 + int64(i), Seq: 50, Tenant: 0, Answer: answer})
	}
	for i, cause := range []Cause{ByClient, ByServer, Migrated, Transferred} {
		records = append(records, Ended{At: 60 + int64(i), Seq: 51, Cause: cause})
	}
	return records
}

// writeGolden writes the golden records to a file in a folder of its own, in two blocks, and returns its name. It
// does on one goroutine what a Writer does on its own, so that the blocks are the same at any speed.
func writeGolden(t *testing.T) string {
	t.Helper()
	writer := newWriter(Options{
		Path: filepath.Join(t.TempDir(), "load"), FileSize: 1 << 20, Files: 1, Share: 1,
		Key: []byte("0123456789abcdef"), Start: time.Unix(0, goldenHeader.Start),
		OnError: func(err error) { t.Error(err) },
	})
	writer.header = goldenHeader
	writer.files.number = goldenHeader.File
	if err := writer.openFile(); err != nil {
		t.Fatal(err)
	}
	for i, record := range goldenRecords() {
		writer.take(record)
		if i == 3 {
			writer.flush()
		}
	}
	writer.flush()
	if err := writer.files.file.Close(); err != nil {
		t.Fatal(err)
	}
	return writer.Files()[0]
}

// TestGoldenRead reads a file of the present format.
func TestGoldenRead(t *testing.T) {
	var got []Record
	header, faults, err := ReadFile(goldenFile, func(_ Header, r Record) { got = append(got, r) })
	if err != nil || len(faults) > 0 {
		t.Fatalf("the golden file is read with error %v and faults %v, want none", err, faults)
	}
	if !reflect.DeepEqual(header, goldenHeader) {
		t.Errorf("the header is read as\n%+v, want\n%+v", header, goldenHeader)
	}
	want := goldenRecords()
	for i, r := range want { // clients and groups are hidden as they are written
		if p, ok := r.(Placed); ok && p.Client == 7 && p.Group == 8 {
			p.Client, p.Group = 15911541047344212028, 8681410975760409908
			want[i] = p
		}
	}
	for i := range max(len(got), len(want)) {
		if i >= len(got) || i >= len(want) || !reflect.DeepEqual(got[i], want[i]) {
			t.Fatalf("record %d is read as\n%+v, want\n%+v", i, at(got, i), at(want, i))
		}
	}
}

func at(records []Record, i int) Record {
	if i < len(records) {
		return records[i]
	}
	return nil
}

// TestGoldenWrite writes what the golden file holds: the very same bytes.
func TestGoldenWrite(t *testing.T) {
	got, err := os.ReadFile(writeGolden(t))
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(goldenFile, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("the file is written as\n%swant\n%s", hex.Dump(got), hex.Dump(want))
	}
}

// TestGoldenWords holds the words for answers, and the name of a file.
func TestGoldenWords(t *testing.T) {
	for i, want := range []string{"up", "served", "refused", "failed", "left", "unknown"} {
		if got := Answer(i).String(); got != want {
			t.Errorf("answer %d is called %q, want %q", i, got, want)
		}
	}
	if got, want := filepath.Base(writeGolden(t)), "load-20231114T221320.123-0003.spwcap"; got != want {
		t.Errorf("the file is called %s, want %s", got, want)
	}
}
