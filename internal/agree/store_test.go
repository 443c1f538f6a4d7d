package agree

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"syscall"
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
			for i, r := range []Record{{Incarnation: 5}, {Log: 9, HardState: long}, {Entries: [][]byte{[]byte("an entry of some length")}}} {
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
			if s == nil || len(kept) != c.kept || errors.Is(err, ErrCorrupt) != c.spoilt || err != nil && !c.spoilt {
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

// TestKilledInTheMiddle has a kill leave a long record half written, whose rest is longer than what comes next: nobody was told of it, and what
// is kept from then on is read again.
func TestKilledInTheMiddle(t *testing.T) {
	for _, part := range []int{30, 5 << 10, 60 << 10} {
		dir := t.TempDir()
		s, _, err := OpenStore(dir)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Save(Record{Incarnation: 5}); err != nil {
			t.Fatal(err)
		}
		half := frame(Record{HardState: bytes.Repeat([]byte{7}, 64<<10)})[:part]
		if _, err := s.file.WriteAt(half, s.at); err != nil {
			t.Fatal(err)
		}
		s.Close()
		for i := range 3 { // a record each time, over what was left
			s, kept, err := OpenStore(dir)
			if err != nil || len(kept) != 1+i {
				t.Fatalf("%d bytes written: %d records after %d starts, %v", part, len(kept), i, err)
			}
			if err := s.Save(Record{Log: uint64(i + 1)}); err != nil {
				t.Fatal(err)
			}
			s.Close()
		}
	}
}

// TestDiskFailsForAMoment has writes, syncs and the folder's sync fail while records are kept and replaced: what Save or Replace took is there
// when the store is opened again, whatever failed before and after it.
func TestDiskFailsForAMoment(t *testing.T) {
	for _, fails := range []string{"write", "half a write", "sync", "rename", "folder"} {
		for _, at := range []string{"save", "grow", "replace"} {
			t.Run(fails+" at "+at, func(t *testing.T) { failOnce(t, fails, at) })
		}
	}
}

func failOnce(t *testing.T, fails, at string) {
	dir := t.TempDir()
	d := &failingDisk{}
	s, _, err := openStoreOn(d, dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Save(Record{Incarnation: 1}); err != nil {
		t.Fatal(err)
	}
	keep := func() error { return s.Save(Record{Log: 2}) }
	switch at {
	case "grow":
		keep = func() error { return s.Save(Record{Log: 2, HardState: bytes.Repeat([]byte{1}, 2*pieceBytes)}) }
	case "replace":
		keep = func() error { return s.Replace(Record{Incarnation: 1, Log: 2}) }
	}
	d.fails = fails
	failed := keep()
	d.fails = ""
	if failed == nil && d.failed > 0 {
		t.Error("what the disk did not take counts as kept")
	}
	if err := keep(); err != nil {
		t.Fatal("again: ", err)
	}
	if d.unsynced() {
		t.Error("it counts as kept, but the folder's new entry was not synced")
	}
	s.Close()
	_, kept, err := OpenStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	last := kept[len(kept)-1]
	if last.Log != 2 || kept[0].Incarnation != 1 {
		t.Errorf("read again: %d records, the last of log %d", len(kept), last.Log)
	}
}

// failingDisk is a disk on which one kind of call fails.
type failingDisk struct {
	files
	fails   string
	failed  int
	renamed bool // since the folder was synced
}

func (d *failingDisk) unsynced() bool { return d.renamed }

func (d *failingDisk) fail(what string, err error) error {
	if d.fails != what {
		return nil
	}
	d.failed++
	return err
}

func (d *failingDisk) WriteAt(f *os.File, p []byte, at int64) error {
	if err := d.fail("write", syscall.ENOSPC); err != nil {
		return err
	}
	if err := d.fail("half a write", syscall.EIO); err != nil {
		d.files.WriteAt(f, p[:len(p)/2], at)
		return err
	}
	return d.files.WriteAt(f, p, at)
}

func (d *failingDisk) Sync(f *os.File) error {
	if err := d.fail("sync", syscall.EIO); err != nil {
		return err
	}
	return d.files.Sync(f)
}

func (d *failingDisk) Rename(from, to string) error {
	if err := d.fail("rename", syscall.EIO); err != nil {
		return err
	}
	d.renamed = true
	return d.files.Rename(from, to)
}

func (d *failingDisk) SyncFolder(dir string) error {
	if err := d.fail("folder", syscall.EIO); err != nil {
		return err
	}
	d.renamed = false
	return d.files.SyncFolder(dir)
}
