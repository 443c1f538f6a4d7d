package choice

import "testing"

// RandomScript has the tests outside the package play a random but legal caller.
func RandomScript(t testing.TB, seed uint64, steps int) [][]Action {
	t.Helper()
	return script(t, seed, steps)
}
