package capture

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"os"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Fault is something wrong with a file that did not keep the rest from being read.
type Fault struct {
	File   string
	Offset int64 // of the block, bytes
	What   string
}

func (f Fault) String() string { return fmt.Sprintf("%s: byte %d: %s", f.File, f.Offset, f.What) }

// Reader reads one file, block by block.
type Reader struct {
	Header Header
	Faults []Fault
	Blocks int // whole ones read

	name   string
	in     *bufio.Reader
	at     int64
	unzip  *zstd.Decoder
	rest   []byte // of the block in hand
	latest int64
	steps  int
	worst  int64
}

const mostFaults = 100

var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4096, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// NewReader reads the header. The error tells what the file should be.
func NewReader(name string, r io.Reader) (*Reader, error) {
	unzip, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxRaw+1024), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, err
	}
	c := &Reader{name: name, in: bufio.NewReaderSize(r, maxPacked+headSize), unzip: unzip, latest: math.MinInt64 / 2}
	head := make([]byte, len(magic))
	n, err := io.ReadFull(c.in, head)
	if err != nil || string(head) != magic {
		if n > 0 && bytes.HasPrefix([]byte(magic), head[:n]) {
			return nil, fmt.Errorf("%s: cut off in its first line: it holds nothing", name)
		}
		return nil, fmt.Errorf("%s: not a capture: a file that spurwinch wrote under [capture] is wanted", name)
	}
	c.at = int64(n)
	if !c.nextBlock() {
		return nil, fmt.Errorf("%s: cut off or damaged before the end of its header: it holds nothing that can be placed in time", name)
	}
	if err := c.decode(&c.Header); err != nil {
		return nil, fmt.Errorf("%s: header: %w", name, err)
	}
	if v := c.Header.Version; v > Version || v < 1 {
		return nil, fmt.Errorf("%s: format version %d; this program reads up to %d: use the spurwinchctl of the node that wrote it", name, v, Version)
	}
	return c, nil
}

// Next returns the next record, io.EOF at the end. Damage costs the blocks that it touches and is told in Faults.
func (c *Reader) Next() (Record, error) {
	for {
		if len(c.rest) == 0 && !c.nextBlock() {
			if c.steps > 0 {
				c.fault(fmt.Sprintf("the clock steps back %d times, by %.3f s at most: such records count as of the latest time before them", c.steps, float64(c.worst)/1e6))
				c.steps = 0
			}
			c.unzip.Close()
			return nil, io.EOF
		}
		r, err := c.record()
		if err != nil {
			// The checksum was right, so this is another writer's mistake: the rest of the block can't be told apart.
			c.fault("a record that can't be read: " + err.Error())
			c.rest = nil
			continue
		}
		if r != nil {
			return r, nil
		}
	}
}

func (c *Reader) decode(v any) (err error) {
	c.rest, err = decoding.UnmarshalFirst(c.rest, v)
	return err
}

func (c *Reader) record() (Record, error) {
	var kind uint8
	if err := c.decode(&kind); err != nil {
		return nil, err
	}
	switch kind {
	case 1:
		var r Placed
		err := c.decode(&r)
		if err == nil && (r.Class < 0 || r.Class >= len(c.Header.Classes) || r.Tenant < -1 || r.Tenant >= len(c.Header.Tenants) ||
			math.IsNaN(r.Load) || math.IsInf(r.Load, 0) || r.Load < 0 || r.Took < 0) {
			err = errors.New("a request of a class, tenant or load that can't be")
		}
		c.order(&r.At)
		return r, err
	case 2:
		var r Ended
		err := c.decode(&r)
		if err == nil && r.Life < 0 {
			err = errors.New("a life below none")
		}
		c.order(&r.At)
		return r, err
	case 3:
		var r Report
		err := c.decode(&r)
		c.order(&r.At)
		return r, err
	case 4:
		var r Host
		err := c.decode(&r)
		c.order(&r.At)
		return r, err
	case 5:
		var r Dropped
		err := c.decode(&r)
		c.order(&r.At)
		return r, err
	}
	var skip cbor.RawMessage
	return nil, c.decode(&skip) // a kind that a later minor release added
}

// stepsFrom is how far back a record may lie: requests are written when answered, with the time of their arrival.
const stepsFrom = 120 * 1e6

// order guards against a clock that stepped back: what follows would be taken for the load of another time.
func (c *Reader) order(at *int64) {
	if *at >= c.latest-stepsFrom {
		c.latest = max(c.latest, *at)
		return
	}
	c.steps++
	c.worst = max(c.worst, c.latest-*at)
	*at = c.latest
}

func (c *Reader) fault(what string) {
	if len(c.Faults) < mostFaults {
		c.Faults = append(c.Faults, Fault{c.name, c.at, what})
	}
}

// nextBlock finds the next whole block, over damage if need be.
func (c *Reader) nextBlock() bool {
	for {
		head, err := c.in.Peek(headSize)
		if len(head) == 0 {
			return false
		}
		if err != nil {
			c.fault(fmt.Sprintf("cut off: %d bytes of a block's head; all %d blocks before it were read", len(head), c.Blocks))
			c.in.Discard(len(head))
			return false
		}
		packed, raw := binary.LittleEndian.Uint32(head[4:]), binary.LittleEndian.Uint32(head[8:])
		if binary.LittleEndian.Uint32(head) != blockMark || packed > maxPacked || raw > maxRaw {
			c.fault("damaged: no block begins here")
			if !c.seek() {
				return false
			}
			continue
		}
		// The second look may move the buffer: head is not to be used after it.
		all, err := c.in.Peek(headSize + int(packed))
		if err == nil && xxhash.Sum64(all[headSize:]) == binary.LittleEndian.Uint64(all[12:]) {
			text, err := c.unzip.DecodeAll(all[headSize:], make([]byte, 0, raw))
			if err == nil && len(text) == int(raw) {
				c.in.Discard(len(all))
				c.at += int64(len(all))
				c.Blocks++
				c.rest = text
				return true
			}
		}
		if err != nil {
			c.fault(fmt.Sprintf("cut off: %d bytes of a block of %d; all %d whole blocks before it were read", len(all), headSize+int(packed), c.Blocks))
		} else {
			c.fault("damaged: a block's checksum is not that of its bytes; the block is left out")
		}
		// A damaged length may reach past sound blocks: look for the next mark behind this one.
		if !c.seek() {
			return false
		}
	}
}

// seek goes on to the next block mark behind the present place.
func (c *Reader) seek() bool {
	var mark [4]byte
	binary.LittleEndian.PutUint32(mark[:], blockMark)
	c.in.Discard(1)
	c.at++
	for {
		b, err := c.in.Peek(64 << 10)
		if i := bytes.Index(b, mark[:]); i >= 0 {
			c.in.Discard(i)
			c.at += int64(i)
			return true
		}
		if err != nil {
			c.in.Discard(len(b))
			c.at += int64(len(b))
			return false
		}
		n := len(b) - len(mark) + 1
		c.in.Discard(n)
		c.at += int64(n)
	}
}

// ReadFile hands each record of a file to fn and returns the header and what was wrong.
func ReadFile(name string, fn func(Header, Record)) (Header, []Fault, error) {
	f, err := os.Open(name)
	if err != nil {
		return Header{}, nil, err
	}
	defer f.Close()
	r, err := NewReader(name, f)
	if err != nil {
		return Header{}, nil, err
	}
	for {
		rec, err := r.Next()
		if err != nil {
			return r.Header, r.Faults, nil
		}
		fn(r.Header, rec)
	}
}
