package choice

import "time"

// Weights of the draw (the paper, section 3, "Dynamic load balancing via PID controller"). Each server has a base
// weight that depends on its cost. A controller increases the weight if the predicted load is below the fleet's
// average, and decreases it if the load is above.

const (
	// The paper's kP, kI and kD (section 3), here applied to the relative error.
	proportionalGain = 0.6
	integralGain     = 0.5
	derivativeGain   = 0.125

	tick              = time.Second // controller interval: about the time until a placement shows in a report
	integralMemory    = 0.9         // decay factor of the integral, per tick
	integralLimit     = 0.08        // limit of the integral's part of the controller output (anti-windup)
	weightGain        = 5.0         // output to weight: the weight is at its minimum from a third above average load
	minWeightFraction = 0.02        // minimum weight as a fraction of the base weight, so that any server may be drawn
	maxWeightFraction = 3.0         // maximum weight as a multiple of the base: limits the effect of one low report

	// Bounds of the relative error, so that a small difference from a low average does not become a large error.
	minErrorAverage  = 0.05
	minRelativeError = -1.0
	maxRelativeError = 3.0

	// maxSlowStartBoost is the maximum factor by which the weight of a server in slow start is multiplied.
	maxSlowStartBoost = 1000
)

// pidState is the PID controller of one server. The paper calls integral err_sum and previousError prev_err.
type pidState struct {
	integral      float64
	previousError float64
	correction    float64 // integral and derivative parts of the output, set at each tick
}

// update runs one step of the controller. The proportional part of the output is computed at each draw instead.
func (p *pidState) update(proportional float64) {
	integral := p.integral*integralMemory + integralGain*proportional*tick.Seconds()*(1-integralMemory)
	p.integral = clamp(integral, -integralLimit, integralLimit)
	p.correction = p.integral + derivativeGain*(p.previousError-proportional)*tick.Seconds()
	p.previousError = proportional
}

// relativeError returns the excess of a load over the average, as a fraction of the average. It is negative for a load
// below the average.
func relativeError(load, average float64) float64 {
	return clamp((load-average)/max(average, minErrorAverage), minRelativeError, maxRelativeError)
}

// updateControllers is called at each tick. It updates the costs, admission control and each server's PID controller.
func (b *Balancer) updateControllers() {
	if b.settings.Reports == NoReports {
		b.inferFromOpenConnections()
	}
	b.updateCosts()
	b.updatePassRate()
	for _, server := range b.servers {
		server.pid.update(proportionalGain * relativeError(b.predictedLoad(server), b.average.load))
		b.checkOwnConnections(server)
	}
}

// weight returns a server's weight in the draw for a request of the given load. It is the base weight, corrected by the
// controller for the difference between the predicted load and the given average. For a group on a single server, the
// weight is the server's registered size, or minWeightFraction once the server is above overflowLoad.
func (b *Balancer) weight(request *requestEntry, server *serverEntry, load, average float64) float64 {
	if request.affinity != 0 && !request.groupIsSpread {
		if b.predictedLoad(server)+server.cost*load > b.overflowLoad() {
			return minWeightFraction
		}
		return b.registeredSize(server) // all nodes must choose the same server, and learned sizes differ by node
	}
	output := proportionalGain*relativeError(b.predictedLoad(server)+server.cost*load, average) + server.pid.correction
	fraction := b.capacityFraction(server)
	weight := server.baseWeight * fraction * clamp(1-weightGain*output, minWeightFraction, maxWeightFraction)
	if fraction < 1 && !b.reservations.enabled { // prefer it if its tokens would expire before it is usually drawn
		window := b.settings.Rules.OverloadTime.Seconds()
		weight *= clamp(1/(b.usualRate(server)*tokenWindows*window), 1, maxSlowStartBoost)
	}
	return weight
}
