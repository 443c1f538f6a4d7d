// The decisions of a node, whole. Its interface - settings, events, actions - is choice/api.go.
//
// The ordinary path: each server has a predicted load, told connection load x learned cost anchored at its
// last report; a PID keeps a local weight for it, high where predicted load is below average; a new
// connection goes to a weighted draw and stays put. All else are exceptions that say what they guard against.
package choice

import (
	"math"
	"slices"
	"time"
)

const (
	kP, kI, kD   = 0.6, 0.5, 0.125 // the paper's gains, on relative error
	gain         = 5.0             // PID output to weight: the base is lost a third above average
	windup       = 0.08            // most that the integral may hold (of PID output)
	floorShare   = 0.02            // least weight, part of the base: a server is never wholly forgotten
	topShare     = 3.0             // most weight, times the base: bounds what one good report can draw
	tick         = time.Second     // PID step: a placement needs about that long to show in a report
	memory       = 8 * time.Second // a report's news fades with this: loads change, others place too
	costKeep     = 0.98            // of a kind's cost at each report: costs are slow, noise is not
	firstCost    = 0.02            // load of a mean connection before anything is learned
	costPrior    = 3.0             // own mean connections where a server's own cost outweighs its kind's
	fleetPrior   = 4.0             // the same on all servers, for what is told before anything is learned
	probeSpend   = 0.006           // service worth spending on probes, a first try
	reportLag    = time.Second     // about as long as a placement takes to show in a report
	mirrorPrior  = 4.0             // mean connections of evidence that a server bears the average
	groupShare   = 0.7             // load that one group may put on a server before it takes a further one
	freshFor     = 300 * time.Millisecond
	holdShare    = 5    // a request waits aim/holdShare for its probes
	crowded      = 0.85 // predicted load from which on more servers are sampled, and in the end none used
	maxRounds    = 8    // samples for one placement at most
	blindRounds  = 3    // the same where loads are inferred: each server further off pays for a group anew
	moveChance   = 0.4  // of asking whether to move, for each note that messages miss their aim
	coldSafety   = 0.5  // part of the cold budget used: what all nodes may hold at once is all of it then
	avgKeep      = 0.97 // of the average, at each report
	gateGain     = 2.0  // how fast the gate closes and opens, a second and load over or under crowded
	peek         = 0.15 // of probing a server for each request that the gate turns away: it must see to open
	full         = 1.2  // most that a server counts in the average: few slow ones must not shut the gate
	spill        = 0.15 // predicted load over the average from which on a group's next server is taken
	firstEject   = 2 * time.Second
	patrolAfter  = 3 * time.Second        // without a report of a server with own connections
	muteAfter    = 150 * time.Millisecond // a keeper's answer, with a probe of its own before it
	maxMuted     = 2                      // lost questions until a request is placed without keepers
	coldCommon   = 0.15                   // part of all cold servers' budgets that may go to any
	coldKept     = 0.7                    // part of the cold budget that a keeper spends steadily
	returnSpread = 3                      // more servers of its group, for a client that one sent away
	groupMemory  = 40 * time.Second       // about as long as a connection lives: then its group may be gone
	rateMemory   = 10 * time.Second       // arrivals: long against gaps between them, short against a day
)

// ask asks discovery again, early enough for Rules.MaxPollInterval after some failures, nodes not all at once.
func (b *Balancer) ask() {
	b.asks++
	wait := min(b.set.Rules.MaxPollInterval/4, 250*time.Millisecond<<min(b.asks, 5))
	after := time.Duration((0.5 + b.rng.Float64()) * float64(wait))
	b.out = append(b.out, SetTimer{Token: "ask", After: after})
}

func (b *Balancer) list(e ServerList) {
	if e.Kind == ListUnavailable {
		b.ask()
		return
	}
	if e.Kind != ListCached {
		b.asks = 0
	}
	b.merge(e)
	b.price()
}

