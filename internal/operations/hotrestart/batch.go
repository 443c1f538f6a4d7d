package hotrestart

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"spurwinch/internal/loop"
)

const (
	// transferVersion is the version of the encoding of a batch and of its contents. Processes whose versions differ do
	// not transfer connections.
	transferVersion = 1
	// MaxBatchConnections is the maximum number of connections in a batch.
	MaxBatchConnections = 64

	// MaxLearnedBytes is the maximum size of a learned state: 202 bytes per server with a 64-byte ID, plus resumable
	// sessions.
	MaxLearnedBytes = 512 << 10

	// MaxListElements is the maximum number of elements of a list in a batch and in the state of a connection.
	MaxListElements = 128

	maxBatchBytes = 1 << 20
)

// TransferItem is one connection in a batch: its sockets and its encoded state.
type TransferItem struct {
	FDs  []int  // descriptors of its sockets
	Body []byte // encoded state of the connection
}

// encodedItem is the encoded form of a TransferItem. The descriptors are sent outside the encoded batch, in the order
// of the items.
type encodedItem struct {
	_       struct{} `cbor:",toarray"`
	Sockets int      // number of descriptors
	Body    []byte   // see TransferItem
}

var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: MaxListElements, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Decode decodes CBOR that another process sent. It bounds the memory that the input can make this process allocate.
func Decode(encoded []byte, into any) error { return decodeMode.Unmarshal(encoded, into) }

// encodeBatch encodes the connections of a batch. It returns the encoded batch and the descriptors to send with it.
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

// decodeBatch decodes a batch and assigns the descriptors received with it to its connections.
func decodeBatch(encoded []byte, descriptors []int) ([]TransferItem, error) {
	var batch []encodedItem
	if err := Decode(encoded, &batch); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidBatch, err)
	}
	if len(batch) > MaxBatchConnections {
		return nil, fmt.Errorf("%w: got %d connections, must have at most %d",
			ErrInvalidBatch, len(batch), MaxBatchConnections)
	}
	var items []TransferItem
	remaining := descriptors
	for _, item := range batch {
		if item.Sockets < 1 || item.Sockets > len(remaining) {
			return nil, fmt.Errorf("%w: a connection must have at least 1 of the remaining descriptors, got %d of %d",
				ErrInvalidBatch, item.Sockets, len(remaining))
		}
		items = append(items, TransferItem{FDs: remaining[:item.Sockets:item.Sockets], Body: item.Body})
		remaining = remaining[item.Sockets:]
	}
	if len(remaining) > 0 || len(items) == 0 {
		return nil, fmt.Errorf(
			"%w: must have connections and no unassigned descriptors, got %d connections and %d unassigned descriptors",
			ErrInvalidBatch, len(items), len(remaining))
	}
	for _, fd := range descriptors {
		if !loop.IsStreamSocket(fd) {
			return nil, fmt.Errorf("%w: a descriptor is not a stream socket", ErrInvalidBatch)
		}
	}
	return items, nil
}
