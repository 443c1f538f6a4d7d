package consensus

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// A store's file is a header, records, each with a checksum, and zeros up to the size that the header names:
//
//	header  8 bytes magic, 8 size of the file, 8 checksum of both
//	record  4 bytes length of the body, 8 checksum of length and body, body (CBOR), 1 byte end mark
//
// Numbers are big-endian, checksums xxHash64. The file has its whole size from the beginning, so that one that was cut
// short is recognized: the records that are missing at its end were acknowledged to other replicas. A record whose end
// mark is zero, with nothing but zeros behind it, was never complete: the machine stopped while it was written, so
// nothing that follows from it was sent. Any other fault means that something is lost that was persisted.
//
// A page store (bbolt) was tried first: it maps its file and ends with the process when that is cut short, and has
// checksums for its roots only.
const (
	magic = "spwlog1\n"

	headerSize       = 24 // bytes
	headerSizeAt     = 8  // where the header has the file's size
	headerChecksumAt = 16

	frameSize       = 13 // bytes of a record besides its body
	frameChecksumAt = 4
	frameBodyAt     = 12
	endMark         = 0xed

	sizeStep    = 1 << 20 // bytes; files grow in whole steps
	maxFileSize = 64 << 20
)

// fileSizeFor is the size of a file that has to have at least some bytes, with half a step or more to grow into.
func fileSizeFor(atLeast int64) int64 {
	return (atLeast + sizeStep/2 + sizeStep - 1) / sizeStep * sizeStep
}

// encodeFile returns the complete contents of a file of some size with records that are encoded already.
func encodeFile(records []byte, size int64) []byte {
	file := make([]byte, 0, size)
	file = append(file, magic...)
	file = binary.BigEndian.AppendUint64(file, uint64(size))
	file = binary.BigEndian.AppendUint64(file, xxhash.Sum64(file))
	file = append(file, records...)
	return file[:size]
}

// encodeRecord gives a record with its frame.
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
	_, _ = hash.Write(length) // a hash never fails to write
	_, _ = hash.Write(body)
	return hash.Sum64()
}

// decodeFile gives the records of a whole file and the offset behind the last one. Of a file that does not have what
// was persisted in it, offset is the place of the fault.
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
		return fmt.Errorf("%w: %d bytes of %d", errTruncated, len(file), size)
	}
	return nil
}

// decodeRecord gives the record at the beginning of what is left of a file, and its size with its frame. The size is
// 0 where no record follows, or one that was never complete.
func decodeRecord(rest []byte) (record Record, size int64, err error) {
	if len(rest) < frameSize || allZero(rest[:frameSize]) {
		if !allZero(rest) {
			return record, 0, errMissingRecord
		}
		return record, 0, nil
	}
	bodySize := int64(binary.BigEndian.Uint32(rest))
	end := frameBodyAt + bodySize // of the body: there is the end mark
	if end >= int64(len(rest)) {
		return record, 0, errBadChecksum // its length is wrong
	}
	body := rest[frameBodyAt:end]
	checksum := binary.BigEndian.Uint64(rest[frameChecksumAt:])
	if rest[end] == endMark && checksum == recordChecksum(rest[:frameChecksumAt], body) {
		if err := Unmarshal(body, &record); err != nil {
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

// usedSize is the number of bytes up to the last one that is not zero.
func usedSize(data []byte) int64 {
	size := len(data)
	for size > 0 && data[size-1] == 0 {
		size--
	}
	return int64(size)
}
