package failover

import (
	"errors"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// Limits of plans and evidence. Decoding rejects messages that exceed them.
const (
	MaxZones   = 64
	MaxClasses = 32

	maxZoneName = 64  // bytes of a zone's name in evidence
	maxReason   = 400 // bytes of a plan's reason, and of a member's reason in evidence
)

// Errors of decoding. The errors that callers get wrap one of them and state what is invalid.
var (
	ErrInvalidEvidence = errors.New("invalid evidence")
	ErrInvalidPlan     = errors.New("invalid plan")
	ErrInvalidOrders   = errors.New("invalid operator orders")
)

// Evidence, plans and orders are encoded as canonical CBOR, with structs as arrays: the order of the fields is part of
// the encoding, their names are not.
var (
	encoding = must(cbor.EncOptions{Sort: cbor.SortCanonical, ShortestFloat: cbor.ShortestFloat16}.EncMode())
	decoding = must(cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 8192, MaxMapPairs: 256}.DecMode())
)

// must returns a value whose creation can't fail. The options are fixed and the types are plain, so an error would
// occur at each start or never.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// isValidLoad reports whether a decoded number is a valid load: finite and not negative.
func isValidLoad(load float32) bool { return load >= 0 && !math.IsInf(float64(load), 0) }
