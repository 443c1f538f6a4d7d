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
	newSuffix     = ".new"    // suffix of a file that is being written
	corruptSuffix = ".spoilt" // suffix of a corrupt file that was renamed
)

// Store persists records in one file of a directory. Its methods may block on the disk, and only one goroutine may call
// them. Only one process at a time can open a store.
type Store struct {
	disk     disk
	dir      string
	file     *os.File
	end      int64 // offset of the end of the last record
	fileSize int64
	// dirtyEnd is the end of the bytes that a failed Save may have left after the last record: a part of an incomplete
	// record. The next Save overwrites all of them, so that no record is followed by such bytes. 0 means that there are
	// none.
	dirtyEnd int64
	// dirUnsynced is true while the directory entry of the file may not be on disk yet.
	dirUnsynced bool
}

// OpenStore opens the store of a directory and returns the persisted records, oldest first. It creates the directory
// and the store if they do not exist. If the file is corrupt, OpenStore renames it and returns a new, usable store
// together with a CorruptError.
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

// replaceCorrupt renames a corrupt file, so that an operator can examine it, and creates a new one.
func (s *Store) replaceCorrupt(fault *CorruptError) (*Store, []Record, error) {
	if err := s.disk.Rename(s.path(), s.path()+corruptSuffix); err != nil {
		return nil, nil, fmt.Errorf("rename the corrupt store: %w", err)
	}
	if err := s.rewrite(nil); err != nil {
		return nil, nil, err
	}
	return s, nil, fmt.Errorf("open the store: %w; renamed the file to %s%s", fault, storeName, corruptSuffix)
}

// openFile opens and locks the store's file, whose contents have already been read. end is the end of the last record.
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
		_ = s.Close() // no record was written through it, so an error of Close loses nothing
	}
	return err
}

// clearIncomplete overwrites an incomplete record with zeros, so that no later record is followed by the rest of it. A
// record is left incomplete when the process or the machine stops during a write.
func (s *Store) clearIncomplete(size int64) error {
	if size == 0 {
		return nil
	}
	if err := s.disk.WriteAt(s.file, make([]byte, size), s.end); err != nil {
		return fmt.Errorf("clear an incomplete record: %w", err)
	}
	return nil
}

// Save persists a record after the others. When it returns without an error, the record is on disk and survives a crash
// of the machine. After an error the caller may save the same record again, or another one in its place.
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
	// The same call clears the bytes that an earlier failed Save may have written beyond the end of this record.
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

// Replace persists one record in place of all others. After an error the store contains either the previous records or
// the new one, and the caller may call Save and Replace again.
func (s *Store) Replace(record Record) error { return s.rewrite(encodeRecord(record)) }

// Close closes the file, which also releases its lock.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}

// grow enlarges the file. It writes a new file, because the header must never contain a size that differs from the
// actual size of the file.
func (s *Store) grow(minSize int64) error {
	contents := make([]byte, s.end)
	if _, err := io.ReadFull(io.NewSectionReader(s.file, 0, s.end), contents); err != nil {
		return fmt.Errorf("read the store to grow it: %w", err)
	}
	return s.replaceFile(contents[headerSize:], minSize)
}

func (s *Store) rewrite(records []byte) error {
	return s.replaceFile(records, headerSize+int64(len(records)))
}

// replaceFile replaces the store's file with a new one. The old file stays unchanged until the new one is on disk.
func (s *Store) replaceFile(records []byte, minSize int64) error {
	size := fileSizeFor(minSize)
	if size > maxFileSize {
		return fmt.Errorf("%w: %s needs %d bytes, the maximum is %d", ErrStoreFull, s.path(), size, maxFileSize)
	}
	file, err := os.OpenFile(s.path()+newSuffix, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("create the store's new file: %w", err)
	}
	if err := s.install(file, encodeFile(records, size)); err != nil {
		_ = file.Close() // it has not replaced the store's file, and the next attempt overwrites it
		return err
	}
	if s.file != nil {
		_ = s.file.Close() // the rename removed its last directory entry
	}
	s.file = file
	s.end = headerSize + int64(len(records))
	s.fileSize = size
	s.dirtyEnd = 0
	s.dirUnsynced = true
	return s.syncDir()
}

// install writes a new file, locks it and renames it to the path of the store.
func (s *Store) install(file *os.File, contents []byte) error {
	// The file is written in full size instead of being sparse, so that a full disk causes an error here and not when a
	// record has to be persisted.
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

// syncDir persists the directory entry of the file if it may not be on disk yet.
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
