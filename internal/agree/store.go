package agree

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

// The store is one file of records, each with a checksum. The file has its whole size from the beginning, and its head names that
// size, so that one that was cut short is known as such: what is missing at its end was promised to others. A page store was tried
// first (bbolt): it maps its file and ends with the process when that is cut short, and has checksums for its roots only.
//
//	head    8 bytes magic, 8 size of the file, 8 checksum of both
//	record  4 bytes length of the body, 8 checksum of length and body, body (CBOR), 1 byte end mark
//
// Big-endian. A record whose end mark is zero, with nothing but zeros behind it, was never whole: the machine stopped while it was
// written, and nobody was told of it. Any other fault means that something is lost that was kept.

const (
	magic      = "spwlog1\n"
	headBytes  = 24
	frameBytes = 13
	endMark    = 0xed
	pieceBytes = 1 << 20 // files grow by whole pieces
	mostFile   = 64 << 20
)

// ErrCorrupt says that a store's file is not what was kept in it. The file is set aside.
var ErrCorrupt = errors.New("the file is not what was kept in it")

// Store keeps records on disk. Its methods may wait for the disk, and belong to one goroutine.
type Store struct {
	disk disk
	dir  string
	file *os.File
	at   int64
	size int64
	// dirty is the end of what may stand behind at: a part of a record that was never whole. No later record may end before it.
	dirty int64
	// renamed says that the file has its name, but that the folder may not have it on disk yet.
	renamed bool
}

const storeName = "agreed.log"

// OpenStore opens the store of a directory, which it makes, and reads what was kept, oldest first. A file that is not whole is
// renamed; the error then is an ErrSpoilt, and the store is a new one.
func OpenStore(dir string) (*Store, []Record, error) { return openStoreOn(files{}, dir) }

func openStoreOn(d disk, dir string) (*Store, []Record, error) {
	s := &Store{disk: d, dir: dir}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, err
	}
	path := filepath.Join(dir, storeName)
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return s, nil, s.rewrite(nil)
	} else if err != nil {
		return nil, nil, err
	}
	records, at, fault := parse(raw)
	if fault != nil {
		if err := s.disk.Rename(path, path+".spoilt"); err != nil {
			return nil, nil, err
		}
		if err := s.rewrite(nil); err != nil {
			return nil, nil, err
		}
		return s, nil, fmt.Errorf("%w: %s: %w; it is kept as %s.spoilt", ErrCorrupt, path, fault, storeName)
	}
	if s.file, err = os.OpenFile(path, os.O_RDWR, 0o600); err != nil {
		return nil, nil, err
	}
	s.at, s.size = at, int64(len(raw))
	if err := s.lock(); err != nil {
		s.Close()
		return nil, nil, err
	}
	// What a stopped process or machine left half written goes, so that no later record stands before it.
	if half := lastSet(raw[at:]); half > 0 {
		if err := s.disk.WriteAt(s.file, make([]byte, half), at); err != nil {
			s.Close()
			return nil, nil, err
		}
	}
	return s, records, nil
}

// parse reads a whole file.
func parse(raw []byte) (records []Record, at int64, err error) {
	if len(raw) < headBytes || string(raw[:8]) != magic || binary.BigEndian.Uint64(raw[16:]) != xxhash.Sum64(raw[:16]) {
		return nil, 0, errors.New("its head is not whole")
	}
	if size := binary.BigEndian.Uint64(raw[8:]); size != uint64(len(raw)) {
		return nil, 0, fmt.Errorf("it has %d bytes of %d", len(raw), size)
	}
	at = headBytes
	for {
		rest := raw[at:]
		if len(rest) < frameBytes || zeros(rest[:frameBytes]) {
			if !zeros(rest) {
				return nil, 0, fmt.Errorf("byte %d: a record is missing", at)
			}
			return records, at, nil
		}
		n := int64(binary.BigEndian.Uint32(rest))
		whole := n <= int64(len(rest))-frameBytes && rest[12+n] == endMark
		if whole && binary.BigEndian.Uint64(rest[4:]) == sum(rest[:4], rest[12:12+n]) {
			var r Record
			if err := decoding.Unmarshal(rest[12:12+n], &r); err != nil {
				return nil, 0, fmt.Errorf("byte %d: %w", at, err)
			}
			records = append(records, r)
			at += n + frameBytes
			continue
		}
		if n > 0 && n <= int64(len(rest))-frameBytes && zeros(rest[12+n:]) {
			return records, at, nil
		}
		return nil, 0, fmt.Errorf("byte %d: a record's checksum is wrong", at)
	}
}

