package consensus

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

const (
	storeName     = "agreed.log"
	newSuffix     = ".new"    // of a file that is being written
	corruptSuffix = ".spoilt" // of a corrupt file that was set aside
)

// Store persists records in one file of a directory. Its methods may wait for the disk, and belong to one goroutine.
// Only one process can have a store open.
type Store struct {
	disk     disk
	dir      string
	file     *os.File
	end      int64 // offset behind the last record
	fileSize int64
	// dirtyEnd is the end of what may stand behind the last record: a part of one that was never complete. No later
	// record may end before it.
	dirtyEnd int64
	// dirUnsynced says that the file has its name, but that the directory may not have it on disk yet.
	dirUnsynced bool
}

// OpenStore opens the store of a directory, both of which it creates where they are not there, and reads the records
// that were persisted, oldest first. A corrupt file is renamed; the error then is a CorruptError, and the store is a
// new one that can be used.
func OpenStore(dir string) (*Store, []Record, error) { return openStoreOn(osDisk{}, dir) }

func openStoreOn(disk disk, dir string) (*Store, []Record, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("create the store's directory: %w", err)
	}
	store := &Store{disk: disk, dir: dir}
	contents, err := os.ReadFile(store.path())
	if errors.Is(err, os.ErrNotExist) {
		return store, nil, store.rewrite(nil)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("read the store: %w", err)
	}
	records, end, err := decodeFile(contents)
	if err != nil {
		return store.replaceCorrupt(&CorruptError{Path: store.path(), Offset: end, Err: err})
	}
	if err := store.openFile(contents, end); err != nil {
		return nil, nil, err
	}
	return store, records, nil
}

func (s *Store) path() string { return filepath.Join(s.dir, storeName) }

// replaceCorrupt renames a corrupt file, for an operator to look into, and begins a new one.
func (s *Store) replaceCorrupt(fault *CorruptError) (*Store, []Record, error) {
	if err := s.disk.Rename(s.path(), s.path()+corruptSuffix); err != nil {
		return nil, nil, fmt.Errorf("set the corrupt store aside: %w", err)
	}
	if err := s.rewrite(nil); err != nil {
		return nil, nil, err
	}
	return s, nil, fmt.Errorf("open the store: %w; the file is now %s%s", fault, storeName, corruptSuffix)
}

// openFile opens and locks a file whose contents were read.
func (s *Store) openFile(contents []byte, end int64) (err error) {
	s.end = end
	s.fileSize = int64(len(contents))
	if s.file, err = os.OpenFile(s.path(), os.O_RDWR, 0o600); err != nil {
		return fmt.Errorf("open the store: %w", err)
	}
	if err = lockFile(s.file); err == nil {
		err = s.clearIncomplete(usedSize(contents[end:]))
	}
	if err != nil {
		_ = s.Close() // nothing was written through it that counts
	}
	return err
}

// clearIncomplete clears a record that a stopped process or machine left half written, so that no later record stands
// before the rest of it.
func (s *Store) clearIncomplete(size int64) error {
	if size == 0 {
		return nil
	}
	if err := s.disk.WriteAt(s.file, make([]byte, size), s.end); err != nil {
		return fmt.Errorf("clear an incomplete record: %w", err)
	}
	return nil
}

// Save persists a record behind the others: when it returns without an error the record outlives the machine. After an
// error the same record may be saved again, or another one in its place.
func (s *Store) Save(record Record) error {
	encoded := encodeRecord(record)
	end := s.end + int64(len(encoded))
	if end > s.fileSize {
		if err := s.grow(end); err != nil {
			return err
		}
	}
	if err := s.syncDir(); err != nil {
		return err
	}
	// What an earlier Save that failed may have written behind this record's end is cleared with the same call.
	cleared := make([]byte, max(0, s.dirtyEnd-end))
	s.dirtyEnd = max(s.dirtyEnd, end)
	if err := s.disk.WriteAt(s.file, append(encoded, cleared...), s.end); err != nil {
		return fmt.Errorf("write a record at byte %d: %w", s.end, err)
	}
	if err := s.disk.Sync(s.file); err != nil {
		return fmt.Errorf("sync a record at byte %d: %w", s.end, err)
	}
	s.end = end
	s.dirtyEnd = 0
	return nil
}

// Replace persists one record in place of all others. After an error the store has either the others or that record,
// and Save and Replace may be called again.
func (s *Store) Replace(record Record) error { return s.rewrite(encodeRecord(record)) }

// Close closes the file, which also unlocks it.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}

// grow enlarges the file by writing it anew: its header must never name a size that the file does not have.
func (s *Store) grow(atLeast int64) error {
	contents := make([]byte, s.end)
	if _, err := io.ReadFull(io.NewSectionReader(s.file, 0, s.end), contents); err != nil {
		return fmt.Errorf("read the store to grow it: %w", err)
	}
	return s.replaceFile(contents[headerSize:], atLeast)
}

func (s *Store) rewrite(records []byte) error {
	return s.replaceFile(records, headerSize+int64(len(records)))
}

// replaceFile puts a new file in the place of the old one, which stays as it is until the new one is on disk.
func (s *Store) replaceFile(records []byte, atLeast int64) error {
	size := fileSizeFor(atLeast)
	if size > maxFileSize {
		return fmt.Errorf("%w: %s: %d bytes, at most %d are possible", ErrStoreFull, s.path(), size, maxFileSize)
	}
	file, err := os.OpenFile(s.path()+newSuffix, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("create the store's new file: %w", err)
	}
	if err := s.install(file, encodeFile(records, size)); err != nil {
		_ = file.Close() // it is not the store's file, and is written anew next time
		return err
	}
	if s.file != nil {
		_ = s.file.Close() // it no longer has a name
	}
	s.file = file
	s.end = headerSize + int64(len(records))
	s.fileSize = size
	s.dirtyEnd = 0
	s.dirUnsynced = true
	return s.syncDir()
}

// install writes a new file and gives it the store's name.
func (s *Store) install(file *os.File, contents []byte) error {
	// The whole size is written, not left as a hole: a full disk shows here and not when a record has to be persisted.
	if err := s.disk.WriteAt(file, contents, 0); err != nil {
		return fmt.Errorf("write the store's new file: %w", err)
	}
	if err := s.disk.Sync(file); err != nil {
		return fmt.Errorf("sync the store's new file: %w", err)
	}
	if err := lockFile(file); err != nil {
		return err
	}
	if err := s.disk.Rename(file.Name(), s.path()); err != nil {
		return fmt.Errorf("rename the store's new file: %w", err)
	}
	return nil
}

// syncDir persists the file's name, where it may not be on disk yet.
func (s *Store) syncDir() error {
	if !s.dirUnsynced {
		return nil
	}
	if err := s.disk.SyncDir(s.dir); err != nil {
		return fmt.Errorf("sync the store's directory: %w", err)
	}
	s.dirUnsynced = false
	return nil
}