// learn anchors the predicted load and takes it into the average.
func (b *Balancer) learn(s *server, load float64) {
	s.lent = fade(s.lent, b.now-s.reportAt, reportLag) // as its keeper: the report shows what was lent before
	b.anchor(s, load)
	b.anyKnown = true
	// Of reports asked for only: predictions lean on it, delay notes come from the overloaded alone.
	b.sumLoad = fade(b.sumLoad, b.now-b.sumAt, rateMemory)*avgKeep + s.base*min(s.report, full)
	b.sumBase, b.sumAt = fade(b.sumBase, b.now-b.sumAt, rateMemory)*avgKeep+s.base, b.now
	b.avg = b.sumLoad / b.sumBase
}

// price sets each server's cost, its own ratio shrunk to its kind's: where this node holds little, its own
// ratio is noise. Equal costs over registered size where there are no reports.
func (b *Balancer) price() {
	servers := 0.0
	for _, k := range b.kindList {
		k.told, k.servers = 0, 0
	}
	for _, s := range b.servers {
		if s.State == Ready {
			s.kind.told, s.kind.servers = s.kind.told+s.told, s.kind.servers+1
			servers++
		}
	}
	// What this node holds is a sample of the fleet, on a large one of a few connections or none: then
	// the told cost stands, not reported load over next to nothing.
	first := b.firstCost()
	num, den, sum := 0.5, 0.5*b.unit/first, 0.0
	for _, k := range b.kindList {
		prior := 0.0
		if !b.tellsHeld { // one server's own load is noise on a large fleet: take the kind's
			k.den = k.n * float64(b.set.Nodes) * k.told / max(k.servers, 1)
			prior = k.n * float64(b.set.Nodes) * fleetPrior * b.unit / max(servers, 1)
		}
		num, den = num+k.num+prior*first/b.unit, den+k.den+prior
	}
	all := num / den
	b.keeps = b.set.Limits.PeerMessages && b.set.Limits.HealthChecks && b.set.Reports != NoReports &&
		first*float64(len(b.silent)) > 1 && b.plan == nil &&
		b.set.Costs.PeerMessage*(questionBytes+answerBytes)/256 <= b.set.Costs.HealthCheck
	b.bases, b.coldBudgets = 0, 0
	for _, s := range b.servers {
		k := costPrior * b.unit * float64(b.set.Nodes)
		n := max(1, s.kind.n/max(s.kind.servers, 1)) // reports of one server that were summed
		kind := (s.kind.num + k*n*all) / (s.kind.den + k*n)
		if b.keeps { // all its reports are of the same few connections here: as one
			k *= max(1, s.n)
		}
		s.cost = (s.num + k*kind) / (s.den + k)
		s.base = all / s.cost
		if b.set.Sizes == LiveSize {
			s.base = s.Size
		}
		if !b.anyKnown {
			s.base, s.cost = s.Size, all/s.Size
		}
		if s.State == Ready {
			b.bases += s.base
			if b.warm(s) < 1 {
				b.coldBudgets += b.coldBudget(s)
			}
		}
		sum += s.cost * s.told
	}
	if !b.anyKnown && len(b.servers) > 0 {
		b.avg = sum / float64(len(b.servers))
	}
}

// predict is told load x cost, anchored at the last report; that fades to the average: silence is no news.
func (b *Balancer) predict(s *server) float64 {
	if !b.anyKnown {
		return s.cost * s.told
	}
	if !s.known {
		return b.avg
	}
	return b.avg + fade(s.report-b.avg, b.now-s.reportAt, memory) + s.cost*b.mirror(s)*(s.told-s.toldAt)
}

// mirror is how much load the fleet likely put on a server for each unit that this node did: its own share
// is sure, the others draw alike; the less a node sees of a server, the more the fleet's average counts.
func (b *Balancer) mirror(s *server) float64 {
	mean := max(b.avg, 0.1) / (s.cost * b.unit)  // mean connections on a server of this cost at average load
	if mirrorPrior*float64(b.set.Nodes) > mean { // too small a share to tell
		return 1
	}
	return 1 / (mirrorPrior/mean + 1/float64(b.set.Nodes))
}

