package choice

import (
	"math"
	"time"
)

// What observations tell of a server's load and cost. Where servers report, reports do; elsewhere told loads of connections,
// set-up times, slow messages, and connections that stand or are shed become values of the same kind. No decisions here.

const (
	serverKeep    = 0.9 // of a server's own cost at each report
	dropLoad      = 0.8 // load of a server that dropped one connection: it gets others only where there is no better one
	shedLoad      = 1.3 // load of a server that sheds connections or makes set-ups slow
	standingLoad  = 0.7 // most that is taken for a server of which nothing bad is seen: slower messages would show
	mostInferred  = 1.5 // as for reports: how far over its capacity a server is makes no difference
	restingLoad   = 0.5 // of the average server, while little or nothing is seen
	restingWeight = 3.0 // observations that this belief is worth
	estimatePrior = 4.0 // connections' worth of belief that a server bears the average
	loadSamples   = 50  // told loads that a mean remembers
	setUpSteps    = 20  // steps from nothing to the typical set-up time: the median is followed, outliers don't count
	slowSetUps    = 2   // times the typical set-up time that is still no sign of load
)

// observe takes a load report: the predicted load is anchored there, and costs learn.
func (b *Balancer) observe(s *server, report []float64) {
	load, held, piled, late := readReport(b.set.ReportFields, report)
	if math.IsNaN(load) {
		return
	}
	share := float64(b.set.Nodes) * s.told // nodes assumed to use the server alike
	if !math.IsNaN(held) {
		share, b.tellsHeld = held*b.unit, true // told outright
	}
	b.learnCost(s, load, share)
	if load += piled; !b.set.DelaysObserved {
		load = max(load, b.asLoad(late)) // where no notes come, reports alone tell of slow messages
	}
	b.learn(s, load)
}

// learnCost takes a load, and the fleet's told load that made it, as evidence of a server's cost and of its kind's.
func (b *Balancer) learnCost(s *server, load, held float64) {
	s.num, s.den, s.n = s.num*serverKeep+load, s.den*serverKeep+held, s.n*serverKeep+1
	k := s.kind
	k.num, k.den, k.n = k.num*costKeep+load, k.den*costKeep+held, k.n*costKeep+1
}

// meanLoad is the mean of the loads that connections of one class told.
type meanLoad struct{ mean, samples float64 }

func (m *meanLoad) add(load float64) {
	m.samples = min(m.samples+1, loadSamples)
	m.mean += (load - m.mean) / m.samples
}

// learnTold takes a told load as a sample of its class. Where nothing reports and requests bring no hint, told loads alone give
// the unit in which connections are counted: without this, a connection counts 1 until it tells its load and a small part of
// that afterwards. Where servers report, costs and what keepers lend are learned with the unit as it is.
func (b *Balancer) learnTold(class int, load float64) {
	if b.set.Reports != NoReports || b.hints > 0 || class < 0 || !(load > 0) || !finite(load) {
		return
	}
	if b.toldLoad.samples == 0 {
		b.rescale(load / b.unit)
	}
	b.toldLoad.add(load)
	b.unit = b.toldLoad.mean
	if class >= len(b.set.Classes) { // of a connection that another process had under other settings
		return
	}
	for len(b.classLoads) <= class {
		b.classLoads = append(b.classLoads, meanLoad{})
	}
	b.classLoads[class].add(load)
}

// rescale changes the unit of all loads that were counted before any was told.
func (b *Balancer) rescale(factor float64) {
	for _, r := range b.reqs {
		r.load *= factor
	}
	for _, s := range b.servers {
		s.told, s.toldAt, s.slow, s.lent, s.den = s.told*factor, s.toldAt*factor, s.slow*factor, s.lent*factor, s.den*factor
	}
	for _, k := range b.kinds {
		k.den *= factor
	}
	for group := range b.groups {
		b.groups[group] *= factor
	}
	for key := range b.inClass {
		b.inClass[key] *= factor
	}
}

// guessLoad is the load of a connection that brings no hint.
func (b *Balancer) guessLoad(class int) float64 {
	if class >= 0 && class < len(b.classLoads) && b.classLoads[class].samples > 0 {
		return b.classLoads[class].mean
	}
	return b.unit
}

// firstCost is the load of a mean connection before anything is learned: the tenants' shares, where told as
// connections, together are about what all servers bear.
func (b *Balancer) firstCost() float64 {
	shares := 0.0
	for _, t := range b.set.Tenants {
		shares += max(0, t.Connections)
	}
	if n := float64(len(b.servers)); b.set.InitialCost == 0 && shares > 0 && finite(shares) && n > 0 {
		return clamp(n/shares, firstCost/4, 0.5)
	}
	if b.toldLoad.samples > 0 && b.set.Sizes == NominalSize { // told in seconds of a core, and sizes are about in cores
		return min(b.unit, 0.5)
	}
	return b.first
}

