package explore

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"spurwinch/internal/lab/faults"
)

// TestScenarios plays each hard case with a small fleet.
func TestScenarios(t *testing.T) {
	for _, s := range Scenarios {
		t.Run(s.Name, func(t *testing.T) {
			w, v, err := Play(Options{Seed: 1, Nodes: 12, Faults: s.Name})
			if err != nil {
				t.Fatal(err)
			}
			b, _ := json.Marshal(v.Figures)
			t.Logf("%s", b)
			for _, x := range v.Violations {
				t.Errorf("%s at %.2f s: %s", x.Rule, x.At, x.What)
			}
			if path := os.Getenv("HISTORY"); path != "" {
				f, _ := os.Create(fmt.Sprintf("%s-%s.jsonl", path, s.Name))
				faults.Write(f, w.events)
				f.Close()
			}
		})
	}
}
