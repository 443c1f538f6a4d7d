package capture

import (
	"encoding/binary"
	"slices"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	magic     = "spurwinch capture\r\n\x1a\n" // its line endings reveal a transfer that converts line endings
	blockMark = 0x6b6c6253                    // "Sblk"

	// A block's head, little-endian: mark, compressed length, raw length (4 bytes each), XXH64 of the compressed bytes.
	compressedLengthAt = 4
	rawLengthAt        = 8
	checksumAt         = 12
	headBytes          = 20

	maxRawBytes        = 1 << 20 // content size limit of a block that is read
	maxCompressedBytes = 1 << 20 // compressed size limit of a block that is read

	maxAttempts  = 16  // recorded attempts of a request
	maxNameBytes = 256 // size limit of a server's id, zone or kind
)

// blockHead is the head of a block, which precedes the block's compressed bytes.
type blockHead struct {
	compressedBytes, rawBytes int
	checksum                  uint64 // of the compressed bytes
}

// parseBlockHead reads the head of a block. ok is false if buf does not begin with a block mark or if a length is over
// its limit.
func parseBlockHead(buf []byte) (head blockHead, ok bool) {
	mark := binary.LittleEndian.Uint32(buf)
	compressed := binary.LittleEndian.Uint32(buf[compressedLengthAt:])
	raw := binary.LittleEndian.Uint32(buf[rawLengthAt:])
	if mark != blockMark || compressed > maxCompressedBytes || raw > maxRawBytes {
		return blockHead{}, false
	}
	return blockHead{
		compressedBytes: int(compressed),
		rawBytes:        int(raw),
		checksum:        binary.LittleEndian.Uint64(buf[checksumAt:]),
	}, true
}

// appendBlock appends a block with the given content to buf.
func appendBlock(buf, content []byte, encoder *zstd.Encoder) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, headBytes)...)
	buf = encoder.EncodeAll(content, buf)
	head := buf[start:]
	compressed := head[headBytes:]
	binary.LittleEndian.PutUint32(head, blockMark)
	binary.LittleEndian.PutUint32(head[compressedLengthAt:], uint32(len(compressed)))
	binary.LittleEndian.PutUint32(head[rawLengthAt:], uint32(len(content)))
	binary.LittleEndian.PutUint64(head[checksumAt:], xxhash.Sum64(compressed))
	return buf
}

// newBlockEncoder returns an encoder that starts no goroutine and uses about 1 MB of memory.
func newBlockEncoder() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(128<<10))
	if err != nil {
		panic(err) // the options are constants
	}
	return encoder
}

// truncate shortens a name to at most maxNameBytes without splitting a character. A reader can't decode a CBOR text
// that ends within a character, and would lose the rest of its block.
func truncate(name string) string {
	if len(name) <= maxNameBytes {
		return name
	}
	end := maxNameBytes
	for end > 0 && !utf8.RuneStart(name[end]) {
		end--
	}
	return name[:end]
}

// truncateAttempts returns the attempts to record: at most maxAttempts, with server ids that are truncated as in Host
// records. It does not change the caller's slice.
func truncateAttempts(attempts []Attempt) []Attempt {
	attempts = attempts[:min(len(attempts), maxAttempts)]
	isLong := func(attempt Attempt) bool { return len(attempt.Host) > maxNameBytes }
	if !slices.ContainsFunc(attempts, isLong) {
		return attempts
	}
	attempts = slices.Clone(attempts)
	for i := range attempts {
		attempts[i].Host = truncate(attempts[i].Host)
	}
	return attempts
}
