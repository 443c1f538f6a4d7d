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

var update = flag.Bool("update", false, "rewrite the golden files")

const goldenFile = "testdata/capture.spwcap"

// goldenHeader is the expected header of the golden file.
var goldenHeader = Header{
	Version: 1, Node: "node-1", Zone: "zone-2", Start: 1700000000123456789, File: 3, Share: 0.5,
	Classes: []string{"class-1", "class-2", "class-3"}, Tenants: []string{"tenant-1", "tenant-2"},
	Fields: []string{"x0", "x1", "backlog"},
}

// goldenRecords returns records of each kind in which each field has a different value, and records with each value of
// the enumerated fields.
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

// writeGolden writes the golden records in two blocks to a file in a separate directory and returns the file's name. It
// performs the steps of a Writer's goroutine on the test's goroutine, so that the blocks don't depend on timing.
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
		writer.addRecord(record)
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

// TestGoldenRead reads a file of the current format.
func TestGoldenRead(t *testing.T) {
	var got []Record
	header, faults, err := ReadFile(goldenFile, func(_ Header, r Record) { got = append(got, r) })
	if err != nil || len(faults) > 0 {
		t.Fatalf("ReadFile of the golden file: got error %v and faults %v, want none", err, faults)
	}
	if !reflect.DeepEqual(header, goldenHeader) {
		t.Errorf("ReadFile: got header\n%+v, want\n%+v", header, goldenHeader)
	}
	want := goldenRecords()
	for i, r := range want { // the writer replaces clients and groups by pseudonyms
		if p, ok := r.(Placed); ok && p.Client == 7 && p.Group == 8 {
			p.Client, p.Group = 15911541047344212028, 8681410975760409908
			want[i] = p
		}
	}
	for i := range max(len(got), len(want)) {
		if i >= len(got) || i >= len(want) || !reflect.DeepEqual(got[i], want[i]) {
			t.Fatalf("ReadFile: got record %d\n%+v, want\n%+v", i, at(got, i), at(want, i))
		}
	}
}

// at returns the record at index i, or nil if there is none.
func at(records []Record, i int) Record {
	if i < len(records) {
		return records[i]
	}
	return nil
}

// TestGoldenWrite writes the golden records and expects the same bytes as in the golden file.
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
		t.Errorf("writing the golden records: got\n%swant\n%s", hex.Dump(got), hex.Dump(want))
	}
}

// TestGoldenNames checks the names of answers and of a file.
func TestGoldenNames(t *testing.T) {
	for i, want := range []string{"up", "served", "refused", "failed", "left", "unknown"} {
		if got := Answer(i).String(); got != want {
			t.Errorf("String of answer %d: got %q, want %q", i, got, want)
		}
	}
	if got, want := filepath.Base(writeGolden(t)), "load-20231114T221320.123-0003.spwcap"; got != want {
		t.Errorf("file name: got %s, want %s", got, want)
	}
}
