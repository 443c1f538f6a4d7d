package failover

import (
	"strings"
	"testing"
	"unicode/utf8"
)

// TestPlanReasonIsCutBetweenCharacters checks that a long reason with non-ASCII zone names is cut between characters.
// No node can decode a plan whose reason ends in the middle of a character.
func TestPlanReasonIsCutBetweenCharacters(t *testing.T) {
	for padding := range utf8.UTFMax {
		reason := strings.Repeat("x", padding) + strings.Repeat("ș", 4096)
		plan := Plan{Zones: []Zone{{Name: "z"}}, Reason: joinReasons([]string{reason})}
		if !utf8.ValidString(plan.Reason) {
			t.Errorf("joinReasons, padding %d: got %d bytes that end in the middle of a character, want valid UTF-8",
				padding, len(plan.Reason))
		}
	}
}
