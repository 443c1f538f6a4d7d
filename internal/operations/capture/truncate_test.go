package capture

import (
	"path/filepath"
	"strings"
	"testing"
	"time"
	"unicode/utf8"
)

// TestLongHostNames has a host whose id, zone and kind are longer than a record holds, and would be cut inside a
// character: the record and those of its block are read back, each text a whole number of characters.
func TestLongHostNames(t *testing.T) {
	path := filepath.Join(t.TempDir(), "load")
	w, err := NewWriter(Options{
		Path: path, FileSize: 1 << 20, Files: 1, Share: 1, Queue: 64, Header: Header{Classes: []string{"a"}},
		Fault: func(err error) { t.Error(err) },
	})
	if err != nil {
		t.Fatal(err)
	}
	long := "x" + strings.Repeat("é", maxText) // two bytes a character: byte maxText lies inside one
	w.Put(Host{ID: long, Zone: long, Kind: long})
	w.Put(Placed{Seq: 1, Tenant: -1})
	w.Close(time.Now().Add(time.Hour))
	var got []Record
	_, faults, err := ReadFile(w.Files()[0], func(_ Header, record Record) { got = append(got, record) })
	if err != nil || len(faults) > 0 || len(got) != 2 {
		t.Fatalf("got %d records, faults %v and error %v, want 2 records and no fault", len(got), faults, err)
	}
	host, ok := got[0].(Host)
	if !ok {
		t.Fatalf("got %+v, want a host", got[0])
	}
	for _, text := range []string{host.ID, host.Zone, host.Kind} {
		if !utf8.ValidString(text) || len(text) != maxText-1 || !strings.HasPrefix(long, text) {
			t.Errorf("got %q of %d bytes, want the first %d bytes of the name", text, len(text), maxText-1)
		}
	}
}
