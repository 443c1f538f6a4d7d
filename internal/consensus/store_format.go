package consensus

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// The file of a store consists of a header, records that each have a checksum, and zeros up to the size in the header:
//
//	header  8 bytes magic, 8 bytes size of the file, 8 bytes checksum of both
//	record  4 bytes length of the body, 8 bytes checksum of length and body, body (CBOR), 1 byte end mark
//
// Numbers are big-endian, and checksums are xxHash64. The file has its full size from the start, so that a truncated
// file is detected. This matters because the replica has already acknowledged the records that are missing at its end
// to other replicas. If the end mark of a record is zero and only zeros follow, the record is incomplete: the machine
// stopped during the write, so no message that depends on the record was sent. Any other fault means that persisted
// data is lost.
//
// A page store (bbolt) was tried first. It maps its file into memory and crashes the process when the file is
// truncated, and it has checksums for its root pages only.
const (
	magic = "spwlog1\n"

	headerSize       = 24 // bytes
	headerSizeAt     = 8  // offset of the file size in the header
	headerChecksumAt = 16

	frameSize       = 13 // bytes of a record in addition to its body
	frameChecksumAt = 4
	frameBodyAt     = 12
	endMark         = 0xed

	sizeStep    = 1 << 20  // bytes; the size of a file is a multiple of this
	maxFileSize = 64 << 20 // bytes
)

// fileSizeFor returns the size of a file that must have at least minSize bytes. It leaves at least half a sizeStep for
// later records.
func fileSizeFor(minSize int64) int64 {
	return (minSize + sizeStep/2 + sizeStep - 1) / sizeStep * sizeStep
}

// encodeFile returns the complete contents of a file of the given size. records are already encoded.
func encodeFile(records []byte, size int64) []byte {
	file := make([]byte, 0, size)
	file = append(file, magic...)
	file = binary.BigEndian.AppendUint64(file, uint64(size))
	file = binary.BigEndian.AppendUint64(file, xxhash.Sum64(file))
	file = append(file, records...)
	return file[:size]
}

// encodeRecord encodes a record with its frame.
func encodeRecord(record Record) []byte {
	body := Encode(record)
	encoded := make([]byte, 0, len(body)+frameSize)
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(len(body)))
	encoded = binary.BigEndian.AppendUint64(encoded, recordChecksum(encoded[:frameChecksumAt], body))
	encoded = append(encoded, body...)
	return append(encoded, endMark)
}

func recordChecksum(length, body []byte) uint64 {
	hash := xxhash.New()
	_, _ = hash.Write(length) // writing to a hash never fails
	_, _ = hash.Write(body)
	return hash.Sum64()
}

// decodeFile returns the records of a whole file and the offset of the end of the last one. If the file is corrupt, it
// returns an error, and offset is the position of the fault.
func decodeFile(file []byte) (records []Record, offset int64, err error) {
	if err := checkHeader(file); err != nil {
		return nil, 0, err
	}
	offset = headerSize
	for {
		record, size, err := decodeRecord(file[offset:])
		if err != nil {
			return nil, offset, err
		}
		if size == 0 {
			return records, offset, nil
		}
		records = append(records, record)
		offset += size
	}
}

func checkHeader(file []byte) error {
	if len(file) < headerSize || !bytes.HasPrefix(file, []byte(magic)) ||
		binary.BigEndian.Uint64(file[headerChecksumAt:]) != xxhash.Sum64(file[:headerChecksumAt]) {
		return errBadHeader
	}
	if size := binary.BigEndian.Uint64(file[headerSizeAt:]); size != uint64(len(file)) {
		return fmt.Errorf("%w: got %d bytes, want %d", errTruncated, len(file), size)
	}
	return nil
}

// decodeRecord decodes the record at the start of rest, the remaining bytes of a file, and returns its size including
// the frame. The size is 0 if no record follows or if the record is incomplete.
func decodeRecord(rest []byte) (record Record, size int64, err error) {
	if len(rest) < frameSize || allZero(rest[:frameSize]) {
		if !allZero(rest) {
			return record, 0, errMissingRecord
		}
		return record, 0, nil
	}
	bodySize := int64(binary.BigEndian.Uint32(rest))
	end := frameBodyAt + bodySize // end of the body, which is the offset of the end mark
	if end >= int64(len(rest)) {
		return record, 0, errBadChecksum // the length is wrong
	}
	body := rest[frameBodyAt:end]
	checksum := binary.BigEndian.Uint64(rest[frameChecksumAt:])
	if rest[end] == endMark && checksum == recordChecksum(rest[:frameChecksumAt], body) {
		if err := Decode(body, &record); err != nil {
			return record, 0, fmt.Errorf("decode record: %w", err)
		}
		return record, bodySize + frameSize, nil
	}
	if bodySize > 0 && allZero(rest[end:]) {
		return record, 0, nil
	}
	return record, 0, errBadChecksum
}

func allZero(data []byte) bool { return usedSize(data) == 0 }

// usedSize returns the number of bytes up to and including the last non-zero byte.
func usedSize(data []byte) int64 {
	size := len(data)
	for size > 0 && data[size-1] == 0 {
		size--
	}
	return int64(size)
}
