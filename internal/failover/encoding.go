package failover

import (
	"errors"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// Limits of what a plan or evidence may speak of. Decoding rejects more.
const (
	MaxZones   = 64
	MaxClasses = 32

	maxZoneName = 64  // bytes of a zone's name in evidence
	maxReason   = 400 // bytes of a plan's reason, and of a member's reason in evidence
)

// Errors of decoding. They are wrapped with what is wrong.
var (
	ErrInvalidEvidence = errors.New("invalid evidence")
	ErrInvalidPlan     = errors.New("invalid plan")
	ErrInvalidOrders   = errors.New("invalid operator orders")
)

// Evidence, plans and orders are encoded as canonical CBOR, their structs as arrays: the order of the fields is part of
// the form, their names are not.
var (
	encoding = must(cbor.EncOptions{Sort: cbor.SortCanonical, ShortestFloat: cbor.ShortestFloat16}.EncMode())
	decoding = must(cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 8192, MaxMapPairs: 256}.DecMode())
)

// must gives a value that can't fail to be there: options are fixed and types are plain, so an error would come at
// each start or at none.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// isLoad reports whether a decoded number can be a load.
func isLoad(load float32) bool { return load >= 0 && !math.IsInf(float64(load), 0) }
