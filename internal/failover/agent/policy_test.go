package agent

import (
	"errors"
	"strings"
	"testing"
	"unicode/utf8"

	"spurwinch/internal/policy"
)

// TestRejectionReasonIsCutBetweenCharacters has a node reject a document with a reason that is too long to send: the
// aggregator can't decode the node's evidence if the reason ends in the middle of a character.
func TestRejectionReasonIsCutBetweenCharacters(t *testing.T) {
	for padding := range utf8.UTFMax {
		text := strings.Repeat("x", padding) + strings.Repeat("ș", maxReasonBytes)
		options := &Policy{Read: func([]byte) (*policy.Document, error) { return nil, errors.New(text) }}
		var local localPolicy
		local.check(options, &policy.Change{})
		if local.verdict != policy.VerdictReject {
			t.Errorf("padding %d: verdict %v, want a rejection", padding, local.verdict)
		}
		isWhole := utf8.ValidString(local.reason)
		if !isWhole || len(local.reason) > maxReasonBytes || !strings.HasPrefix(text, local.reason) {
			t.Errorf("padding %d: reason %q, want the error's beginning in whole characters", padding, local.reason)
		}
	}
}
