package capture

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// maxStepBack is the longest time by which a record's offset may lie before the latest one. Offsets are not in order,
// because a request is written when it is answered, with the time of its arrival.
const maxStepBack = 120 * time.Second

// decodeMode limits the size and the nesting of a CBOR item.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 4096, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Reader reads the records of one file, in the order in which they were written.
type Reader struct {
	Header Header

	file   string
	blocks *blockScanner
	block  []byte // unread rest of the current block
	clock  clockGuard
}

// NewReader reads the header of a file. Errors and faults contain the file name. The error is ErrNotCapture,
// ErrTruncatedMagic, ErrNoHeader, a *VersionError or an error that describes what is wrong with the header.
func NewReader(file string, in io.Reader) (*Reader, error) {
	blocks, err := newBlockScanner(file, in)
	if err != nil {
		return nil, err
	}
	reader := &Reader{file: file, blocks: blocks, clock: newClockGuard()}
	if err := reader.readHeader(); err != nil {
		blocks.close()
		return nil, err
	}
	return reader, nil
}

func (r *Reader) readHeader() error {
	if err := r.blocks.readMagic(); err != nil {
		return err
	}
	if !r.nextBlock() {
		return fmt.Errorf("%s: %w", r.file, ErrNoHeader)
	}
	if err := r.decode(&r.Header); err != nil {
		return fmt.Errorf("%s: header: %w", r.file, err)
	}
	if version := r.Header.Version; version > Version || version < 1 {
		return &VersionError{File: r.file, Version: version}
	}
	return nil
}

// Faults returns the damage that was found so far. The list is complete when Next has returned io.EOF.
func (r *Reader) Faults() []Fault { return r.blocks.faults }

// Next returns the next record, or io.EOF at the end of the file; it returns no other error. It skips damaged blocks
// and adds the damage to Faults.
func (r *Reader) Next() (Record, error) {
	for {
		if len(r.block) == 0 && !r.nextBlock() {
			r.end()
			return nil, io.EOF
		}
		record, err := r.decodeRecord()
		if err != nil {
			// The checksum is correct, so the writer made a mistake. The start of the next record is unknown, so the
			// rest of the block is skipped.
			r.blocks.addFault("unreadable record: " + err.Error())
			r.block = nil
			continue
		}
		if record != nil {
			return record, nil
		}
	}
}

func (r *Reader) nextBlock() (ok bool) {
	r.block, ok = r.blocks.next()
	return ok
}

func (r *Reader) end() {
	if r.clock.steps > 0 {
		r.blocks.addFault(fmt.Sprintf(
			"the clock steps back %d times, by %.3f s at most: the affected records get the latest time before them",
			r.clock.steps, float64(r.clock.largest)/1e6))
		r.clock.steps = 0
	}
	r.blocks.close()
}

// decode decodes the next item of the block.
func (r *Reader) decode(target any) error {
	rest, err := decodeMode.UnmarshalFirst(r.block, target)
	r.block = rest
	return err
}

// decodeRecord decodes a kind and the record of that kind. It returns nil for an unknown kind, which a later version
// may have added.
func (r *Reader) decodeRecord() (Record, error) {
	var kind recordKind
	if err := r.decode(&kind); err != nil {
		return nil, err
	}
	switch kind {
	case kindPlaced:
		var record Placed
		err := r.decode(&record)
		if err == nil {
			err = r.checkRequest(&record)
		}
		r.clock.adjust(&record.At)
		return record, err
	case kindEnded:
		var record Ended
		err := r.decode(&record)
		if err == nil && record.Lifetime < 0 {
			err = errNegativeLifetime
		}
		r.clock.adjust(&record.At)
		return record, err
	case kindReport:
		var record Report
		err := r.decode(&record)
		r.clock.adjust(&record.At)
		return record, err
	case kindHost:
		var record Host
		err := r.decode(&record)
		r.clock.adjust(&record.At)
		return record, err
	case kindDropped:
		var record Dropped
		err := r.decode(&record)
		r.clock.adjust(&record.At)
		return record, err
	}
	var skipped cbor.RawMessage
	return nil, r.decode(&skipped)
}

// checkRequest rejects indices that are not in the header and numbers that no writer produces.
func (r *Reader) checkRequest(request *Placed) error {
	validClass := request.Class >= 0 && request.Class < len(r.Header.Classes)
	validTenant := request.Tenant >= -1 && request.Tenant < len(r.Header.Tenants)
	validLoad := request.Load >= 0 && !math.IsInf(request.Load, 0) // false for NaN
	if !validClass || !validTenant || !validLoad || request.Took < 0 {
		return errInvalidRequest
	}
	return nil
}

// clockGuard detects records that were written after the clock was set back. Without a correction, their load would
// count at a wrong time. Offsets are in microseconds.
type clockGuard struct {
	latest  int64
	steps   int   // records that were too far back
	largest int64 // largest distance of such a record from the latest offset before it
}

func newClockGuard() clockGuard { return clockGuard{latest: math.MinInt64 / 2} }

// adjust replaces an offset that is too far back by the latest one before it.
func (g *clockGuard) adjust(offset *int64) {
	if *offset >= g.latest-Micros(maxStepBack) {
		g.latest = max(g.latest, *offset)
		return
	}
	g.steps++
	g.largest = max(g.largest, g.latest-*offset)
	*offset = g.latest
}

// ReadFile calls visit with the header and each record of a file. It returns the header and the damage that was found,
// or an error if nothing of the file can be read.
func ReadFile(name string, visit func(Header, Record)) (Header, []Fault, error) {
	file, err := os.Open(name)
	if err != nil {
		return Header{}, nil, err
	}
	defer func() { _ = file.Close() }() // the file was only read
	reader, err := NewReader(name, file)
	if err != nil {
		return Header{}, nil, err
	}
	for {
		record, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return reader.Header, reader.Faults(), nil
		}
		if err != nil {
			return reader.Header, reader.Faults(), err
		}
		visit(reader.Header, record)
	}
}
