package choice

import "time"

// Weights of the draw (the paper, section 3, "Dynamic load balancing via PID controller"): each server has a base
// weight by its cost, which a controller raises where the predicted load is below the fleet's average.

const (
	// The paper's kP, kI and kD (section 3), here on the relative error.
	proportionalGain = 0.6
	integralGain     = 0.5
	derivativeGain   = 0.125

	tick              = time.Second // step of the controllers: a placement needs about that long to show in a report
	integralMemory    = 0.9         // of the integral, at each step
	integralLimit     = 0.08        // most that the integral may have, of the controller's output: anti-windup
	weightGain        = 5.0         // controller output to weight: the base weight is lost a third above average
	minWeightFraction = 0.02        // least weight, of the base: a server is never quite forgotten
	maxWeightFraction = 3.0         // most weight, of the base: bounds the effect of one report of low load

	// Bounds of a relative error: a low average must not make a small difference a large error.
	minErrorAverage  = 0.05
	minRelativeError = -1.0
	maxRelativeError = 3.0

	// maxSlowStartBoost is the most that the weight of a server in slow start is multiplied by.
	maxSlowStartBoost = 1000
)

// pidState is the controller of one server. The paper's err_sum is integral, its prev_err is previousError.
type pidState struct {
	integral      float64
	previousError float64
	correction    float64 // integral and derivative part of the output, set at each step
}

// update is one step. The proportional part of the output is taken anew for each draw.
func (p *pidState) update(proportional float64) {
	integral := p.integral*integralMemory + integralGain*proportional*tick.Seconds()*(1-integralMemory)
	p.integral = clamp(integral, -integralLimit, integralLimit)
	p.correction = p.integral + derivativeGain*(p.previousError-proportional)*tick.Seconds()
	p.previousError = proportional
}

// relativeError is how far a load is over the average, as a part of that.
func relativeError(load, average float64) float64 {
	return clamp((load-average)/max(average, minErrorAverage), minRelativeError, maxRelativeError)
}

// updateControllers is the step that comes once a tick: costs, admission, and the controller of each server.
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

// weight is a server's weight in the draw for a request of the given load: the base weight, corrected by the controller
// for the predicted load against an average. For a group that is on one server it is the registered size, and next to
// nothing once that server is over overflowLoad.
func (b *Balancer) weight(request *requestEntry, server *serverEntry, load, average float64) float64 {
	if request.affinity != 0 && !request.groupSpans {
		if b.predictedLoad(server)+server.cost*load > b.overflowLoad() {
			return minWeightFraction
		}
		return b.registeredSize(server) // all nodes must choose alike, and learned sizes differ between them
	}
	output := proportionalGain*relativeError(b.predictedLoad(server)+server.cost*load, average) + server.pid.correction
	fraction := b.capacityFraction(server)
	weight := server.baseWeight * fraction * clamp(1-weightGain*output, minWeightFraction, maxWeightFraction)
	if fraction < 1 && !b.reservations.enabled { // preferred, where tokens would lapse before the next usual draw
		window := b.settings.Rules.OverloadTime.Seconds()
		weight *= clamp(1/(b.usualRate(server)*tokenWindows*window), 1, maxSlowStartBoost)
	}
	return weight
}
