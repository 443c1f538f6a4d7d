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

// maxStepBack is how far the offset of a record may lie before the latest one: requests are written when they are
// answered, with the time of their arrival.
const maxStepBack = 120 * time.Second

// decoding bounds what one item may hold.
var decoding = func() cbor.DecMode {
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
	block  []byte // what is left of the present block
	clock  clockGuard
}

// NewReader reads the header of a file, whose name is for errors and faults. The error is ErrNotCapture,
// ErrTruncatedMagic, ErrNoHeader or a *VersionError, or says what is wrong with the header.
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

// Faults is the damage that was found so far. It is complete when Next has returned io.EOF.
func (r *Reader) Faults() []Fault { return r.blocks.faults }

// Next returns the next record, or io.EOF at the end of the file; there is no other error. Damage costs the blocks that
// it touches and is added to Faults.
func (r *Reader) Next() (Record, error) {
	for {
		if len(r.block) == 0 && !r.nextBlock() {
			r.end()
			return nil, io.EOF
		}
		record, err := r.decodeRecord()
		if err != nil {
			// The checksum is right, so the writer made a mistake. Where the next record begins is not known.
			r.blocks.addFault("a record that can't be read: " + err.Error())
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
			"the clock steps back %d times, by %.3f s at most: such records count as of the latest time before them",
			r.clock.steps, float64(r.clock.largest)/1e6))
		r.clock.steps = 0
	}
	r.blocks.close()
}

// decode decodes the next item of the block.
func (r *Reader) decode(target any) error {
	rest, err := decoding.UnmarshalFirst(r.block, target)
	r.block = rest
	return err
}

// decodeRecord decodes a kind and the record of that kind. The record is nil where a later version added the kind.
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

// checkRequest rejects indices that are not in the header, and numbers that no writer takes.
func (r *Reader) checkRequest(request *Placed) error {
	validClass := request.Class >= 0 && request.Class < len(r.Header.Classes)
	validTenant := request.Tenant >= -1 && request.Tenant < len(r.Header.Tenants)
	validLoad := request.Load >= 0 && !math.IsInf(request.Load, 0) // false for NaN
	if !validClass || !validTenant || !validLoad || request.Took < 0 {
		return errInvalidRequest
	}
	return nil
}

// clockGuard finds records that were written under a clock that had stepped back: they would be taken for the load of
// another time. Offsets are microseconds.
type clockGuard struct {
	latest  int64
	steps   int   // records that lay too far back
	largest int64 // the farthest of them
}

func newClockGuard() clockGuard { return clockGuard{latest: math.MinInt64 / 2} }

// adjust sets an offset that lies too far back to the latest one before it.
func (g *clockGuard) adjust(offset *int64) {
	if *offset >= g.latest-Micros(maxStepBack) {
		g.latest = max(g.latest, *offset)
		return
	}
	g.steps++
	g.largest = max(g.largest, g.latest-*offset)
	*offset = g.latest
}

// ReadFile calls visit with the header and each record of a file. It returns the header, the damage that was found, and
// the error where nothing of the file can be read.
func ReadFile(name string, visit func(Header, Record)) (Header, []Fault, error) {
	file, err := os.Open(name)
	if err != nil {
		return Header{}, nil, err
	}
	defer func() { _ = file.Close() }() // it was only read
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