// steer is the PID tick: average, integral, derivative; the proportional part is taken when drawing.
func (b *Balancer) steer() {
	if b.set.Reports == NoReports {
		b.inferStanding()
	}
	b.price()
	// The gate guards a fleet that is full as a whole, where set-ups and drops would feed each other.
	// Probes go to servers that look well, so the share of own load on those just seen full counts as well.
	var told, jammed float64
	for _, s := range b.servers {
		told += s.told
		if s.known && s.report > 1 && b.now-s.reportAt < 2*tick {
			jammed += s.told
		}
	}
	jam := jammed / max(told, b.unit)
	b.gate = clamp(b.gate*math.Exp(gateGain*(crowded-b.avg*(1-jam)-full*jam)*tick.Seconds()), 0.01, 1)
	for _, s := range b.servers {
		err := kP * relative(b.predict(s), b.avg)
		s.errSum = clamp(s.errSum*0.9+kI*err*tick.Seconds()*0.1, -windup, windup)
		s.trim = s.errSum + kD*(s.prevErr-err)*tick.Seconds()
		s.prevErr = err
		if age := b.now - s.reportAt; !b.set.DelaysObserved && s.told > 0 && s.State == Ready &&
			(age > patrolAfter || s.report > crowded-2*spill && age > tick/2) {
			if !b.keeps { // guards connections whose server filled up later, where nobody tells of that
				b.probe(s)
			} else if age > tick*9/10 {
				b.question(relieveMe, s, nil, s.told/b.unit)
			}
		}
	}
}

// weight is the server's weight for a request of the given load, against avg.
func (b *Balancer) weight(r *request, s *server, load, avg float64) float64 {
	if r.bind != 0 && !r.wide {
		if b.predict(s)+s.cost*load > b.spillAt() {
			return floorShare
		}
		return b.registered(s) // learned sizes differ, and nodes must choose alike: by what all know
	}
	diff := kP*relative(b.predict(s)+s.cost*load, avg) + s.trim
	w := s.base * b.warm(s) * clamp(1-gain*diff, floorShare, topShare)
	if b.warm(s) < 1 && !b.keeps { // leave that the usual draws would let lapse is taken first
		w *= clamp(1/(b.usualRate(s)*2*b.set.Rules.OverloadTime.Seconds()), 1, 1000)
	}
	return w
}

// spillAt is the predicted load up to which a group stays on its server.
func (b *Balancer) spillAt() float64 { return clamp(b.avg+spill, 0.5, crowded) }

// strike ejects a server that failed this node, longer each time; a probe or request is then its trial.
func (b *Balancer) strike(s *server) {
	s.badUntil = b.now + firstEject<<min(s.strikes, 3)
	s.strikes++
}

func (b *Balancer) delayed(e DelayObservation) {
	s := b.find(e.Server)
	if s == nil || b.minAim == 0 || e.Took <= 0 {
		return
	}
	s.messageTime = e.Took
	p := b.asLoad(e.Took)
	if p > b.predict(s) {
		b.anchor(s, p)
	}
	if b.set.Reports == NoReports { // each node moves its part of the excess: a probe would not confirm it
		if b.slowMessages = b.slowMessages || p > 0; e.Took > b.minAim {
			b.move(s, (1-crowded/p)/2)
		}
		return
	}
	// Exception to "connections stay put": one whose messages all miss their aim earns nothing where it is.
	// Some ask the server for a report first, and only the excess over what it can do is moved.
	r, chance := b.reqs[e.ID], moveChance
	if b.set.GroupAffinity { // who leaves its group makes one more server pay for it
		chance /= 2
	}
	if r != nil && r.open && r.on == s && e.Took > r.class.MessageObjective && b.rng.Float64() < chance {
		s.mover = r
		b.probe(s)
	}
}

// worth is what a request is worth for its load; the gate lets through more of what is worth more.
func (b *Balancer) worth(r *request) float64 {
	w := max(r.class.Priority, 1e-3)
	if !b.set.PriorityPerWork {
		w *= b.unit / r.load
	}
	if t := r.Tenant; t >= 0 && t < len(b.held) && b.set.Tenants[t].Connections > 0 &&
		float64(b.held[t]*b.all) > b.set.Tenants[t].Connections {
		w *= max(b.set.OverQuotaPriority, 1e-3)
	}
	b.meanWorth += (w - b.meanWorth) / 50
	return w
}

