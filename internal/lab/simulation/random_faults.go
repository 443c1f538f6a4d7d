package simulation

import (
	"time"

	"spurwinch/internal/lab/faults"
)

const (
	randomFaultStart   = 6 * time.Second // no random fault begins before this time
	randomFaultTail    = 6 * time.Second // in this time before the end of the run, no random fault begins
	minFaultLength     = time.Second
	faultLengthSpread  = 5 * time.Second // mean of the random part of a fault's length
	minRandomFaults    = 2
	randomFaultSpread  = 7 // number of possible fault counts, from minRandomFaults up
	slowZoneLoadFactor = 2.5
	lossRate           = 0.3
	duplicateRate      = 0.4
	maxExtraDelay      = 5000 // ms
	maxRestartDelay    = 2000 // ms, when all nodes are killed
)

// randomFault is one fault with its start, its length and the targets that it may use.
type randomFault struct {
	world     *World
	at        time.Duration
	length    time.Duration
	node      *node
	zone      string
	otherZone string
	voter     *node
}

// randomFaults are the kinds of faults to draw from. A change of their order changes the schedule of each seed.
var randomFaults = [...]func(f *randomFault){
	(*randomFault).failZone,
	(*randomFault).silenceZone,
	(*randomFault).slowZone,
	(*randomFault).partition,
	(*randomFault).pauseNode,
	(*randomFault).pauseVoter,
	(*randomFault).killNode,
	(*randomFault).killVoter,
	(*randomFault).loseFiles,
	(*randomFault).loseMessages,
	(*randomFault).delayMessages,
	(*randomFault).breakLinks,
}

// scheduleRandomFaults draws faults from the world's random generator and schedules them.
func (w *World) scheduleRandomFaults() {
	span := float64(w.options.Length - randomFaultStart - randomFaultTail)
	for range minRandomFaults + w.rng.IntN(randomFaultSpread) {
		drawn := &randomFault{world: w}
		drawn.at = randomFaultStart + time.Duration(w.rng.Float64()*span)
		drawn.length = minFaultLength + time.Duration(w.rng.ExpFloat64()*float64(faultLengthSpread))
		drawn.node = w.nodes[w.rng.IntN(len(w.nodes))]
		drawn.zone = w.zones[w.rng.IntN(len(w.zones))]
		drawn.otherZone = w.zones[w.rng.IntN(len(w.zones))]
		voters := w.voters()
		drawn.voter = voters[w.rng.IntN(len(voters))]
		schedule := randomFaults[w.rng.IntN(len(randomFaults))]
		schedule(drawn)
	}
	if w.rng.IntN(4) == 0 {
		w.scheduleFault(w.options.Length/2, "all killed", w.restartAll)
	}
}

// restartAll kills all nodes. Each restarts with its files within maxRestartDelay.
func (w *World) restartAll() {
	for _, n := range w.nodes {
		n.restart(faults.FilesIntact, w.drawMilliseconds(0, maxRestartDelay))
	}
}

// end returns the time at which the fault ends.
func (f *randomFault) end() time.Duration { return f.at + f.length }

func (f *randomFault) failZone() {
	f.world.scheduleFault(f.at, "zone lost", func() { f.world.failZone(f.zone, refusing) })
	f.world.scheduleFault(f.end(), "zone back", func() { f.world.recoverZone(f.zone) })
}

func (f *randomFault) silenceZone() {
	f.world.scheduleFault(f.at, "zone silent", func() { f.world.failZone(f.zone, silent) })
	f.world.scheduleFault(f.end(), "zone back", func() { f.world.recoverZone(f.zone) })
}

func (f *randomFault) slowZone() {
	f.world.scheduleFault(f.at, "zone slow", func() { f.world.slowZone(f.zone, slowZoneLoadFactor) })
	f.world.scheduleFault(f.end(), "zone back", func() { f.world.recoverZone(f.zone) })
}

func (f *randomFault) partition() {
	f.world.scheduleFault(f.at, "split", func() {
		if f.world.rng.IntN(2) == 0 {
			f.world.partition(f.zone, f.otherZone)
		} else {
			f.world.partitionOneWay(f.zone, f.otherZone)
		}
	})
	f.world.scheduleFault(f.end(), "healed", func() { f.world.heal(f.zone, f.otherZone) })
}

func (f *randomFault) pauseNode() {
	f.world.scheduleNodeFault(f.at, "stall", f.node, func() { f.node.pause(f.length) })
}

func (f *randomFault) pauseVoter() {
	f.world.scheduleNodeFault(f.at, "voter stalled", f.voter, func() { f.voter.pause(f.length) })
}

func (f *randomFault) killNode() {
	f.world.scheduleNodeFault(f.at, "killed", f.node, func() { f.node.restart(faults.FilesIntact, f.length) })
}

func (f *randomFault) killVoter() {
	f.world.scheduleNodeFault(f.at, "voter killed", f.voter, func() { f.voter.restart(faults.FilesIntact, f.length) })
}

// loseFiles kills a node, which restarts without its files. It does not affect voters, because rule (3) of the checker
// holds only while a majority of the voters keeps its disks.
func (f *randomFault) loseFiles() {
	f.world.scheduleFault(f.at, "files lost", func() {
		if !f.node.isVoter() {
			f.node.restart(faults.FilesLost, f.length)
		}
	})
}

func (f *randomFault) loseMessages() {
	f.world.scheduleFault(f.at, "loss", func() { f.world.network.lossRate = lossRate })
	f.world.scheduleFault(f.end(), "no loss", func() { f.world.network.lossRate = f.world.options.Loss })
}

func (f *randomFault) delayMessages() {
	f.world.scheduleFault(f.at, "late and twice", func() {
		f.world.network.delayAndDuplicate(f.world.drawMilliseconds(0, maxExtraDelay), duplicateRate)
	})
	f.world.scheduleFault(f.end(), "in time again", func() { f.world.network.delayAndDuplicate(0, 0) })
}

func (f *randomFault) breakLinks() {
	f.world.scheduleNodeFault(f.at, "bad line", f.node, func() { f.node.breakLinks(f.world.rng.IntN(2) == 0) })
	f.world.scheduleNodeFault(f.end(), "line well", f.node, f.node.repairLinks)
}
