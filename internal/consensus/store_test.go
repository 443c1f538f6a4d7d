package consensus

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// openStore opens a store that is not corrupt.
func openStore(t *testing.T, dir string) (*Store, []Record) {
	t.Helper()
	store, records, err := OpenStore(dir)
	if err != nil {
		t.Fatalf("OpenStore: %v", err)
	}
	return store, records
}

func closeStore(t *testing.T, store *Store) {
	t.Helper()
	if err := store.Close(); err != nil {
		t.Fatalf("Close: %v", err)
	}
}

// TestStore damages files in each way that a disk has, and holds which records are read again and which error is given.
func TestStore(t *testing.T) {
	for _, test := range []struct {
		name    string
		damage  func(file []byte, ends []int64) []byte // ends: the offsets behind the three records
		records int                                    // that are read again
		offset  int64                                  // of the CorruptError; under 0: the file is not corrupt
	}{
		{"as it was left", func(file []byte, _ []int64) []byte { return file }, 3, -1},
		{"cut short inside the last record", func(file []byte, ends []int64) []byte { return file[:ends[2]-4] }, 0, 0},
		{"cut short between two records", func(file []byte, ends []int64) []byte { return file[:ends[1]] }, 0, 0},
		{"cut short behind all records", func(file []byte, _ []int64) []byte { return file[:len(file)-1] }, 0, 0},
		{"empty", func([]byte, []int64) []byte { return nil }, 0, 0},
		{"a bit of the first record flipped", func(file []byte, _ []int64) []byte {
			file[headerSize+frameBodyAt] ^= 4
			return file
		}, 0, headerSize},
		{"a bit of the second record's length flipped", func(file []byte, ends []int64) []byte {
			file[ends[0]] ^= 4
			return file
		}, 0, firstRecordEnd},
		{"a bit of the last record flipped", func(file []byte, ends []int64) []byte {
			file[ends[2]-3] ^= 4
			return file
		}, 0, secondRecordEnd},
		{"a record in the middle wiped", func(file []byte, ends []int64) []byte {
			clear(file[ends[0]:ends[1]])
			return file
		}, 0, firstRecordEnd},
		{"the last record half written", func(file []byte, ends []int64) []byte {
			clear(file[ends[2]-9 : ends[2]])
			return file
		}, 2, -1},
		{"the header flipped", func(file []byte, _ []int64) []byte {
			file[9] ^= 1
			return file
		}, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			dir := t.TempDir()
			path, ends := writeDamaged(t, dir, test.damage)
			store, records, err := OpenStore(dir)
			if store == nil || len(records) != test.records {
				t.Fatalf("%d records are read again, %v, wanted %d", len(records), err, test.records)
			}
			checkCorrupt(t, err, path, test.offset, ends)
			checkUsable(t, store, dir)
		})
	}
}

// Where a test's offset stands for the end of a record.
const (
	firstRecordEnd  = 1 << 40
	secondRecordEnd = 2 << 40
)

// writeDamaged writes three records, damages the file, and gives its path and the ends of the records.
func writeDamaged(t *testing.T, dir string, damage func([]byte, []int64) []byte) (path string, ends []int64) {
	t.Helper()
	store, records := openStore(t, dir)
	if len(records) != 0 {
		t.Fatalf("a new store has %d records", len(records))
	}
	for i, record := range []Record{
		{Incarnation: 5},
		{LogID: 9, HardState: bytes.Repeat([]byte{7}, 700<<10)},
		{Entries: [][]byte{[]byte("an entry of some length")}},
	} {
		if err := store.Save(record); err != nil {
			t.Fatalf("Save of record %d: %v", i, err)
		}
		ends = append(ends, store.end)
	}
	closeStore(t, store)
	path = filepath.Join(dir, storeName)
	file, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, damage(file, ends), 0o600); err != nil {
		t.Fatal(err)
	}
	return path, ends
}

// checkCorrupt wants a CorruptError of an offset, or no error where the offset is under 0.
func checkCorrupt(t *testing.T, err error, path string, offset int64, ends []int64) {
	t.Helper()
	if offset < 0 {
		if err != nil {
			t.Fatalf("OpenStore gives %v, wanted no error", err)
		}
		return
	}
	switch offset {
	case firstRecordEnd:
		offset = ends[0]
	case secondRecordEnd:
		offset = ends[1]
	}
	var corrupt *CorruptError
	if !errors.Is(err, ErrCorrupt) || !errors.As(err, &corrupt) {
		t.Fatalf("OpenStore gives %v, wanted %v", err, ErrCorrupt)
	}
	if corrupt.Path != path || corrupt.Offset != offset {
		t.Errorf("the error names byte %d of %s, wanted byte %d of %s", corrupt.Offset, corrupt.Path, offset, path)
	}
	if _, err := os.Stat(path + corruptSuffix); err != nil {
		t.Errorf("the corrupt file is not set aside: %v", err)
	}
}

// checkUsable wants a store to persist what comes next, to keep other processes out, and to replace all its records.
func checkUsable(t *testing.T, store *Store, dir string) {
	t.Helper()
	if err := store.Save(Record{Incarnation: 8}); err != nil {
		t.Fatalf("Save: %v", err)
	}
	if _, _, err := OpenStore(dir); !errors.Is(err, ErrLocked) {
		t.Errorf("a second OpenStore gives %v, wanted %v", err, ErrLocked)
	}
	if err := store.Replace(Record{Incarnation: 6}); err != nil {
		t.Fatalf("Replace: %v", err)
	}
	closeStore(t, store)
	store, records := openStore(t, dir)
	if len(records) != 1 || records[0].Incarnation != 6 {
		t.Fatalf("after Replace the store has %+v, wanted one record of incarnation 6", records)
	}
	closeStore(t, store)
}