// admitted is the part of a class that is let in: what the plan has room for, else what the gate leaves.
func (b *Balancer) admitted(r *request) float64 {
	if b.plan != nil {
		return b.plan.AdmitFraction[r.Class]
	}
	admitted := math.Pow(b.gate, b.meanWorth/b.worth(r))
	if b.set.Reports == NoReports {
		admitted = min(admitted, b.throttle.admit(b.now))
	}
	return admitted
}

func (b *Balancer) arrive(q Request) {
	if b.reqs[q.ID] != nil || q.ID == "" {
		return
	}
	if q.Class < 0 || q.Class >= len(b.set.Classes) {
		b.out = append(b.out, Fail{q.ID, UnknownClass})
		return
	}
	r := &request{Request: q, load: b.loadOf(q), bind: b.bindOf(q), deadline: b.now + q.TimeLeft,
		class: &b.set.Classes[q.Class], most: b.set.Limits.MaxAttempts}
	b.reqs[q.ID] = r
	if len(b.servers) > 0 && !q.MidFlow && !b.keeps && b.rng.Float64() > b.admitted(r) {
		if s := b.servers[b.rng.IntN(len(b.servers))]; s.State == Ready && b.rng.Float64() < peek {
			b.probe(s)
		}
		b.throttle.add(b.now, 1, 0)
		b.answer(r, Overloaded)
		return
	}
	b.out = append(b.out, SetTimer{"end " + string(q.ID), max(0, q.TimeLeft-2*b.set.RoundTrip), q.ID})
	b.place(r)
}

// eligible says whether a request may go to a server at all: drains, repeats, cold servers.
func (b *Balancer) eligible(r *request, s *server) bool {
	c := r.class
	if r.may != nil && c.Idempotency == IdempotentByKey && (b.now >= r.mayBy ||
		c.IdempotencyScope != ScopeAll && s.Zone != r.may.Zone || c.IdempotencyScope == ScopeCell && s.Cell != r.may.Cell) {
		return false
	}
	return s.State == Ready && !slices.Contains(r.tried, s) && (r.zone == "" || s.Zone == r.zone) &&
		(b.keeps && (r.rounds < maxMuted || b.warm(s) == 1) || !b.keeps && b.coldCredit(r, s))
}

// sample draws n more servers by weight. A group draws by a hash in place of chance, and without a bonus
// for low load, so that nodes choose alike without talking: each server holding any of a group pays for it.
func (b *Balancer) sample(r *request, n int) {
	bad, ready := b.ejected()
	r.picks = append(r.picks, lowest(b.servers, n, func(s *server) float64 {
		if b.now < s.badUntil && 2*bad <= ready || slices.Contains(r.picks, s) || !b.eligible(r, s) {
			return never // where most look bad, the information is suspect, not the servers
		}
		return -math.Log(b.chance(r, s)) / b.weight(r, s, 0, b.avg)
	})...)
}

func (b *Balancer) chance(r *request, s *server) float64 {
	if r.bind != 0 && !r.wide {
		return chanceOf(r.bind ^ s.hash)
	}
	return 1 - b.rng.Float64()
}

// spread is on how many servers a request's group goes: as few as bear it, since each pays for the group
// once; but one large group must not fill server after server while others idle.
func (b *Balancer) spread(r *request) int {
	// What this node holds is a sample of the group: one connection at one of many nodes tells little of its
	// size, and nodes that guess differently scatter it. The first guess is half of groupShare, or all of it
	// where too few servers would show only once they shed.
	cost := max(b.meanCost(), 1e-9) * b.unit
	size := (b.groups[r.bind]/b.unit + 1) / (1/float64(b.set.Nodes) + cost/b.firstGroup())
	return int(clamp(math.Ceil(size*cost/groupShare), 1, float64(len(b.servers))))
}

