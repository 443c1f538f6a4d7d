package hotrestart

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"spurwinch/internal/loop"
)

const (
	// transferForm is the version of a batch and of its contents. A process rejects batches of another one.
	transferForm = 1
	// MaxBatchConnections is the most connections of a batch.
	MaxBatchConnections = 64

	maxBatchBytes   = 1 << 20
	maxLearnedBytes = 512 << 10 // 202 bytes a server where ids have 64, and sessions that can be resumed
)

// TransferItem is one connection: its sockets, and what its process knows of it.
type TransferItem struct {
	FDs  []int
	Body []byte
}

// encodedItem is a TransferItem inside a batch. Its descriptors come beside the batch, in the order of the items.
type encodedItem struct {
	_       struct{} `cbor:",toarray"`
	Sockets int      // number of descriptors
	Body    []byte
}

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: MaxBatchConnections, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Decode decodes CBOR of another process. It bounds what that can make this one allocate.
func Decode(encoded []byte, into any) error { return decoding.Unmarshal(encoded, into) }

// encodeBatch returns a batch as it is sent, and the descriptors that go with it.
func encodeBatch(items []TransferItem) (encoded []byte, descriptors []int, err error) {
	var batch []encodedItem
	for _, item := range items {
		batch = append(batch, encodedItem{Sockets: len(item.FDs), Body: item.Body})
		descriptors = append(descriptors, item.FDs...)
	}
	encoded, err = cbor.Marshal(batch)
	if err != nil {
		return nil, nil, fmt.Errorf("encode batch: %w", err)
	}
	if len(encoded) > maxBatchBytes {
		return nil, nil, ErrBatchTooLarge
	}
	return encoded, descriptors, nil
}

// decodeBatch reads a batch and assigns the descriptors that came with it to its connections.
func decodeBatch(encoded []byte, descriptors []int) ([]TransferItem, error) {
	var batch []encodedItem
	if err := Decode(encoded, &batch); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidBatch, err)
	}
	var items []TransferItem
	left := descriptors
	for _, item := range batch {
		if item.Sockets < 1 || item.Sockets > len(left) {
			return nil, fmt.Errorf("%w: a connection of %d descriptors where %d are left",
				ErrInvalidBatch, item.Sockets, len(left))
		}
		items = append(items, TransferItem{FDs: left[:item.Sockets:item.Sockets], Body: item.Body})
		left = left[item.Sockets:]
	}
	if len(left) > 0 || len(items) == 0 {
		return nil, fmt.Errorf("%w: %d connections and %d descriptors too many", ErrInvalidBatch, len(items), len(left))
	}
	for _, fd := range descriptors {
		if !loop.IsStreamSocket(fd) {
			return nil, fmt.Errorf("%w: a descriptor is no stream socket", ErrInvalidBatch)
		}
	}
	return items, nil
}
