package choice

import "testing"

// RandomScript has the tests outside the package play a random but legal caller.
func RandomScript(tb testing.TB, seed uint64, steps int) [][]Action {
	tb.Helper()
	return script(tb, seed, steps)
}