// allot finds the nearest zone where the plan leaves room for a request. All that this node's connections
// have there counts, whenever they came: plans change, and none may take what another promised.
func (b *Balancer) allot(r *request) bool {
	if b.plan == nil {
		return true
	}
	i := slices.IndexFunc(b.plan.Grants, func(g Grant) bool {
		return !slices.Contains(g.ExcludedClasses, r.Class) && !slices.Contains(r.shut, g.Zone) &&
			b.under(g)+r.load <= g.Load
	})
	if i >= 0 {
		r.zone = b.plan.Grants[i].Zone
	}
	return i >= 0
}

// place samples the table for a request, the draw being among these, and probes what is not fresh.
func (b *Balancer) place(r *request) {
	if s := b.find(r.StickyServer); s != nil && b.now >= s.badUntil && b.eligible(r, s) &&
		(!b.keeps || b.warm(s) == 1) { // resumes there; what a cold one bears its keeper alone knows
		b.send(r, s)
		return
	}
	if b.keeps && r.rounds < maxMuted {
		b.consult(r)
		return
	}
	n := int(clamp(math.Round(probeSpend/max(b.set.Costs.HealthCheck, 1e-9)), 2, 4))
	if r.bind != 0 { // its next servers only
		n = b.spread(r)
		if r.Returned && b.slowMessages { // from a server that is full, and which one it was is not told
			n += min(b.unknown(r, n), 1) * returnSpread
		}
	}
	r.wide = false
	for had := len(r.picks); b.allot(r); r.shut = append(r.shut, r.zone) {
		if b.sample(r, n); b.plan == nil || len(r.picks) > had { // else nothing is left in this zone
			break
		}
	}
	r.waiting, r.rounds, r.wide = 0, r.rounds+1, r.bind != 0 && n > 1
	hold := r.class.SetupObjective / holdShare
	for _, s := range r.picks {
		if b.set.Reports == NoReports || r.deadline-b.now < 3*hold || s.known && b.now-s.reportAt < freshFor {
			continue
		}
		if b.probe(s); s.probing {
			r.waiting++
		}
	}
	if r.waiting == 0 {
		b.dispatch(r)
		return
	}
	b.waits = append(b.waits, r)
	b.out = append(b.out, SetTimer{"hold " + string(r.ID), hold, r.ID})
}

func (b *Balancer) probed(e HealthCheckResult) {
	s := b.find(e.Server)
	if s == nil {
		return
	}
	s.probing = false
	if e.Outcome == Served {
		s.strikes = 0
		b.observe(s, e.Report)
	} else if s.State == Ready && e.Outcome != NeverSent { // never sent: that says nothing of the server
		b.strike(s)
	}
	if !b.set.DelaysObserved && e.Outcome == Served && !b.keeps {
		b.relieve(s)
	}
	waiting := s.questions
	s.questions = nil
	for _, q := range waiting {
		b.decide(q, s)
	}
	excess := 1 - crowded/s.report
	if r := s.mover; r != nil && r.open && r.on == s && (e.Outcome != Served || b.rng.Float64() < excess) {
		b.out = append(b.out, Migrate{r.ID})
	}
	s.mover = nil
	for _, r := range slices.Clone(b.waits) {
		if slices.Contains(r.picks, s) && r.waiting > 0 {
			if r.waiting--; r.waiting == 0 {
				b.dispatch(r)
			}
		}
	}
}

// relieve moves the excess off a server that a report shows overloaded, where nobody tells of slow messages:
// what stays earns again, what goes earned nothing. Not where no other is much better.
func (b *Balancer) relieve(s *server) {
	if p, most := b.predict(s), max(crowded, b.least()+2*spill); p > most { // p may be under 0
		b.move(s, 1-most/p)
	}
}

// Keepers. Where a node has under one connection of a server, what it sees there is late and mostly noise.
// There each server has a keeper, a node that all find by hashes: it asks for reports, counts what it lent
// since the last one, and spends the cold budget for all. The next node follows one that is silent.
func (b *Balancer) keeper(s *server) int {
	best, most := b.set.Node, uint64(0)
	for n, until := range b.silent {
		if key := mix(s.hash ^ mix(uint64(n)+1)); key >= most && b.now >= until {
			best, most = n, key
		}
	}
	return best
}

