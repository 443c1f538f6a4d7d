package choice

import (
	"slices"
	"time"
)

// What a node tells of zones to those who plan for all. No decisions here.

type zoneClass struct {
	zone  string
	class int
}

type zoneCount struct{ attempts, failed float64 }

type classCount struct{ Arrived, Rejected float64 }

// ZoneObservations is what a node knows of one zone.
type ZoneObservations struct {
	Zone     string
	Ready    int       // hosts that are listed as serving
	Ejected  int       // of these, left out after failures
	Capacity float64   // what the ready ones can do now, in whole hosts
	Load     float64   // their predicted load, in whole hosts
	Cost     float64   // learned: hosts that a unit of told load takes
	OwnLoad  []float64 // this node's own told load there, by class
	Attempts float64   // since the last news, probes counted as attempts
	Failed   float64   // of these: no connection, no answer in time, an error, a reset
}

// ClassObservations is what clients asked of a node since the last news, as told load.
type ClassObservations struct{ Arrived, Rejected float64 }

// Observations is what the module saw since it was last asked, and what stands.
type Observations struct {
	Zones   []ZoneObservations // by name
	Classes []ClassObservations
}

// Observations tells what was seen since the last call.
func (b *Balancer) Observations(now time.Duration) Observations {
	b.now = max(b.now, now)
	at := map[string]*ZoneObservations{}
	n := Observations{}
	for _, s := range b.servers {
		z := at[s.Zone]
		if z == nil {
			z = &ZoneObservations{Zone: s.Zone, OwnLoad: make([]float64, len(b.set.Classes))}
			if c := b.zoneNews[s.Zone]; c != nil {
				z.Attempts, z.Failed = c.attempts, c.failed
			}
			at[s.Zone] = z
		}
		if s.State != Ready {
			continue
		}
		z.Ready++
		if b.now < s.badUntil {
			z.Ejected++
		}
		z.Capacity += b.warm(s)
		z.Load += max(0, b.predict(s))
	}
	for name, z := range at {
		z.Cost = b.zoneCost(name)
		for c := range z.OwnLoad {
			z.OwnLoad[c] = b.inClass[zoneClass{name, c}]
		}
		n.Zones = append(n.Zones, *z)
	}
	slices.SortFunc(n.Zones, func(x, y ZoneObservations) int {
		if x.Zone < y.Zone {
			return -1
		}
		return 1
	})
	n.Classes = make([]ClassObservations, len(b.set.Classes))
	for c, k := range b.classNews {
		if c < len(n.Classes) {
			n.Classes[c] = ClassObservations(k)
		}
	}
	b.classNews = b.classNews[:0]
	clear(b.zoneNews)
	return n
}

// zoneCost is the load that a unit of told load puts on the mean host of a zone.
func (b *Balancer) zoneCost(zone string) float64 {
	sum, n := 0.0, 0.0
	for _, s := range b.servers {
		if s.Zone == zone && s.State == Ready {
			sum, n = sum+s.cost, n+1
		}
	}
	if n == 0 {
		return b.meanCost()
	}
	return sum / n
}

// zoned keeps what the node has in a zone, by class.
func (b *Balancer) zoned(r *request, load float64) {
	key := zoneClass{r.on.Zone, r.Class}
	if b.inClass[key] += load; b.inClass[key] < 1e-9 {
		delete(b.inClass, key)
	}
}

// under is what the node has under a grant.
func (b *Balancer) under(g Grant) (sum float64) {
	for c := range b.set.Classes {
		if !slices.Contains(g.ExcludedClasses, c) {
			sum += b.inClass[zoneClass{g.Zone, c}]
		}
	}
	return sum
}

// follow takes a plan in, in a form that the decisions can go by without a look at its bounds.
func (b *Balancer) follow(p ZonePlan) {
	told := b.set
	told.Nodes = b.all / max(1, told.Processes)
	b.plan = nil
	if p.Grants != nil {
		b.plan = &p
		for p.AdmitFraction = slices.Clone(p.AdmitFraction); len(p.AdmitFraction) < len(b.set.Classes); {
			p.AdmitFraction = append(p.AdmitFraction, 1)
		}
		if p.RetryAfter = min(p.RetryAfter, b.set.Limits.MaxRetryAfter*2/3); !b.set.Limits.RetryAfter { // spread by half
			p.RetryAfter = 0
		}
	}
	b.adapt(told)
	b.price()
}

func (b *Balancer) countZone(zone string, failed bool) {
	c := b.zoneNews[zone]
	if c == nil {
		if len(b.zoneNews) >= mostZones { // guards against a list that names a zone for each host
			return
		}
		c = &zoneCount{}
		b.zoneNews[zone] = c
	}
	c.attempts++
	if failed {
		c.failed++
	}
}

const mostZones = 256

func (b *Balancer) countClass(class int) *classCount {
	if class < 0 || class >= len(b.set.Classes) {
		return &classCount{}
	}
	for len(b.classNews) <= class {
		b.classNews = append(b.classNews, classCount{})
	}
	return &b.classNews[class]
}

func (b *Balancer) countArrival(q Request) {
	if load := q.Load; load > 0 && finite(load) {
		b.countClass(q.Class).Arrived += load
	} else {
		b.countClass(q.Class).Arrived += b.unit
	}
}

func (b *Balancer) countUp(r *request) { b.countZone(r.on.Zone, false) }

func (b *Balancer) countOutcome(e AttemptEnded) {
	r := b.reqs[e.ID]
	if r == nil || r.on == nil || r.open || e.Attempt != r.attempts-1 {
		return
	}
	switch e.Outcome {
	case Served, Full:
		b.countZone(r.on.Zone, false)
	case Failed, TimedOut, ConnectFailed, Reset:
		b.countZone(r.on.Zone, true)
	}
}

func (b *Balancer) countProbe(e HealthCheckResult) {
	if s := b.find(e.Server); s != nil && s.State == Ready && e.Outcome != NeverSent {
		b.countZone(s.Zone, e.Outcome != Served)
	}
}

// countRefusals counts what the module gave up in this step.
func (b *Balancer) countRefusals() {
	for _, class := range b.refused {
		b.countClass(class).Rejected += b.unit
	}
	b.refused = b.refused[:0]
}
