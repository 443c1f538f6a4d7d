package policy

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Canary selects the members that apply a change before all others, and sets how long their rejections are compared
// with those of the others. The zero value means no canary: the change is committed once all live members have
// acknowledged it.
type Canary struct {
	_                  struct{} `cbor:",toarray"`
	Zone               string   `json:"Zone"`    // selects all nodes of a zone; empty: OneIn
	OneIn              int      `json:"OneIn"`   // selects the nodes whose list number is a multiple of it; 0: Zone
	Seconds            float64  `json:"Seconds"` // length of the observation
	MaxExtraRejections float64  `json:"Worse"`   // by how much its rejected fraction may exceed the others'
}

// Bounds of a canary.
const (
	minCanaryOneIn   = 2
	maxCanaryOneIn   = 1000
	minCanarySeconds = 1
	maxCanarySeconds = 3600
)

// isNone reports whether the change has no canary.
func (c Canary) isNone() bool { return c == Canary{} }

// Includes reports whether a node belongs to the canary. number is the node's number in the list of nodes.
func (c Canary) Includes(number int, zone string) bool {
	inZone := c.Zone != "" && zone == c.Zone
	return inZone || c.OneIn > 0 && number%c.OneIn == 0
}

func (c Canary) duration() time.Duration { return time.Duration(c.Seconds * float64(time.Second)) }

// check returns an *InvalidProposalError if the canary is invalid.
func (c Canary) check() error {
	if c.isNone() {
		return nil
	}
	bothOrNeitherSet := (c.Zone == "") == (c.OneIn == 0)
	validOneIn := c.OneIn == 0 || c.OneIn >= minCanaryOneIn && c.OneIn <= maxCanaryOneIn
	validDuration := c.Seconds >= minCanarySeconds && c.Seconds <= maxCanarySeconds // false for NaN
	switch {
	case bothOrNeitherSet || !validOneIn:
		return &InvalidProposalError{Problem: "a part must be either a zone, or one node in 2 to 1000"}
	case !validDuration:
		return &InvalidProposalError{Problem: fmt.Sprintf("a trial of %v s: must be between 1 and 3600 s", c.Seconds)}
	case !isFraction(c.MaxExtraRejections):
		return &InvalidProposalError{
			Problem: fmt.Sprintf("worse by %v: must be a fraction between 0 and 1", c.MaxExtraRejections),
		}
	}
	return nil
}

// ParseCanary parses an operator's selection of the canary's members: "zone:NAME", or "1/N" for one node in N.
func ParseCanary(text string) (Canary, error) {
	if zone, ok := strings.CutPrefix(text, "zone:"); ok && zone != "" {
		return Canary{Zone: zone}, nil
	}
	if digits, ok := strings.CutPrefix(text, "1/"); ok {
		if oneIn, err := strconv.Atoi(digits); err == nil && oneIn >= minCanaryOneIn {
			return Canary{OneIn: oneIn}, nil
		}
	}
	return Canary{}, &InvalidProposalError{Problem: fmt.Sprintf("a part %q: must be zone:NAME or 1/N", text)}
}
