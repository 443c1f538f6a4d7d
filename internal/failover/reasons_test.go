package failover

import (
	"strings"
	"testing"
	"unicode/utf8"
)

// TestPlanReasonIsCutBetweenCharacters joins reasons with zone names that are not ASCII: a plan whose reason ends in
// the middle of a character can't be decoded by any node.
func TestPlanReasonIsCutBetweenCharacters(t *testing.T) {
	for padding := range utf8.UTFMax {
		reason := strings.Repeat("x", padding) + strings.Repeat("ș", 4096)
		plan := Plan{Zones: []Zone{{Name: "z"}}, Reason: joinReasons([]string{reason})}
		if !utf8.ValidString(plan.Reason) {
			t.Errorf("padding %d: the reason of %d bytes ends in the middle of a character", padding, len(plan.Reason))
		}
	}
}
