package replay

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"spurwinch/deploy"
	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

// TestPlayWithLostZone replays a short load through real node processes, loses a zone during the load, and reads the
// nodes' captures. The result doesn't depend on the machine's speed: the test checks only that clients were served at
// all and what the captures contain.
func TestPlayWithLostZone(t *testing.T) {
	program := filepath.Join(t.TempDir(), "spurwinch")
	if out, err := exec.Command("go", "build", "-o", program, "spurwinch/cmd/spurwinch").CombinedOutput(); err != nil {
		t.Fatalf("build the program: %v\n%s", err, out)
	}
	description, err := fleet.Parse("f", deploy.ExampleFleet)
	if err != nil {
		t.Fatal(err)
	}
	description.Zones = description.Zones[:2]
	description.Delays = nil
	description.ServerPools = []fleet.ServerPool{
		{Kind: "std-2c", Zone: "cluj-1", Count: 3},
		{Kind: "slow-2c", Zone: "bucuresti-1", Count: 1},
	}
	description.NodePools = description.NodePools[:2]
	load := workload.Generate(description, workload.GeneratorOptions{Seed: 1, Length: 6 * time.Second, Concurrency: 12})
	for i := range load.Sessions {
		load.Sessions[i].Lifetime = max(load.Sessions[i].Lifetime, time.Second)
	}
	result, err := Play(context.Background(), description, load, Options{
		Program:  program,
		Dir:      t.TempDir(),
		Seed:     1,
		Capture:  true,
		LostZone: "bucuresti-1",
		LossTime: 3 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	if result.Stats.Established == 0 || result.Service == 0 || result.Service > 1 {
		t.Errorf("Play: got service %v and %+v, want established connections and a service above 0 and at most 1",
			result.Service, result.Stats)
	}
	captured, err := workload.ReadCaptures(result.Captures)
	if err != nil || len(result.Captures) != 2 {
		t.Fatalf("ReadCaptures: got captures %v, error %v, want 2 captures", result.Captures, err)
	}
	summary := captured.Summary()
	if summary.Requests == 0 || summary.Answers["up"] == 0 || summary.Nodes != 2 || len(summary.Servers) != 4 {
		t.Errorf("Summary of the captures: got %+v, want requests and answers \"up\", 2 nodes and 4 servers", summary)
	}
	if _, err := captured.Sessions(description, 1); err != nil {
		t.Error(err)
	}
}
