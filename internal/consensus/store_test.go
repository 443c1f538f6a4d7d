package consensus

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// openStore opens a store. It fails the test on any error, including a corrupt store.
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

// TestOpenStoreDamagedFile damages a store's file in the ways in which disks damage files. It checks which records
// OpenStore reads, which error it returns, and that the store is usable afterwards.
func TestOpenStoreDamagedFile(t *testing.T) {
	for _, test := range []struct {
		name    string
		damage  func(file []byte, ends []int64) []byte // ends are the end offsets of the three records
		records int                                    // number of records that OpenStore reads
		offset  int64                                  // offset of the CorruptError; negative if the file is intact
	}{
		{"undamaged", func(file []byte, _ []int64) []byte { return file }, 3, -1},
		{"truncated inside the last record", func(file []byte, ends []int64) []byte { return file[:ends[2]-4] }, 0, 0},
		{"truncated between two records", func(file []byte, ends []int64) []byte { return file[:ends[1]] }, 0, 0},
		{"truncated after all records", func(file []byte, _ []int64) []byte { return file[:len(file)-1] }, 0, 0},
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
		{"a bit of the header flipped", func(file []byte, _ []int64) []byte {
			file[9] ^= 1
			return file
		}, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			dir := t.TempDir()
			path, ends := writeDamaged(t, dir, test.damage)
			store, records, err := OpenStore(dir)
			if store == nil || len(records) != test.records {
				t.Fatalf("OpenStore: got %d records, %v, want %d", len(records), err, test.records)
			}
			checkCorrupt(t, err, path, test.offset, ends)
			checkUsable(t, store, dir)
		})
	}
}

// Placeholders for the end offset of a record, which a test case cannot know.
const (
	firstRecordEnd  = 1 << 40
	secondRecordEnd = 2 << 40
)

// writeDamaged writes three records, damages the file, and returns its path and the end offsets of the records.
func writeDamaged(t *testing.T, dir string, damage func([]byte, []int64) []byte) (path string, ends []int64) {
	t.Helper()
	store, records := openStore(t, dir)
	if len(records) != 0 {
		t.Fatalf("OpenStore of a new store: got %d records, want 0", len(records))
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

// checkCorrupt checks that err is a CorruptError with the offset, or nil if the offset is negative.
func checkCorrupt(t *testing.T, err error, path string, offset int64, ends []int64) {
	t.Helper()
	if offset < 0 {
		if err != nil {
			t.Fatalf("OpenStore: got error %v, want none", err)
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
		t.Fatalf("OpenStore: got error %v, want %v", err, ErrCorrupt)
	}
	if corrupt.Path != path || corrupt.Offset != offset {
		t.Errorf("CorruptError: got byte %d of %s, want byte %d of %s", corrupt.Offset, corrupt.Path, offset, path)
	}
	if _, err := os.Stat(path + corruptSuffix); err != nil {
		t.Errorf("Stat of the renamed corrupt file: %v", err)
	}
}

// checkUsable checks that a store persists another record, that it cannot be opened a second time, and that Replace
// replaces all its records.
func checkUsable(t *testing.T, store *Store, dir string) {
	t.Helper()
	if err := store.Save(Record{Incarnation: 8}); err != nil {
		t.Fatalf("Save: %v", err)
	}
	if _, _, err := OpenStore(dir); !errors.Is(err, ErrLocked) {
		t.Errorf("second OpenStore: got error %v, want %v", err, ErrLocked)
	}
	if err := store.Replace(Record{Incarnation: 6}); err != nil {
		t.Fatalf("Replace: %v", err)
	}
	closeStore(t, store)
	store, records := openStore(t, dir)
	if len(records) != 1 || records[0].Incarnation != 6 {
		t.Fatalf("records after Replace: got %+v, want one record with incarnation 6", records)
	}
	closeStore(t, store)
}

// TestStoreIncompleteRecord simulates a kill during the write of a long record. The incomplete record is longer than
// the records that are saved next. OpenStore ignores it, because no message that depends on it was sent, and later
// starts read all records that were saved after it.
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
		for starts := range 3 { // each start saves one record over the incomplete one
			store, records, err := OpenStore(dir)
			if err != nil || len(records) != 1+starts {
				t.Fatalf("OpenStore after %d bytes of an incomplete record and %d starts: got %d records, %v, want %d",
					written, starts, len(records), err, 1+starts)
			}
			if err := store.Save(Record{LogID: uint64(starts + 1)}); err != nil {
				t.Fatal(err)
			}
			closeStore(t, store)
		}
	}
}

// TestStoreFull checks the error for a record that would make the file too large.
func TestStoreFull(t *testing.T) {
	store, _ := openStore(t, t.TempDir())
	if err := store.Save(Record{Snapshot: make([]byte, maxFileSize)}); !errors.Is(err, ErrStoreFull) {
		t.Errorf("Save of %d bytes: got error %v, want %v", maxFileSize, err, ErrStoreFull)
	}
	if err := store.Save(Record{Incarnation: 1}); err != nil {
		t.Errorf("Save of a small record afterwards: %v", err)
	}
	closeStore(t, store)
}

// faultyCall names a disk call that a test makes fail.
type faultyCall string

const (
	callWrite     faultyCall = "write"
	callHalfWrite faultyCall = "half a write"
	callSync      faultyCall = "sync"
	callRename    faultyCall = "rename"
	callSyncDir   faultyCall = "sync of the directory"
)

// TestStoreDiskErrors makes one kind of disk call fail while a record is saved, while the file grows, or while all
// records are replaced. All records for which Save or Replace returned without an error must be there when the store is
// opened again, regardless of the calls that failed before and afterwards.
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

// failOnce makes one kind of call fail during the first attempt to persist a record, but not during the second attempt.
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
	if disk.failures > 0 && !errors.Is(err, disk.errorOf(call)) {
		t.Errorf("persist on a disk that fails with %v: got error %v, want the disk's error", disk.errorOf(call), err)
	}
	if err := persist(store); err != nil {
		t.Fatalf("second attempt to persist: %v", err)
	}
	if disk.dirUnsynced {
		t.Error("second attempt to persist: got a directory that was not synced after the rename, want it synced")
	}
	closeStore(t, store)
	store, records := openStore(t, dir)
	defer closeStore(t, store)
	last := records[len(records)-1]
	if last.LogID != 2 || records[0].Incarnation != 1 {
		t.Errorf("reopened store of %d records: got incarnation %d in the first, log %d in the last, want 1 and 2",
			len(records), records[0].Incarnation, last.LogID)
	}
}

// faultyDisk is a disk on which one kind of call can be made to fail.
type faultyDisk struct {
	osDisk
	faulty      faultyCall // the kind of call that fails; empty if none
	failures    int
	dirUnsynced bool // a rename has happened since the last sync of the directory
}

// errorOf returns the error with which a call fails.
func (*faultyDisk) errorOf(call faultyCall) error {
	if call == callWrite {
		return syscall.ENOSPC
	}
	return syscall.EIO
}

// fail counts a failure and returns its error if the call is to fail. It returns nil otherwise.
func (d *faultyDisk) fail(call faultyCall) error {
	if d.faulty != call {
		return nil
	}
	d.failures++
	return d.errorOf(call)
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
