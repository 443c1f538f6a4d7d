package agent

import (
	"maps"
	"math"
	"slices"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/failover"
)

const hadMemory = 15 // seconds in which what stood here fades

// loaned is what this node has been lent in one zone.
type loaned struct {
	load  float64
	until time.Duration
	asks  float64
	asked uint64        // clock of the newest ask: only its answer counts
	at    time.Duration // of that ask
	heard bool          // it was answered
}

// lent is what the module may have on top, by zone.
func (a *Agent) lent() map[string]float64 {
	out := map[string]float64{}
	for z, l := range a.loans {
		if l.load > 0 {
			out[z] = l.load
		}
	}
	return out
}

// borrow asks lenders for what this node's clients find no room for, and gives back what it doesn't need.
func (a *Agent) borrow(n choice.Observations, now time.Duration) {
	dt := now - a.saw
	a.saw = now
	had := a.stood(n, dt)
	got, full := a.lent(), map[string]bool{}
	for z, l := range a.loans {
		full[z] = l.heard && l.load < 0.95*l.asks || !l.heard && l.asks > 0 // who doesn't answer has nothing
	}
	asks := failover.LeaseDemand(a.mode, a.plan, a.options.Self, a.zone, n, dt, had, got, full)
	for _, z := range slices.Sorted(maps.Keys(a.loans)) { // before anything is asked: a lender may lend at once what is told to be too much
		if l := a.loans[z]; l.load > asks[z] {
			a.setLoan(z, l, asks[z])
		}
	}
	if a.plan == nil {
		return
	}
	for _, z := range a.plan.Zones {
		l, ask := a.loans[z.Name], asks[z.Name]
		if z.LeaseOwner < 0 || z.LeaseOwner >= a.options.List.Len() || ask <= 0 && (l == nil || l.asks == 0) {
			continue
		}
		if l == nil {
			l = &loaned{}
			a.loans[z.Name] = l
		}
		l.asks, l.at, l.heard = ask, now, false
		if z.LeaseOwner == a.options.Self {
			a.takeLoan(z.Name, l, a.lend(a.options.Self, ask, now), now)
			continue
		}
		l.asked = a.send(z.LeaseOwner, borrow, encode(borrowBody{Load: ask}), now)
	}
}

// stood keeps in mind what stood here of late, and what of it must find a place in the region.
func (a *Agent) stood(n choice.Observations, dt time.Duration) (had float64) {
	stay, refused, out := 0.0, 0.0, false
	for c, name := range a.options.Classes {
		held, here := 0.0, 0.0
		for _, z := range n.Zones {
			if c < len(z.OwnLoad) {
				held += z.OwnLoad[c]
				if z.Zone == a.zone {
					here += z.OwnLoad[c]
				}
			}
			if z.Zone == a.zone {
				out = failover.ZoneFailing(z)
			}
		}
		a.had[name] = max(held, a.had[name]*math.Exp(-dt.Seconds()/hadMemory))
		had += a.had[name]
		if a.plan != nil && c < len(n.Classes) {
			if k := slices.Index(a.plan.Classes, name); k >= 0 && a.plan.StayInRegion[k] {
				stay, refused = stay+a.had[name]-here, refused+n.Classes[c].Rejected
			}
		}
	}
	if !out && refused == 0 {
		stay = a.stay * math.Exp(-dt.Seconds()/hadMemory)
	}
	if stay < 0.5 {
		stay = 0
	}
	if math.Abs(stay-a.stay) > 0.1*max(stay, a.stay) {
		a.stay, a.changed = stay, true
	}
	return had
}

// lend is the lender's side. It lends only by a plan in force: what it may lend is reckoned to be over with the plan's life.
func (a *Agent) lend(node int, asks float64, now time.Duration) float64 {
	if a.plan == nil || now >= a.lease {
		return 0
	}
	for _, z := range a.plan.Zones {
		if z.Name == a.zone && z.LeaseOwner == a.options.Self {
			return a.lender.Grant(node, asks, float64(z.Reserve), now)
		}
	}
	return 0
}

func (a *Agent) handleBorrow(h header, body []byte, now time.Duration) {
	var b borrowBody
	if decoding.Unmarshal(body, &b) != nil || !(b.Load >= 0 && b.Load < 1e9) {
		a.Counts.Spoilt++
		return
	}
	a.send(h.from, loan, encode(loanBody{Answer: h.clock, Load: a.lend(h.from, b.Load, now)}), now)
}

func (a *Agent) handleLoan(h header, body []byte, now time.Duration) {
	var b loanBody
	if decoding.Unmarshal(body, &b) != nil || !(b.Load >= 0 && b.Load < 1e9) {
		a.Counts.Spoilt++
		return
	}
	for z, l := range a.loans {
		if l.asked == b.Answer && l.asked > 0 && a.options.List.Node(h.from).Zone == z {
			l.asked = 0
			a.takeLoan(z, l, min(b.Load, l.asks), now)
		}
	}
}

func (a *Agent) takeLoan(zone string, l *loaned, load float64, now time.Duration) {
	l.heard, l.until = true, l.at+failover.LeaseDuration
	if now >= l.until {
		load = 0
	}
	a.setLoan(zone, l, load)
}

func (a *Agent) setLoan(zone string, l *loaned, load float64) {
	if load != l.load {
		l.load, a.changed = load, true
		a.options.Log("fleet_loan", "zone", zone, "load", load)
	}
}

// loansEnd ends what was not renewed in time.
func (a *Agent) loansEnd(now time.Duration) {
	for _, z := range slices.Sorted(maps.Keys(a.loans)) {
		l := a.loans[z]
		if l.load > 0 && now >= l.until {
			a.setLoan(z, l, 0)
		}
		if l.load == 0 && l.asks == 0 {
			delete(a.loans, z)
		}
	}
}
