package faults

import (
	"fmt"
	"time"
)

const (
	randomStepTail   = 10 * time.Second // no random step begins in this last part of the run
	minRandomSpan    = time.Second
	minRandomLength  = time.Second
	meanRandomLength = 4 * time.Second // mean of the random part, which is added to minRandomLength
	randomDrop       = 0.3
	randomRepeat     = 0.3
	randomSpread     = 300 * time.Millisecond
)

// drawStep draws a random step from the seed. The history records the step, so that it can be copied into a scenario.
func (h *harness) drawStep(start, length time.Duration) Step {
	span := max(minRandomSpan, length-start-randomStepTail)
	at := start + time.Duration(h.rng.Float64()*float64(span))
	duration := minRandomLength + time.Duration(h.rng.ExpFloat64()*float64(meanRandomLength))
	step := Step{At: Duration(at), For: Duration(duration)}
	zone := h.zones[h.rng.IntN(len(h.zones))]
	otherZone := h.zones[h.rng.IntN(len(h.zones))]
	selector := fmt.Sprintf("node:%d", h.rng.IntN(len(h.nodes)))
	switch h.rng.IntN(8) {
	case 0:
		step.failZone(zone, FailureRefuses)
	case 1:
		step.failZone(zone, FailureSilent)
	case 2:
		step.failZone(zone, FailureSlow)
	case 3:
		step.Action = ActionKill
		step.Node = selector
		step.Files = FilesIntact
	case 4:
		step.Action = ActionPause
		step.Node = selector
	case 5:
		step.Action = ActionPause
		step.Node = "leader"
	case 6:
		step.Action = ActionCutLinks
		step.From = nodeGroup + zone
		step.To = nodeGroup + otherZone
		step.Both = h.rng.IntN(2) == 0
	case 7:
		step.Action = ActionImpairLinks
		step.From = anyParty
		step.To = anyParty
		step.Drop = randomDrop
		step.Spread = Duration(randomSpread)
		step.Repeat = randomRepeat
	}
	return step
}

// failZone turns the step into one that makes a zone fail.
func (s *Step) failZone(zone string, failure Failure) {
	s.Action = ActionFailZone
	s.Zone = zone
	s.Failure = failure
}