// consult asks the keeper of the next server in a request's order whether it bears one more.
func (b *Balancer) consult(r *request) {
	next := lowest(b.servers, 1, func(s *server) float64 {
		if b.now < max(s.badUntil, s.denied) || slices.Contains(r.picks, s) || !b.eligible(r, s) {
			return never
		} else if r.bind != 0 {
			return -math.Log(b.chance(r, s))
		}
		return -math.Log(b.chance(r, s)) / b.weight(r, s, r.load, b.avg)
	})
	if len(next) == 0 || len(r.picks) >= maxRounds {
		b.answer(r, NoServer)
		return
	}
	r.picks = append(r.picks, next...)
	b.question(mayISend, next[0], r, r.load)
}

// decide lets a connection come while the server bears it; a group it doesn't pay for yet must leave room.
func (b *Balancer) decide(q question, s *server) {
	warm := b.warm(s)
	p := s.report + s.cost*b.unit*s.lent/warm
	a := message{kind: no, load: p}
	limit := crowded
	if at, here := s.groups[q.group]; q.group != 0 && (!here || b.now-at > groupMemory) {
		limit -= spill
	}
	switch {
	case b.now < s.badUntil:
		a.kind = bad
	case q.kind == relieveMe:
		if p > crowded+spill {
			a.part = 1 - crowded/p
			s.lent -= a.part * q.load
		}
	case p+s.cost*b.unit*q.load/warm <= limit && b.keptCredit(s):
		a.kind = yes
		s.lent, s.credit = s.lent+q.load, s.credit-q.load
		s.stands(q.group, b.now)
	}
	b.reply(q, a)
}

// lost goes on without an answer: the keeper may be gone, and after some no keeper is asked.
func (b *Balancer) lost(q asked) {
	b.silent[q.to] = b.now + firstEject
	if r := q.r; r != nil && b.reqs[r.ID] == r && r.on == nil {
		r.rounds, r.picks = r.rounds+1, slices.DeleteFunc(r.picks, func(s *server) bool { return s == q.s })
		b.place(r)
	}
}

// answered carries out what a keeper said.
func (b *Balancer) answered(q asked, a message) {
	if a.kind == bad && q.to != b.set.Node {
		b.strike(q.s)
	} else if q.to != b.set.Node {
		b.learn(q.s, a.load)
	}
	switch r := q.r; {
	case r == nil:
		b.move(q.s, a.part)
	case b.reqs[r.ID] != r || r.on != nil:
	case a.kind == yes && b.eligible(r, q.s) && b.granted(r, q.s): // not if it drains by now
		b.send(r, q.s)
	default:
		if a.load > crowded {
			q.s.denied = b.now + freshFor
		}
		b.consult(r)
	}
}

// move moves a part of a server's connections, in whole ones by chance.
func (b *Balancer) move(s *server, part float64) {
	all := b.openOn(s)
	for _, r := range all[:min(len(all), int(part*float64(len(all))+b.rng.Float64()))] {
		b.out = append(b.out, Migrate{r.ID})
	}
}

// dispatch sends to one of the sampled servers, drawn by weight; where all are crowded it samples on.
func (b *Balancer) dispatch(r *request) {
	r.waiting = 0
	b.waits = slices.DeleteFunc(b.waits, func(o *request) bool { return o == r })
	picks := slices.DeleteFunc(slices.Clone(r.picks), func(s *server) bool {
		return !b.eligible(r, s) || !b.granted(r, s)
	})
	silent := func(s *server) bool { return s.probing || b.now < s.badUntil } // which is not low load
	if heard := slices.DeleteFunc(slices.Clone(picks), silent); len(heard) > 0 {
		picks = heard
	}
	ref, low := 0.0, math.Inf(1)
	for _, s := range picks {
		p := b.predict(s) + s.cost*r.load
		ref, low = ref+p/float64(len(picks)), min(low, p)
	}
	limit := crowded
	if r.bind != 0 {
		limit = b.spillAt()
	}
	if low > limit && r.rounds < b.mostRounds() {
		b.place(r)
		return
	}
	if low > crowded { // admission: set-ups are work too, servers that shed make them come again
		why := ServersCrowded
		if len(picks) == 0 {
			why = NoServer
		}
		b.answer(r, why)
		return
	}
	best := lowest(picks, 1, func(s *server) float64 {
		return -math.Log(b.chance(r, s)) / b.weight(r, s, r.load, ref)
	})
	b.send(r, append(best, picks[0])[0])
}

