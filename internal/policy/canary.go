package policy

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Canary is the part of the fleet that serves by a change before all others do, and for how long its rejections are
// compared with the others'. The zero value is no canary: the change is committed once it was acknowledged.
type Canary struct {
	_                  struct{} `cbor:",toarray"`
	Zone               string   `json:"Zone"`    // all nodes of a zone; empty: OneIn
	OneIn              int      `json:"OneIn"`   // the nodes whose number in the list is a multiple of it; 0: Zone
	Seconds            float64  `json:"Seconds"` // how long it is observed
	MaxExtraRejections float64  `json:"Worse"`   // fraction of requests that may be rejected beyond that elsewhere
}

// Bounds of a canary.
const (
	minCanaryOneIn   = 2
	maxCanaryOneIn   = 1000
	minCanarySeconds = 1
	maxCanarySeconds = 3600
)

// isNone says whether there is no canary.
func (c Canary) isNone() bool { return c == Canary{} }

// Includes says whether a node is one of the canary. number is the node's in the list of nodes.
func (c Canary) Includes(number int, zone string) bool {
	inZone := c.Zone != "" && zone == c.Zone
	return inZone || c.OneIn > 0 && number%c.OneIn == 0
}

func (c Canary) duration() time.Duration { return time.Duration(c.Seconds * float64(time.Second)) }

func (c Canary) check() error {
	if c.isNone() {
		return nil
	}
	bothOrNeither := (c.Zone == "") == (c.OneIn == 0)
	oneInPossible := c.OneIn == 0 || c.OneIn >= minCanaryOneIn && c.OneIn <= maxCanaryOneIn
	validTime := c.Seconds >= minCanarySeconds && c.Seconds <= maxCanarySeconds // false for NaN
	switch {
	case bothOrNeither || !oneInPossible:
		return &InvalidProposalError{Problem: "a part is a zone, or one node in 2 to 1000"}
	case !validTime:
		return &InvalidProposalError{Problem: fmt.Sprintf("a trial of %v s: 1 to 3600 are possible", c.Seconds)}
	case !isFraction(c.MaxExtraRejections):
		return &InvalidProposalError{
			Problem: fmt.Sprintf("worse by %v: a part from 0 to 1 is wanted", c.MaxExtraRejections),
		}
	}
	return nil
}

// ParseCanary reads the operators' form of a canary's members: "zone:NAME", or "1/N" for one node in N.
func ParseCanary(text string) (Canary, error) {
	if zone, ok := strings.CutPrefix(text, "zone:"); ok && zone != "" {
		return Canary{Zone: zone}, nil
	}
	if digits, ok := strings.CutPrefix(text, "1/"); ok {
		if oneIn, err := strconv.Atoi(digits); err == nil && oneIn >= minCanaryOneIn {
			return Canary{OneIn: oneIn}, nil
		}
	}
	return Canary{}, &InvalidProposalError{Problem: fmt.Sprintf("a part %q: zone:NAME or 1/N is wanted", text)}
}
