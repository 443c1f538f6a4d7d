package consensus

import "github.com/fxamacker/cbor/v2"

var (
	// The encoding is canonical because replicas compare and hash encoded values: equal values must have equal bytes on
	// all replicas.
	encoding = must(cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode())
	// The limits bound how much memory a message from another node can make this node allocate.
	decoding = must(cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 4096, MaxMapPairs: 256}.DecMode())
)

// must panics on an error. It is for calls that fail either at every start of the program or never.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// Encode encodes a value as CBOR, the form in which values are persisted and sent. Equal values have the same bytes on
// all nodes. It panics on a type that CBOR cannot express.
func Encode(value any) []byte { return must(encoding.Marshal(value)) }

// Decode decodes the output of Encode into value, which must be a pointer.
func Decode(encoded []byte, value any) error { return decoding.Unmarshal(encoded, value) }
