package agree

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// TestStore spoils files in each way that a disk has, and holds what is read again.
func TestStore(t *testing.T) {
	long := bytes.Repeat([]byte{7}, 700<<10)
	for _, c := range []struct {
		name   string
		spoil  func(raw []byte, ends []int64) []byte
		kept   int // records read again
		spoilt bool
	}{
		{"as it was left", func(raw []byte, _ []int64) []byte { return raw }, 3, false},
		{"cut short inside the last record", func(raw []byte, e []int64) []byte { return raw[:e[2]-4] }, 0, true},
		{"cut short between two records", func(raw []byte, e []int64) []byte { return raw[:e[1]] }, 0, true},
		{"cut short behind all records", func(raw []byte, _ []int64) []byte { return raw[:len(raw)-1] }, 0, true},
		{"empty", func([]byte, []int64) []byte { return nil }, 0, true},
		{"a bit of the first record flipped", func(raw []byte, _ []int64) []byte { raw[headBytes+20] ^= 4; return raw }, 0, true},
		{"a bit of the last record flipped", func(raw []byte, e []int64) []byte { raw[e[2]-3] ^= 4; return raw }, 0, true},
		{"a record in the middle wiped", func(raw []byte, e []int64) []byte { clear(raw[e[0]:e[1]]); return raw }, 0, true},
		{"the last record half written", func(raw []byte, e []int64) []byte { clear(raw[e[2]-9 : e[2]]); return raw }, 2, false},
		{"the head flipped", func(raw []byte, _ []int64) []byte { raw[9] ^= 1; return raw }, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			s, kept, err := OpenStore(dir)
			if err != nil || len(kept) != 0 {
				t.Fatal(err, kept)
			}
			var ends []int64
			for i, r := range []Record{{Incarnation: 5}, {Log: 9, Hard: long}, {Entries: [][]byte{[]byte("an entry of some length")}}} {
				if err := s.Save(r); err != nil {
					t.Fatal(i, err)
				}
				ends = append(ends, s.at)
			}
			s.Close()
			path := filepath.Join(dir, storeName)
			raw, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			os.WriteFile(path, c.spoil(raw, ends), 0o600)
			s, kept, err = OpenStore(dir)
			if s == nil || len(kept) != c.kept || errors.Is(err, ErrSpoilt) != c.spoilt || err != nil && !c.spoilt {
				t.Fatalf("%d records, %v", len(kept), err)
			}
			// What comes next is kept, and replaces all when it is to.
			if err := s.Save(Record{Incarnation: 8}); err != nil {
				t.Fatal(err)
			}
			if _, _, err := OpenStore(dir); err == nil {
				t.Error("two processes hold one store")
			}
			if err := s.Replace(Record{Incarnation: 6}); err != nil {
				t.Fatal(err)
			}
			s.Close()
			s, kept, err = OpenStore(dir)
			if err != nil || len(kept) != 1 || kept[0].Incarnation != 6 {
				t.Fatalf("%v, %v", kept, err)
			}
			s.Close()
		})
	}
}