func (b *Balancer) send(r *request, s *server) {
	left := r.deadline - b.now
	limit := left - b.set.RoundTrip
	if aim := r.class.SetupObjective; r.attempts+1 < r.most && left > 2*aim {
		limit = min(limit, max(aim, left/2)) // leave time for another server
	}
	if limit <= 0 {
		b.answer(r, TimeShort)
		return
	}
	r.attempts++
	r.picks, r.rounds, r.sentAt = nil, 0, b.now
	b.bind(r, s)
	b.rate, b.rateAt = fade(b.rate, b.now-b.rateAt, rateMemory)+r.load/b.unit, b.now
	if b.warm(s) < 1 && !b.keeps {
		if s.credit >= 1 {
			s.credit -= r.load / b.unit
		} else {
			b.coldLeave -= r.load / b.unit
		}
	}
	b.out = append(b.out, StartAttempt{r.ID, s.ID, limit, r.mayBy})
}

// ended closes an attempt; a request without an answer goes to another server while rules and time allow.
func (b *Balancer) ended(e AttemptEnded) {
	if s := b.find(e.Server); s != nil && b.set.Reports == AllReports {
		b.observe(s, e.Report)
	}
	r := b.reqs[e.ID]
	if r == nil || r.on == nil || e.Attempt != r.attempts-1 {
		return
	}
	s, open := r.on, r.open
	b.release(r)
	if open && e.Outcome == Reset {
		b.shed(s)
	}
	if !open || b.set.Reports == NoReports {
		switch e.Outcome {
		case TimedOut, ConnectFailed, Reset, Failed:
			b.strike(s)
		case Full:
			b.anchor(s, max(1.2, b.predict(s)))
		}
	}
	if e.Final || open {
		b.forget(r)
		return
	}
	if !e.Outcome.NeverRan() && r.may == nil {
		r.may, r.mayBy = s, r.class.forgets(r.sentAt)-2*b.set.RoundTrip
	}
	r.tried = append(r.tried, s)
	switch {
	case r.may != nil && r.class.Idempotency == NotIdempotent:
		b.answer(r, MayHaveRun)
		return
	case r.attempts >= r.most:
		b.answer(r, AttemptsUsed)
		return
	case r.deadline-b.now <= 4*b.set.RoundTrip:
		b.answer(r, TimeShort)
		return
	}
	b.place(r)
}

// answer ends a request without a connection: refused where trying again is harmless, else failed.
func (b *Balancer) answer(r *request, why Reason) {
	c := r.class
	b.refused = append(b.refused, r.Class)
	if r.on == nil && r.may == nil || c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.IdempotencyScope == ScopeAll {
		after := time.Duration(0)
		if b.set.Reports == NoReports && b.set.Limits.RetryAfter && r.attempts == 0 && b.bases > 0 {
			after = time.Duration((0.25 + 0.75*b.rng.Float64()) * float64(b.set.Limits.MaxRetryAfter))
		}
		if b.plan != nil && r.attempts == 0 { // by then it may be another plan; spread, against waves
			after = time.Duration((0.5 + b.rng.Float64()) * float64(b.plan.RetryAfter))
		}
		b.out = append(b.out, Reject{r.ID, after, why})
	} else {
		b.out = append(b.out, Fail{r.ID, why})
	}
	if r.on != nil && b.set.Limits.Cancellation {
		b.out = append(b.out, CancelAttempt{r.ID, r.attempts - 1})
	}
	b.forget(r)
}
