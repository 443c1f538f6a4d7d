package capture

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	maxFaults = 100 // noted of one file

	searchBytes = 64 << 10 // searched for a block's mark at once
)

// blockScanner reads the blocks of a file one after another. Damage costs the blocks that it touches, and is noted.
type blockScanner struct {
	file    string
	in      *bufio.Reader // holds the largest block
	offset  int64         // of the present block, bytes
	decoder *zstd.Decoder
	count   int // of whole blocks that were read
	faults  []Fault
}

func newBlockScanner(file string, in io.Reader) (*blockScanner, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxRawBytes+1024), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, err
	}
	return &blockScanner{
		file: file, in: bufio.NewReaderSize(in, maxPackedBytes+headBytes), decoder: decoder,
	}, nil
}

// readMagic reads the line that each capture begins with.
func (s *blockScanner) readMagic() error {
	line := make([]byte, len(magic))
	n, err := io.ReadFull(s.in, line)
	s.offset = int64(n)
	switch {
	case err == nil && string(line) == magic:
		return nil
	case n > 0 && bytes.HasPrefix([]byte(magic), line[:n]):
		return fmt.Errorf("%s: %w", s.file, ErrTruncatedMagic)
	default:
		return fmt.Errorf("%s: %w", s.file, ErrNotCapture)
	}
}

// next returns the content of the next whole block; ok is false at the end of the file.
func (s *blockScanner) next() (content []byte, ok bool) {
	for {
		buf, err := s.in.Peek(headBytes)
		if len(buf) == 0 {
			return nil, false
		}
		if err != nil {
			s.addFault(fmt.Sprintf("cut off: %d bytes of a block's head; all %d blocks before it were read",
				len(buf), s.count))
			_, _ = s.in.Discard(len(buf)) // they are buffered
			return nil, false
		}
		if head, ok := parseBlockHead(buf); ok {
			content, ok := s.readBlock(head)
			if ok {
				return content, true
			}
		} else {
			s.addFault("damaged: no block begins here")
		}
		// A damaged length may reach past sound blocks: the search goes on right behind this block's mark.
		if !s.seekMark() {
			return nil, false
		}
	}
}

// readBlock reads the block that begins here, or notes what is wrong with it and leaves it where it is.
func (s *blockScanner) readBlock(head blockHead) (content []byte, ok bool) {
	block, err := s.in.Peek(headBytes + head.packedBytes)
	if err != nil {
		s.addFault(fmt.Sprintf("cut off: %d bytes of a block of %d; all %d whole blocks before it were read",
			len(block), headBytes+head.packedBytes, s.count))
		return nil, false
	}
	content, ok = s.unpack(head, block[headBytes:])
	if !ok {
		s.addFault("damaged: a block's checksum is not that of its bytes; the block is left out")
		return nil, false
	}
	s.skip(len(block))
	s.count++
	return content, true
}

func (s *blockScanner) unpack(head blockHead, packed []byte) (content []byte, ok bool) {
	if xxhash.Sum64(packed) != head.checksum {
		return nil, false
	}
	content, err := s.decoder.DecodeAll(packed, make([]byte, 0, head.rawBytes))
	return content, err == nil && len(content) == head.rawBytes
}

// seekMark skips to the next block mark behind the present byte; it returns false at the end of the file.
func (s *blockScanner) seekMark() bool {
	var mark [4]byte
	binary.LittleEndian.PutUint32(mark[:], blockMark)
	s.skip(1)
	for {
		buf, err := s.in.Peek(searchBytes)
		if i := bytes.Index(buf, mark[:]); i >= 0 {
			s.skip(i)
			return true
		}
		if err != nil {
			s.skip(len(buf))
			return false
		}
		s.skip(len(buf) - len(mark) + 1) // a mark may lie across the end
	}
}

// skip goes on by n bytes, which are buffered.
func (s *blockScanner) skip(n int) {
	_, _ = s.in.Discard(n) // no error: they are buffered
	s.offset += int64(n)
}

func (s *blockScanner) addFault(problem string) {
	if len(s.faults) < maxFaults {
		s.faults = append(s.faults, Fault{File: s.file, Offset: s.offset, Problem: problem})
	}
}

func (s *blockScanner) close() { s.decoder.Close() }