func zeros(p []byte) bool {
	for _, b := range p {
		if b != 0 {
			return false
		}
	}
	return true
}

// lastSet is the number of bytes up to the last one that is not zero.
func lastSet(p []byte) int64 {
	n := len(p)
	for n > 0 && p[n-1] == 0 {
		n--
	}
	return int64(n)
}

func sum(length, body []byte) uint64 {
	h := xxhash.New()
	h.Write(length)
	h.Write(body)
	return h.Sum64()
}

func frame(r Record) []byte {
	body := Encode(r)
	out := binary.BigEndian.AppendUint32(make([]byte, 0, len(body)+frameBytes), uint32(len(body)))
	out = binary.BigEndian.AppendUint64(out, sum(out[:4], body))
	return append(append(out, body...), endMark)
}

// Save keeps a record behind the others. When it returns without an error the record outlives the machine. After an error the same record may be
// saved again, or another one in its place.
func (s *Store) Save(r Record) error {
	b := frame(r)
	end := s.at + int64(len(b))
	if end > s.size {
		if err := s.grow(end); err != nil {
			return err
		}
	}
	if err := s.syncFolder(); err != nil {
		return err
	}
	rest := make([]byte, max(0, s.dirty-end))
	s.dirty = max(s.dirty, end)
	if err := s.disk.WriteAt(s.file, append(b, rest...), s.at); err != nil {
		return err
	}
	if err := s.disk.Sync(s.file); err != nil {
		return err
	}
	s.at, s.dirty = end, 0
	return nil
}

// syncFolder has the file's name be on disk, where it may not be yet.
func (s *Store) syncFolder() error {
	if !s.renamed {
		return nil
	}
	err := s.disk.SyncFolder(s.dir)
	s.renamed = err != nil
	return err
}

// grow makes room by writing the file anew: its head must never name a size that it doesn't have.
func (s *Store) grow(least int64) error {
	raw := make([]byte, s.at)
	if _, err := io.ReadFull(io.NewSectionReader(s.file, 0, s.at), raw); err != nil {
		return err
	}
	return s.replace(raw[headBytes:], least)
}

// Replace keeps one record in place of all others.
func (s *Store) Replace(r Record) error { return s.rewrite(frame(r)) }

func (s *Store) rewrite(body []byte) error { return s.replace(body, headBytes+int64(len(body))) }

func (s *Store) replace(body []byte, least int64) error {
	size := (least + pieceBytes/2 + pieceBytes - 1) / pieceBytes * pieceBytes
	if size > mostFile {
		return fmt.Errorf("%s: over %d MB", filepath.Join(s.dir, storeName), mostFile>>20)
	}
	path := filepath.Join(s.dir, storeName)
	f, err := os.OpenFile(path+".new", os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	head := binary.BigEndian.AppendUint64([]byte(magic), uint64(size))
	head = binary.BigEndian.AppendUint64(head, xxhash.Sum64(head))
	// The whole size is written, not left as a hole: a full disk shows here and not in the middle of a promise.
	if err = s.disk.WriteAt(f, append(append(head, body...), make([]byte, size-headBytes-int64(len(body)))...), 0); err == nil {
		err = s.disk.Sync(f)
	}
	if err == nil {
		old := s.file
		s.file = f
		if err = s.lock(); err != nil {
			s.file = old
		} else if err = s.disk.Rename(path+".new", path); err != nil {
			s.file = old
		} else if old != nil {
			old.Close()
		}
	}
	if err != nil {
		f.Close()
		return err
	}
	s.at, s.size, s.dirty, s.renamed = headBytes+int64(len(body)), size, 0, true
	return s.syncFolder()
}

// Close gives the file back.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}
