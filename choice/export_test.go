package choice

import "testing"

// RandomScript exports runRandomScript to the tests in package choice_test.
func RandomScript(tb testing.TB, seed uint64, steps int) [][]Action {
	tb.Helper()
	return runRandomScript(tb, seed, steps)
}