// TestStoreIncompleteRecord has a kill leave a long record half written, whose rest is longer than what comes next:
// nothing that follows from it was sent, and what is saved from then on is read again.
func TestStoreIncompleteRecord(t *testing.T) {
	for _, written := range []int{30, 5 << 10, 60 << 10} {
		dir := t.TempDir()
		store, _ := openStore(t, dir)
		if err := store.Save(Record{Incarnation: 5}); err != nil {
			t.Fatal(err)
		}
		incomplete := encodeRecord(Record{HardState: bytes.Repeat([]byte{7}, 64<<10)})[:written]
		if _, err := store.file.WriteAt(incomplete, store.end); err != nil {
			t.Fatal(err)
		}
		closeStore(t, store)
		for starts := range 3 { // a record each time, over what was left
			store, records, err := OpenStore(dir)
			if err != nil || len(records) != 1+starts {
				t.Fatalf("%d bytes written, %d starts: %d records, %v, wanted %d",
					written, starts, len(records), err, 1+starts)
			}
			if err := store.Save(Record{LogID: uint64(starts + 1)}); err != nil {
				t.Fatal(err)
			}
			closeStore(t, store)
		}
	}
}

// TestStoreFull holds the error for a record that would make the file too large.
func TestStoreFull(t *testing.T) {
	store, _ := openStore(t, t.TempDir())
	if err := store.Save(Record{Snapshot: make([]byte, maxFileSize)}); !errors.Is(err, ErrStoreFull) {
		t.Errorf("Save of %d bytes gives %v, wanted %v", maxFileSize, err, ErrStoreFull)
	}
	if err := store.Save(Record{Incarnation: 1}); err != nil {
		t.Errorf("Save of a small record afterwards: %v", err)
	}
	closeStore(t, store)
}

// faultyCall is a call of the disk that fails.
type faultyCall string

const (
	callWrite     faultyCall = "write"
	callHalfWrite faultyCall = "half a write"
	callSync      faultyCall = "sync"
	callRename    faultyCall = "rename"
	callSyncDir   faultyCall = "sync of the directory"
)

// TestStoreDiskErrors has writes, syncs, renames and the directory's sync fail while records are saved and replaced:
// what Save or Replace took is there when the store is opened again, whatever failed before and after it.
func TestStoreDiskErrors(t *testing.T) {
	for _, call := range []faultyCall{callWrite, callHalfWrite, callSync, callRename, callSyncDir} {
		for _, step := range []struct {
			name    string
			persist func(*Store) error
		}{
			{"save", func(store *Store) error { return store.Save(Record{LogID: 2}) }},
			{"grow", func(store *Store) error {
				return store.Save(Record{LogID: 2, HardState: bytes.Repeat([]byte{1}, 2*sizeStep)})
			}},
			{"replace", func(store *Store) error { return store.Replace(Record{Incarnation: 1, LogID: 2}) }},
		} {
			t.Run(string(call)+" at "+step.name, func(t *testing.T) { failOnce(t, call, step.persist) })
		}
	}
}

// failOnce has one kind of call fail the first time that a record is persisted, and not the second time.
func failOnce(t *testing.T, call faultyCall, persist func(*Store) error) {
	t.Helper()
	dir := t.TempDir()
	disk := &faultyDisk{}
	store, _, err := openStoreOn(disk, dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Save(Record{Incarnation: 1}); err != nil {
		t.Fatal(err)
	}
	disk.faulty = call
	err = persist(store)
	disk.faulty = ""
	if disk.failures > 0 && !errors.Is(err, disk.err(call)) {
		t.Errorf("the disk failed with %v, and the store gives %v", disk.err(call), err)
	}
	if err := persist(store); err != nil {
		t.Fatalf("the second time: %v", err)
	}
	if disk.dirUnsynced {
		t.Error("it counts as persisted, but the directory's new entry was not synced")
	}
	closeStore(t, store)
	store, records := openStore(t, dir)
	defer closeStore(t, store)
	last := records[len(records)-1]
	if last.LogID != 2 || records[0].Incarnation != 1 {
		t.Errorf("read again: %d records, the first of incarnation %d, the last of log %d, wanted 1 and 2",
			len(records), records[0].Incarnation, last.LogID)
	}
}

// faultyDisk is a disk on which one kind of call fails.
type faultyDisk struct {
	osDisk
	faulty      faultyCall
	failures    int
	dirUnsynced bool // there was a rename since the directory was synced
}

// err is what a call fails with.
func (*faultyDisk) err(call faultyCall) error {
	if call == callWrite {
		return syscall.ENOSPC
	}
	return syscall.EIO
}

func (d *faultyDisk) fail(call faultyCall) error {
	if d.faulty != call {
		return nil
	}
	d.failures++
	return d.err(call)
}

func (d *faultyDisk) WriteAt(file *os.File, data []byte, offset int64) error {
	if err := d.fail(callWrite); err != nil {
		return err
	}
	if err := d.fail(callHalfWrite); err != nil {
		return errors.Join(err, d.osDisk.WriteAt(file, data[:len(data)/2], offset))
	}
	return d.osDisk.WriteAt(file, data, offset)
}

func (d *faultyDisk) Sync(file *os.File) error {
	if err := d.fail(callSync); err != nil {
		return err
	}
	return d.osDisk.Sync(file)
}

func (d *faultyDisk) Rename(from, to string) error {
	if err := d.fail(callRename); err != nil {
		return err
	}
	d.dirUnsynced = true
	return d.osDisk.Rename(from, to)
}

func (d *faultyDisk) SyncDir(path string) error {
	if err := d.fail(callSyncDir); err != nil {
		return err
	}
	d.dirUnsynced = false
	return d.osDisk.SyncDir(path)
}
