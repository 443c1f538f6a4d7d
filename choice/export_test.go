package choice

import "testing"

// RunRandomScript exports runRandomScript to the tests in package choice_test.
func RunRandomScript(tb testing.TB, seed uint64, steps int) [][]Action {
	tb.Helper()
	return runRandomScript(tb, seed, steps)
}
