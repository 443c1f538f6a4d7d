package capture

import (
	"encoding/binary"
	"slices"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	magic     = "spurwinch capture\r\n\x1a\n" // a transfer that changes line ends shows at once
	blockMark = 0x6b6c6253                    // "Sblk"

	// A block's head, little-endian: mark, compressed length, raw length (4 bytes each), XXH64 of the compressed bytes.
	packedLengthAt = 4
	rawLengthAt    = 8
	checksumAt     = 12
	headBytes      = 20

	maxRawBytes    = 1 << 20 // of the largest block that is read
	maxPackedBytes = 1 << 20

	maxAttempts  = 16  // of a request
	maxNameBytes = 256 // of a host's id, zone or kind
)

// blockHead is what stands before a block's compressed bytes.
type blockHead struct {
	packedBytes, rawBytes int
	checksum              uint64 // of the compressed bytes
}

// parseBlockHead reads the head of a block; ok is false where there is none, or one with lengths that can't be.
func parseBlockHead(buf []byte) (head blockHead, ok bool) {
	mark := binary.LittleEndian.Uint32(buf)
	packed := binary.LittleEndian.Uint32(buf[packedLengthAt:])
	raw := binary.LittleEndian.Uint32(buf[rawLengthAt:])
	if mark != blockMark || packed > maxPackedBytes || raw > maxRawBytes {
		return blockHead{}, false
	}
	return blockHead{
		packedBytes: int(packed),
		rawBytes:    int(raw),
		checksum:    binary.LittleEndian.Uint64(buf[checksumAt:]),
	}, true
}

// appendBlock appends a block with the given content to buf.
func appendBlock(buf, content []byte, encoder *zstd.Encoder) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, headBytes)...)
	buf = encoder.EncodeAll(content, buf)
	head := buf[start:]
	packed := head[headBytes:]
	binary.LittleEndian.PutUint32(head, blockMark)
	binary.LittleEndian.PutUint32(head[packedLengthAt:], uint32(len(packed)))
	binary.LittleEndian.PutUint32(head[rawLengthAt:], uint32(len(content)))
	binary.LittleEndian.PutUint64(head[checksumAt:], xxhash.Sum64(packed))
	return buf
}

// newBlockEncoder returns an encoder that starts no goroutine and takes about 1 MB.
func newBlockEncoder() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(128<<10))
	if err != nil {
		panic(err) // the options are constants
	}
	return encoder
}

// truncate is the beginning of a name, maxNameBytes at most, without half a character at its end: a CBOR text with one
// can't be read, and costs the rest of its block.
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

// truncateAttempts is the attempts that are recorded, with their hosts' ids as records of hosts have them. The caller's
// attempts stay as they are.
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
