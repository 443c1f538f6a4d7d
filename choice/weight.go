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
	maxWeightFraction = 3.0         // most weight, of the base: bounds what one good report can draw
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
	return clamp((load-average)/max(average, 0.05), -1, 3)
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

// weight is the server's weight for a request of the given load, against an average.
func (b *Balancer) weight(request *requestEntry, server *serverEntry, load, average float64) float64 {
	if request.affinity != 0 && !request.groupSpans {
		if b.predictedLoad(server)+server.cost*load > b.overflowLoad() {
			return minWeightFraction
		}
		return b.registeredSize(server) // learned sizes differ, and nodes must choose alike: by what all know
	}
	output := proportionalGain*relativeError(b.predictedLoad(server)+server.cost*load, average) + server.pid.correction
	fraction := b.capacityFraction(server)
	weight := server.baseWeight * fraction * clamp(1-weightGain*output, minWeightFraction, maxWeightFraction)
	if fraction < 1 && !b.reservations.enabled { // credit that the usual draws would let lapse is taken first
		weight *= clamp(1/(b.usualRate(server)*2*b.settings.Rules.OverloadTime.Seconds()), 1, 1000)
	}
	return weight
}