// usualRate is what an even spread of this node's usual traffic brings to a server, in mean connections a second.
func (b *Balancer) usualRate(s *server) float64 {
	return max(b.recent/rateMemory.Seconds()*s.base/max(b.bases, s.base), 1e-9)
}

// unknown counts the first servers in the order of a request's group of which nothing was seen lately.
func (b *Balancer) unknown(r *request, n int) (count int) {
	first := lowest(b.servers, n, func(s *server) float64 {
		if !b.eligible(r, s) {
			return never
		}
		return -math.Log(b.chance(r, s))
	})
	for _, s := range first {
		if !s.known || b.now-s.reportAt > 2*tick {
			count++
		}
	}
	return count
}

// firstGroup is the load that a group is taken for before anything of it is seen.
func (b *Balancer) firstGroup() float64 {
	if b.set.Reports == NoReports {
		return groupShare
	}
	return groupShare / 2
}

// estimate is the load of a server as this node's own connections there suggest it. They are a sample of the fleet's: few tell
// little, so the estimate leans on the average (the mean of a Gamma prior after a Poisson count).
func (b *Balancer) estimate(s *server) float64 {
	average := clamp(b.avg, 0.1, 1)
	perConnection := s.cost * b.unit * float64(b.set.Nodes) / b.warm(s)
	return (estimatePrior + s.told/b.unit) / (estimatePrior/average + 1/perConnection)
}

// infer takes an observation for a report: a load over capacity as it was seen, and 0 as the sign that there was none. Costs
// learn from it what they would from reports.
func (b *Balancer) infer(s *server, seen float64) {
	estimated := b.estimate(s)
	load := min(estimated, standingLoad)
	if seen > 0 {
		load = min(max(seen, estimated), mostInferred)
	}
	b.learnCost(s, load, estimated/s.cost)
	b.learn(s, load)
}

// restAverage lets the average go back to a belief while nothing is seen: refusals bring no evidence, so a gate that was shut by
// an overload would stay shut for ever after it.
func (b *Balancer) restAverage() {
	age, ready := b.now-b.sumAt, 0.0
	for _, k := range b.kindList {
		ready += k.servers
	}
	weight := restingWeight * b.bases / max(ready, 1)
	if sum := fade(b.sumBase, age, rateMemory) + weight; sum > 0 {
		b.avg = (fade(b.sumLoad, age, rateMemory) + weight*restingLoad) / sum
	}
}

// inferStanding takes connections that stand for a sign that their servers bear them, unless these were seen overloaded a
// moment ago.
func (b *Balancer) inferStanding() {
	b.restAverage()
	for _, s := range b.servers {
		if s.State == Ready && s.told > 1e-9 && b.now >= s.overloadedAt+2*tick {
			b.infer(s, b.asLoad(s.messageTime))
		}
	}
}

// established takes in that a connection stands.
func (b *Balancer) established(r *request, took time.Duration) {
	if b.set.Reports == NoReports {
		b.throttle.add(b.now, 1, 1)
		b.inferSetUp(r.on, took)
	}
}

// shed takes in that a server dropped a connection that stood. One that is reset before it stands tells nothing of load.
func (b *Balancer) shed(s *server) {
	if b.set.Reports == NoReports {
		b.throttle.add(b.now, 0, -1)
		load := shedLoad
		if b.now >= s.overloadedAt+rateMemory || s.overloadedAt == 0 {
			load = dropLoad // a connection may break for other reasons: the next ones go elsewhere, if there is anywhere
		}
		s.overloadedAt = b.now
		b.infer(s, load)
	}
}

// inferSetUp takes the time that a connection took to be set up. Only a slow one tells something: set-ups may be quick at a
// server whose messages are late.
func (b *Balancer) inferSetUp(s *server, took time.Duration) {
	switch step := b.typicalSetUp / setUpSteps; {
	case b.typicalSetUp == 0:
		b.typicalSetUp = took
	case took > b.typicalSetUp:
		b.typicalSetUp += step
	default:
		b.typicalSetUp -= step
	}
	if load := b.asLoad(took - slowSetUps*b.typicalSetUp); load > 0 {
		s.overloadedAt = b.now
		b.infer(s, load)
	}
}

// asLoad is the load that a message's time tells: they slow down only near capacity. 0: not slow.
func (b *Balancer) asLoad(took time.Duration) float64 {
	if b.minAim == 0 || took <= b.minAim/3 {
		return 0
	}
	return min(0.7+0.4*took.Seconds()/b.minAim.Seconds(), mostInferred)
}
