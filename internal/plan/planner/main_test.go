package planner

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests, so that two runs of the same source have the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		option := flag.Lookup(name)
		if option == nil || option.Value.String() != option.DefValue {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
