package simulation

import (
	"time"

	"spurwinch/internal/lab/faults"
)

// staleInterval is the time between two faults of the scenario policy-stale.
const staleInterval = 5 * time.Second

// staleRounds returns the number of faults of the scenario policy-stale. The last fault starts at least 14 s before the
// end of the run.
func staleRounds(length time.Duration) int {
	return int((length - 20*time.Second + staleInterval - 1) / staleInterval)
}

// PolicyScenarios are schedules of faults during policy changes, in a fleet without servers.
var PolicyScenarios = []Scenario{
	{
		Name:        "policy-calm",
		Description: "three operators change the policy concurrently, and no fault happens",
		Setup:       func(*World) {},
		Expected:    map[string]int{"policies": 2, "op taken": 2},
	},
	{
		Name:        "policy-crashes",
		Description: "a node may be killed at each step of a change, and restarts with its files",
		Setup:       func(world *World) { world.stepCrashRate = 0.03 },
		Expected:    map[string]int{"policies": 1, "crash": 3},
	},
	{
		Name:        "policy-leader-dies",
		Description: "the leader is killed or paused every 4 s",
		Setup: func(world *World) {
			for at := 6 * time.Second; at < world.options.Length-10*time.Second; at += 4 * time.Second {
				world.scheduleFault(at, "leader killed", func() {
					leader := world.leader()
					if world.rng.IntN(2) == 0 {
						leader.restart(faults.FilesIntact, world.drawMilliseconds(200, 2000))
					} else {
						leader.pause(world.drawMilliseconds(500, 6000))
					}
				})
			}
		},
		Expected: map[string]int{"policies": 1, "leads": 3},
	},
	{
		Name:        "policy-third-down",
		Description: "a third of the nodes is down during changes, and restarts with old files",
		Setup: func(world *World) {
			world.scheduleFault(5*time.Second, "third killed", func() {
				for i, n := range world.nodes {
					if i%3 == 2 && !n.isVoter() {
						n.restart(faults.FilesIntact, 18*time.Second+world.drawMilliseconds(0, 3000))
					}
				}
			})
		},
		Expected: map[string]int{"policies": 1, "crash": 2},
	},
	{
		Name:        "policy-stalls",
		Description: "nodes are paused before changes and resume long after them, with requests in their queues",
		Setup: func(world *World) {
			for at := 5 * time.Second; at < world.options.Length-16*time.Second; at += 2 * time.Second {
				world.scheduleFault(at, "stall", func() {
					n := world.nodes[world.rng.IntN(len(world.nodes))]
					n.pause(world.drawMilliseconds(2000, 12000))
				})
			}
		},
		Expected: map[string]int{"policies": 2},
	},
	{
		Name:        "policy-cut-off",
		Description: "nodes are isolated from all others, and still receive requests",
		Setup: func(world *World) {
			for at := 5 * time.Second; at < world.options.Length-16*time.Second; at += 3 * time.Second {
				n := world.nodes[world.rng.IntN(len(world.nodes))]
				world.scheduleNodeFault(at, "cut off", n, func() { n.isolated = true })
				end := at + world.drawMilliseconds(2000, 10000)
				world.scheduleNodeFault(end, "well", n, func() { n.isolated = false })
			}
		},
		Expected: map[string]int{"policies": 1},
	},
	{
		Name:        "policy-stale",
		Description: "the leader is paused with calls in its queue, or a voter is isolated from all but operators",
		Setup: func(world *World) {
			world.minCallTimeout = 6 * time.Second
			world.addOperators(4) // these four query the status at every stage of a change
			for _, o := range world.operators[3:] {
				o.readOnly = true
			}
			for i := range staleRounds(world.options.Length) {
				at := 6*time.Second + time.Duration(i)*staleInterval
				world.scheduleFault(at, "voter out of touch", func() {
					if i%2 == 0 {
						world.leader().pause(3 * time.Second)
						return
					}
					n := world.voters()[world.rng.IntN(len(world.voters()))]
					n.isolated = true
					n.reachableByOperators = true
					world.schedule(world.now+3*time.Second, func() {
						n.isolated = false
						n.reachableByOperators = false
					})
				})
			}
		},
		Expected: map[string]int{"policies": 1, "leads": 2},
	},
	{
		Name:        "policy-all-lost",
		Description: "every message is lost for 6 s",
		Setup: func(world *World) {
			world.scheduleFault(9*time.Second, "all lost", func() { world.network.lossRate = 1 })
			world.scheduleFault(15*time.Second, "no more", func() { world.network.lossRate = world.options.Loss })
		},
		Expected: map[string]int{"policies": 1},
	},
	{
		Name:        "policy-late",
		Description: "messages are delayed by 2 s and duplicated",
		Setup: func(world *World) {
			end := world.options.Length - 14*time.Second
			world.scheduleFault(6*time.Second, "late and twice", func() {
				world.network.delayAndDuplicate(2*time.Second, 0.4)
			})
			world.scheduleFault(end, "in time again", func() { world.network.delayAndDuplicate(0, 0) })
		},
		Expected: map[string]int{"fault": 1},
	},
	{
		Name:        "policy-joins",
		Description: "nodes start without files while other nodes check a policy change",
		Setup: func(world *World) {
			for i, n := range world.nodes {
				if i%4 == 3 && !n.isVoter() {
					world.scheduleFault(time.Second, "not there yet", n.crash)
					world.schedule(world.drawMilliseconds(5000, 12000), func() { n.restart(faults.FilesLost, 0) })
				}
			}
		},
		Expected: map[string]int{"policies": 1},
	},
	{
		Name:        "policy-older",
		Description: "one node in five runs an older version that doesn't know a key of the policy document",
		Setup: func(world *World) {
			world.hasOlderNodes = true
			for i, n := range world.nodes {
				n.olderVersion = i%5 == 4
			}
		},
		Expected: map[string]int{"policies": 1, "change given up": 1},
	},
	{
		Name:        "policy-disk-full",
		Description: "the disks of a node and of a voter are full for 8 s",
		Setup: func(world *World) {
			world.scheduleFault(6*time.Second, "disks full", func() {
				voters := world.voters()
				voter := voters[world.rng.IntN(len(voters))]
				for _, n := range []*node{voter, world.nodes[len(world.nodes)-1]} {
					n.diskFull = true
					world.schedule(world.now+8*time.Second, func() { n.diskFull = false })
				}
			})
		},
		Expected: map[string]int{"policies": 1},
	},
	{
		Name:        "policy-all-killed",
		Description: "all nodes are killed at once and restart",
		Setup: func(world *World) {
			world.scheduleFault(14*time.Second, "all killed", world.restartAll)
		},
		Expected: map[string]int{"policies": 1, "crash": 5},
	},
	{
		Name:        "policy-drawn",
		Description: "faults are drawn by seed, and nodes may crash at each step of a change",
		Setup: func(world *World) {
			world.stepCrashRate = []float64{0, 0.005, 0.02}[world.rng.IntN(3)]
			world.scheduleRandomFaults()
		},
		Expected: map[string]int{"fault": 1},
	},
}
