package consensus

import "github.com/fxamacker/cbor/v2"

var (
	// Canonical: replicas compare and digest encoded values, so equal values must have equal bytes on all of them.
	encoding = must(cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode())
	// The limits bound what a message of another node may make this one allocate.
	decoding = must(cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 4096, MaxMapPairs: 256}.DecMode())
)

// must is for calls that fail at each start of the program or at none.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// Encode gives the form in which values are persisted and sent: CBOR, the same bytes for the same value on all nodes.
// It panics on a type that CBOR cannot express.
func Encode(value any) []byte { return must(encoding.Marshal(value)) }

// Unmarshal decodes what Encode made into the value that is pointed to.
func Unmarshal(encoded []byte, value any) error { return decoding.Unmarshal(encoded, value) }
