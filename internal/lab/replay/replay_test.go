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

// TestReplay plays a short load through real node processes, loses a centre on the way, and reads the nodes' captures. No
// verdict hangs on how fast the machine is: only on who was served at all, and on what was written down.
func TestReplay(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "spurwinch")
	if out, err := exec.Command("go", "build", "-o", bin, "spurwinch/cmd/spurwinch").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	f, err := fleet.Parse("f", deploy.FleetEvening)
	if err != nil {
		t.Fatal(err)
	}
	f.Centres, f.Delays = f.Centres[:2], nil
	f.ServerPools = []fleet.ServerPool{{Kind: "std-2c", Zone: "cluj-1", Count: 3}, {Kind: "slow-2c", Zone: "bucuresti-1", Count: 1}}
	f.Nodes = f.Nodes[:2]
	l := workload.Draw(f, workload.Drawn{Seed: 1, Length: 6 * time.Second, Standing: 12})
	for i := range l.Sessions {
		l.Sessions[i].Lifetime = max(l.Sessions[i].Lifetime, time.Second)
	}
	r, err := Play(context.Background(), f, l, Options{Node: bin, Dir: t.TempDir(), Seed: 1, Capture: true, Lose: "bucuresti-1", LoseAt: 3 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if r.Stats.Established == 0 || r.Service == 0 || r.Service > 1 {
		t.Errorf("service %v, %+v", r.Service, r.Stats)
	}
	seen, err := workload.ReadCaptures(r.Captures)
	if err != nil || len(r.Captures) != 2 {
		t.Fatalf("captures %v: %v", r.Captures, err)
	}
	s := seen.Summary()
	if s.Requests == 0 || s.Answers["up"] == 0 || s.Nodes != 2 || len(s.Hosts) != 4 {
		t.Errorf("captured %+v", s)
	}
	if _, err := seen.Sessions(f, 1); err != nil {
		t.Error(err)
	}
}
