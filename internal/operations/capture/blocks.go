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
	maxFaults = 100 // faults that are recorded for one file

	searchBytes = 64 << 10 // bytes that are searched for a block's mark in one step
)

// blockScanner reads the blocks of a file in order. It skips damaged blocks and records the damage as faults.
type blockScanner struct {
	file    string
	in      *bufio.Reader // its buffer has room for the largest block
	offset  int64         // of the current block, in bytes
	decoder *zstd.Decoder
	count   int // complete blocks that were read
	faults  []Fault
}

func newBlockScanner(file string, in io.Reader) (*blockScanner, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxRawBytes+1024), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, err
	}
	return &blockScanner{
		file: file, in: bufio.NewReaderSize(in, maxCompressedBytes+headBytes), decoder: decoder,
	}, nil
}

// readMagic reads the magic line at the beginning of each capture.
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

// next returns the content of the next complete block; ok is false at the end of the file.
func (s *blockScanner) next() (content []byte, ok bool) {
	for {
		buf, err := s.in.Peek(headBytes)
		if len(buf) == 0 {
			return nil, false
		}
		if err != nil {
			s.addFault(fmt.Sprintf("truncated: only %d bytes of a block's head; all %d blocks before it were read",
				len(buf), s.count))
			_, _ = s.in.Discard(len(buf)) // no error: the bytes are buffered
			return nil, false
		}
		if head, ok := parseBlockHead(buf); ok {
			content, ok := s.readBlock(head)
			if ok {
				return content, true
			}
		} else {
			s.addFault("damaged: no block begins at this offset")
		}
		// A damaged length may extend over intact blocks, so the search continues one byte after this block's start.
		if !s.seekMark() {
			return nil, false
		}
	}
}

// readBlock reads the block at the current offset. If the block is damaged, readBlock records a fault and does not skip
// the block.
func (s *blockScanner) readBlock(head blockHead) (content []byte, ok bool) {
	block, err := s.in.Peek(headBytes + head.compressedBytes)
	if err != nil {
		s.addFault(fmt.Sprintf("truncated: only %d bytes of a block of %d; all %d complete blocks before it were read",
			len(block), headBytes+head.compressedBytes, s.count))
		return nil, false
	}
	content, ok = s.decompress(head, block[headBytes:])
	if !ok {
		s.addFault("damaged: a block's checksum does not match its bytes; the block is skipped")
		return nil, false
	}
	s.skip(len(block))
	s.count++
	return content, true
}

func (s *blockScanner) decompress(head blockHead, compressed []byte) (content []byte, ok bool) {
	if xxhash.Sum64(compressed) != head.checksum {
		return nil, false
	}
	content, err := s.decoder.DecodeAll(compressed, make([]byte, 0, head.rawBytes))
	return content, err == nil && len(content) == head.rawBytes
}

// seekMark skips to the next block mark after the current byte. It returns false at the end of the file.
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
		s.skip(len(buf) - len(mark) + 1) // a mark may begin in the last bytes of buf
	}
}

// skip advances by n bytes, which must be buffered.
func (s *blockScanner) skip(n int) {
	_, _ = s.in.Discard(n) // no error: the bytes are buffered
	s.offset += int64(n)
}

func (s *blockScanner) addFault(problem string) {
	if len(s.faults) < maxFaults {
		s.faults = append(s.faults, Fault{File: s.file, Offset: s.offset, Problem: problem})
	}
}

func (s *blockScanner) close() { s.decoder.Close() }
