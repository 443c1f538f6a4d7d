package agent

import (
	"errors"
	"strings"
	"testing"
	"unicode/utf8"

	"spurwinch/internal/policy"
)

// TestRejectionReasonIsTruncatedBetweenCharacters has a node reject a document with a reason that is too long to send.
// If the reason ended in the middle of a character, the aggregator could not decode the node's evidence.
func TestRejectionReasonIsTruncatedBetweenCharacters(t *testing.T) {
	for padding := range utf8.UTFMax {
		text := strings.Repeat("x", padding) + strings.Repeat("ș", maxReasonBytes)
		options := &Policy{Read: func([]byte) (*policy.Document, error) { return nil, errors.New(text) }}
		var local localPolicy
		local.check(options, &policy.Change{})
		if local.verdict != policy.VerdictReject {
			t.Errorf("verdict with padding %d: got %v, want a rejection", padding, local.verdict)
		}
		isWhole := utf8.ValidString(local.reason)
		if !isWhole || len(local.reason) > maxReasonBytes || !strings.HasPrefix(text, local.reason) {
			t.Errorf("reason with padding %d: got %q, want a prefix of whole characters", padding, local.reason)
		}
	}
}
