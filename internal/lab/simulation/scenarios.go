package simulation

import (
	"time"

	"spurwinch/internal/lab/faults"
)

// Scenarios are schedules of faults in a fleet with servers and clients.
var Scenarios = []Scenario{
	{
		Name:        "calm",
		Description: "no fault",
		Setup:       func(*World) {},
		Expected:    map[string]int{"plans": 1, "mode": 1},
	},
	{
		Name:        "zone-lost",
		Description: "all servers of a zone refuse connections from 12 s to 30 s",
		Setup: func(world *World) {
			world.scheduleFault(12*time.Second, "zone lost", func() { world.failZone("z1", refusing) })
			world.scheduleFault(30*time.Second, "zone back", func() { world.recoverZone("z1") })
		},
		Expected: map[string]int{"zone lost": 1},
	},
	{
		Name:        "zone-silent",
		Description: "the servers of a zone stop answering",
		Setup: func(world *World) {
			world.scheduleFault(12*time.Second, "zone silent", func() { world.failZone("z1", silent) })
		},
		Expected: map[string]int{"zone lost": 1},
	},
	{
		Name:        "zone-slow",
		Description: "all servers of a zone report three times their load",
		Setup: func(world *World) {
			world.scheduleFault(12*time.Second, "zone slow", func() { world.slowZone("z1", 3) })
		},
		Expected: map[string]int{"plans": 2},
	},
	{
		Name:        "one-way",
		Description: "messages from the nodes of one zone to the nodes of another are lost, and a third zone fails",
		Setup: func(world *World) {
			world.scheduleFault(10*time.Second, "one way cut", func() { world.partitionOneWay("z0", "z1") })
			world.scheduleFault(12*time.Second, "zone lost", func() { world.failZone("z2", refusing) })
		},
		Expected: map[string]int{"zone lost": 1},
	},
	{
		Name:        "bad-link",
		Description: "one node's links to nodes and servers are broken",
		Setup: func(world *World) {
			n := world.nodes[len(world.nodes)-1]
			world.scheduleNodeFault(10*time.Second, "bad line", n, func() { n.breakLinks(true) })
			world.scheduleNodeFault(25*time.Second, "line well", n, func() { n.repairLinks() })
		},
		Expected: map[string]int{"plans": 1},
	},
	{
		Name:        "leader-stopped",
		Description: "the leader is paused for 5 s while a zone is lost",
		Setup: func(world *World) {
			world.scheduleFault(12*time.Second, "leader stopped", func() {
				world.leader().pause(5 * time.Second)
			})
			world.scheduleFault(12*time.Second, "zone lost", func() { world.failZone("z1", refusing) })
		},
		Expected: map[string]int{"leads": 2, "zone lost": 1},
	},
	{
		Name:        "voters-killed",
		Description: "two of three voters are killed, then a zone is lost",
		Setup: func(world *World) {
			world.scheduleFault(12*time.Second, "voters killed", func() {
				for _, n := range world.voters()[:2] {
					n.restart(faults.FilesIntact, 12*time.Second)
				}
			})
			world.scheduleFault(16*time.Second, "zone lost", func() { world.failZone("z1", refusing) })
		},
		Expected: map[string]int{"crash": 2, "leads": 2, "mode": 10},
	},
	{
		Name:        "all-voters-killed",
		Description: "every voter is killed and stays down",
		Setup: func(world *World) {
			world.scheduleFault(12*time.Second, "voters killed", func() {
				for _, n := range world.voters() {
					n.crash()
				}
			})
		},
		Expected: map[string]int{"crash": 3},
	},
	{
		Name:        "split",
		Description: "a zone's nodes are partitioned from all others, and another zone's servers fail",
		Setup: func(world *World) {
			world.scheduleFault(12*time.Second, "split", func() { world.isolateZone("z1") })
			world.scheduleFault(16*time.Second, "zone lost", func() { world.failZone("z0", refusing) })
			world.scheduleFault(28*time.Second, "healed", func() { clear(world.network.partitions) })
		},
		Expected: map[string]int{"plans": 2},
	},
	{
		Name:        "second-zone",
		Description: "a second zone fails while the first recovers",
		Setup: func(world *World) {
			world.scheduleFault(10*time.Second, "zone lost", func() { world.failZone("z1", refusing) })
			world.scheduleFault(16*time.Second, "zone back", func() { world.recoverZone("z1") })
			world.scheduleFault(28*time.Second, "second zone lost", func() { world.failZone("z0", refusing) })
		},
		Expected: map[string]int{"zone lost": 2},
	},
	{
		Name:        "flap",
		Description: "a zone fails or recovers every 3 s",
		Setup: func(world *World) {
			for at := 10 * time.Second; at < 60*time.Second; at += 6 * time.Second {
				world.scheduleFault(at, "zone lost", func() { world.failZone("z1", refusing) })
				world.scheduleFault(at+3*time.Second, "zone back", func() { world.recoverZone("z1") })
			}
		},
		Expected: map[string]int{"zone lost": 1},
	},
	{
		Name:        "region-lost",
		Description: "a region fails, and the others have capacity for only half of its clients",
		Setup: func(world *World) {
			world.scheduleFault(14*time.Second, "region lost", func() {
				for _, z := range world.zones {
					if world.list.Region(z) == world.list.Region("z1") {
						world.failZone(z, refusing)
					}
				}
			})
		},
		Expected:  map[string]int{"zone lost": 1},
		Configure: func(o *Options) { o.Utilization = 0.7 },
	},
	{
		Name:        "disk-cut",
		Description: "a voter's disk is lost, then the leader is killed",
		Setup: func(world *World) {
			world.scheduleFault(10*time.Second, "disk lost", func() {
				for _, n := range world.voters() {
					if n != world.leader() {
						n.restart(faults.FilesLost, 2*time.Second)
						break
					}
				}
			})
			world.scheduleFault(22*time.Second, "leader killed", func() {
				world.leader().restart(faults.FilesIntact, 8*time.Second)
			})
			world.scheduleFault(26*time.Second, "zone lost", func() { world.failZone("z1", refusing) })
		},
		Expected: map[string]int{"crash": 2, "leads": 2},
	},
	{
		Name:        "late",
		Description: "messages are delayed by 5 s and duplicated, and a zone is lost",
		Setup: func(world *World) {
			world.scheduleFault(10*time.Second, "late and twice", func() {
				world.network.delayAndDuplicate(5*time.Second, 0.5)
			})
			world.scheduleFault(14*time.Second, "zone lost", func() { world.failZone("z1", refusing) })
			world.scheduleFault(26*time.Second, "in time again", func() { world.network.delayAndDuplicate(0, 0) })
		},
		Expected: map[string]int{"plans": 1},
	},
	{
		Name:        "disk-full",
		Description: "the leader's disk is full for 8 s",
		Setup: func(world *World) {
			world.scheduleFault(12*time.Second, "disk full", func() {
				n := world.leader()
				n.diskFull = true
				world.schedule(world.now+8*time.Second, func() { n.diskFull = false })
			})
			world.scheduleFault(12*time.Second, "zone lost", func() { world.failZone("z1", refusing) })
		},
		Expected: map[string]int{"leads": 1, "zone lost": 1},
	},
	{
		Name:        "long-split",
		Description: "a zone's nodes are partitioned from all others for longer than grants last",
		Setup: func(world *World) {
			world.scheduleFault(12*time.Second, "split", func() { world.isolateZone("z1") })
			world.scheduleFault(16*time.Second, "zone lost", func() { world.failZone("z0", refusing) })
			world.scheduleFault(62*time.Second, "healed", func() { clear(world.network.partitions) })
		},
		Expected:  map[string]int{"plans": 2},
		Configure: func(o *Options) { o.Length = max(o.Length, 75*time.Second) },
	},
	{
		Name:        "hears-nobody",
		Description: "one node receives no messages but can send, so it reports all other nodes as failed",
		Setup: func(world *World) {
			n := world.nodes[len(world.nodes)-1]
			world.scheduleNodeFault(8*time.Second, "hears nobody", n, func() { n.receivesNothing = true })
		},
		Expected: map[string]int{"plans": 1},
	},
	{
		Name:        "all-look-lost",
		Description: "no node reaches any server for 10 s, so every zone looks lost and no other zone is left",
		Setup: func(world *World) {
			world.scheduleFault(12*time.Second, "lines cut", func() {
				for _, n := range world.nodes {
					n.serversUnreachable = true
				}
			})
			world.scheduleFault(22*time.Second, "lines well", func() {
				for _, n := range world.nodes {
					n.serversUnreachable = false
				}
			})
		},
		Expected:  map[string]int{"plans": 1},
		Configure: func(o *Options) { o.Length = max(o.Length, 45*time.Second) },
	},
	{
		Name:        "slow-flap",
		Description: "a zone fails for 6 s every 20 s",
		Setup: func(world *World) {
			for at := 10 * time.Second; at < world.options.Length; at += 20 * time.Second {
				world.scheduleFault(at, "zone lost", func() { world.failZone("z1", refusing) })
				world.scheduleFault(at+6*time.Second, "zone back", func() { world.recoverZone("z1") })
			}
		},
		Expected:  map[string]int{"zone lost": 1, "zone returning": 1},
		Configure: func(o *Options) { o.Length = max(o.Length, 90*time.Second) },
	},
	{
		Name:        "half-dead",
		Description: "a zone's servers answer health checks, but requests fail or get no answer",
		Setup: func(world *World) {
			world.scheduleFault(12*time.Second, "zone half dead", func() {
				for i, s := range world.serversOf("z1") {
					if i%2 == 0 {
						s.fail(world, failing)
					} else {
						s.fail(world, unresponsive)
					}
				}
			})
		},
		Expected: map[string]int{"plans": 1},
	},
	{
		Name:        "slow-disks",
		Description: "disk writes take a second longer, except at voters, and nodes are killed while they write",
		Setup: func(world *World) {
			world.scheduleFault(8*time.Second, "disks slow", func() {
				for _, n := range world.nodes {
					if !n.isVoter() {
						n.diskDelay = time.Second
					}
				}
			})
			world.scheduleFault(12*time.Second, "zone lost", func() { world.failZone("z1", refusing) })
			for i := range 12 {
				world.scheduleFault(12*time.Second+time.Duration(i)*700*time.Millisecond, "killed", func() {
					for j, n := range world.nodes {
						if !n.isVoter() && j%12 == i {
							n.restart(faults.FilesIntact, time.Second/2)
						}
					}
				})
			}
		},
		Expected: map[string]int{"crash": 4, "plans": 2},
	},
	{
		Name:        "drawn",
		Description: "up to eight faults of all kinds, drawn by seed",
		Setup:       (*World).scheduleRandomFaults,
		Expected:    map[string]int{"fault": 2},
	},
}
