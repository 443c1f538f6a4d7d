package planner

import (
	"fmt"
	"math/rand/v2"
	"time"

	"spurwinch/deploy"
	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

// Trial is a small fleet with a load, drawn to check forecasts against what a replay does.
type Trial struct {
	Number      int
	What        string
	Fleet       *fleet.Fleet
	Concurrency float64
	Load        *workload.Load
	Lose        string
	LoseAt      time.Duration
}

var trialKinds = []string{"usual", "mostly slow", "group-heavy", "edition over its share", "lost centre"}

// TrialBase is what trials are drawn after where no fleet file is named: the example under deploy/.
func TrialBase() *fleet.Fleet {
	f, err := fleet.Parse("the built-in fleet", deploy.FleetEvening)
	if err != nil {
		panic(err) // a test reads it
	}
	return f
}

// DrawTrial draws trial number i of a seed. The first five are of one kind each, later ones of any.
func DrawTrial(base *fleet.Fleet, seed uint64, i int, length time.Duration) Trial {
	rng := rand.New(rand.NewPCG(seed, uint64(i)))
	t := Trial{Number: i, What: trialKinds[i%len(trialKinds)]}
	f := base.Clone()
	f.General.Name = fmt.Sprintf("trial %d", i)
	f.General.ConnectionsPerCore = 35 + 30*rng.Float64() // enough connections that chance doesn't hide what is wrong
	f.Centres = append([]fleet.Zone(nil), base.Centres[:min(len(base.Centres), 2+rng.IntN(2))]...)
	f.Delays = nil
	f.Classes = append([]fleet.Class(nil), base.Classes...)
	for k := range f.Classes {
		c := &f.Classes[k]
		c.Share *= 0.6 + 0.8*rng.Float64()
		c.Load *= 0.5 + 0.6*rng.Float64() // small fleets: no connection may fill a server
		c.LoadSpread *= 0.3 + 0.7*rng.Float64()
		c.Lifetime = fleet.Duration(float64(8*time.Second) * (0.7 + 0.8*rng.Float64()))
	}
	f.Editions = append([]fleet.Tenant(nil), base.Editions...)
	f.ServerPools, f.Nodes = nil, nil
	n := 5 + rng.IntN(5)
	slow := 0.2 + 0.4*rng.Float64()
	if t.What == "mostly slow" {
		slow = 0.55
	}
	place := func(kind string, count int) {
		for c := range f.Centres {
			k := count / len(f.Centres)
			if c < count%len(f.Centres) {
				k++
			}
			if k > 0 {
				f.ServerPools = append(f.ServerPools, fleet.ServerPool{Kind: kind, Zone: f.Centres[c].Name, Count: k})
			}
		}
	}
	few := int(float64(n)*slow + 0.5)
	place(f.MachineKinds[0].Name, n-few)
	if len(f.MachineKinds) > 1 {
		place(f.MachineKinds[1].Name, few)
	}
	for _, c := range f.Centres {
		f.Nodes = append(f.Nodes, fleet.NodePool{Zone: c.Name, Count: 1, Sockets: 1024})
	}
	switch t.What {
	case "group-heavy":
		f.Group.Cost, f.Group.Size = 2+2*rng.Float64(), 5+3*rng.Float64()
	case "edition over its share":
		f.Editions[rng.IntN(len(f.Editions))].Usage = 5
	case "lost centre":
		t.Lose, t.LoseAt = f.Centres[len(f.Centres)-1].Name, length/3
	}
	t.Fleet = f
	// Loads from easy to too much: a mean connection with its part of a group's cost.
	each := f.MeanLoad() * f.CoreLoad()
	if f.Group.Cost > 0 {
		each += f.Group.Cost * f.CoreLoad() / f.Group.Size * 1.5
	}
	t.Concurrency = f.Cores() * (0.45 + 0.6*rng.Float64()) / each
	f.Store.Rate = 4 * t.Concurrency / 8
	t.Load = workload.Draw(f, workload.Drawn{Seed: rng.Uint64(), Length: length, Standing: t.Concurrency})
	return t
}
