package choice

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// What a process has found out, for the one that takes over from it. No decisions here.

// LearnedStateVersion is the version of Learned; another one is not taken.
const LearnedStateVersion = 1

// LearnedState is what a balancer has found out of the fleet, as values: costs, last reports with their times, who is left
// out and until when, and the averages. Times are on the module's clock.
type LearnedState struct {
	Version int             `cbor:"1,keyasint"`
	Unit    float64         `cbor:"2,keyasint"` // mean told load of a connection
	Hints   int             `cbor:"3,keyasint"` // told loads it rests on
	SumLoad float64         `cbor:"4,keyasint"` // of reports, decayed
	SumBase float64         `cbor:"5,keyasint"`
	SumAt   time.Duration   `cbor:"6,keyasint"`
	Rate    float64         `cbor:"7,keyasint"` // of arrivals, decayed
	RateAt  time.Duration   `cbor:"8,keyasint"`
	Gate    float64         `cbor:"9,keyasint"`
	Worth   float64         `cbor:"10,keyasint"`
	Kinds   []LearnedKind   `cbor:"11,keyasint,omitempty"`
	Servers []LearnedServer `cbor:"12,keyasint,omitempty"`
	Meaning string          `cbor:"13,keyasint,omitempty"` // of the settings that the values were learned under
	Now     time.Duration   `cbor:"14,keyasint,omitempty"` // when it is told; 0: a release that has its clock be the reader's
}

// LearnedKind is what reports said of a kind of machine.
type LearnedKind struct {
	Kind string  `cbor:"1,keyasint"`
	Num  float64 `cbor:"2,keyasint"` // reported load, decayed
	Den  float64 `cbor:"3,keyasint"` // the fleet's told load
	N    float64 `cbor:"4,keyasint"` // reports
}

// LearnedServer is what is known of one server.
type LearnedServer struct {
	ID       ServerID      `cbor:"1,keyasint"`
	Started  time.Duration `cbor:"2,keyasint,omitempty"` // another start knows nothing of this one
	Num      float64       `cbor:"3,keyasint"`
	Den      float64       `cbor:"4,keyasint"`
	N        float64       `cbor:"5,keyasint"`
	Known    bool          `cbor:"6,keyasint,omitempty"`
	Report   float64       `cbor:"7,keyasint,omitempty"`
	ReportAt time.Duration `cbor:"8,keyasint,omitempty"`
	BadUntil time.Duration `cbor:"9,keyasint,omitempty"`
	Strikes  int           `cbor:"10,keyasint,omitempty"`
	Credit   float64       `cbor:"11,keyasint,omitempty"` // that a cold one still has
	CreditAt time.Duration `cbor:"12,keyasint,omitempty"`
	ErrSum   float64       `cbor:"13,keyasint,omitempty"` // of the PID
	PrevErr  float64       `cbor:"14,keyasint,omitempty"`
	Trim     float64       `cbor:"15,keyasint,omitempty"`
	Since    float64       `cbor:"16,keyasint,omitempty"` // own told load that the report doesn't show
}

// meaning is of the settings what gives learned values their sense: under another one they are some other deployment's.
func (s Settings) meaning() string {
	return fmt.Sprint(s.Reports, s.ReportFields, s.Sizes, s.PriorityPerWork, s.DelaysObserved)
}

// unlearn forgets what reports have told: it was said of other values than those that come from now on.
func (b *Balancer) unlearn() {
	for _, k := range b.kinds {
		k.num, k.den, k.n = 0, 0, 0
	}
	for _, s := range b.servers {
		s.num, s.den, s.n, s.known, s.report, s.reportAt = 0, 0, 0, false, 0, 0
		s.errSum, s.prevErr, s.trim, s.lent, s.denied = 0, 0, 0, 0, 0
	}
	b.anyKnown, b.tellsHeld, b.gate, b.avg = false, false, 1, 0
	b.sumLoad, b.sumBase, b.sumAt = 0, 0, 0
}

// LearnedState tells what this balancer has found out.
func (b *Balancer) LearnedState() LearnedState {
	l := LearnedState{Version: LearnedStateVersion, Unit: b.unit, Hints: b.hints, SumLoad: b.sumLoad, SumBase: b.sumBase, SumAt: b.sumAt,
		Rate: b.rate, RateAt: b.rateAt, Gate: b.gate, Worth: b.meanWorth, Meaning: b.set.meaning(), Now: b.now}
	for name, k := range b.kinds {
		if k.n > 0 {
			l.Kinds = append(l.Kinds, LearnedKind{name, k.num, k.den, k.n})
		}
	}
	slices.SortFunc(l.Kinds, func(x, y LearnedKind) int { return strings.Compare(x.Kind, y.Kind) })
	for _, s := range b.servers {
		l.Servers = append(l.Servers, LearnedServer{s.ID, s.Started, s.num, s.den, s.n, s.known, s.report, s.reportAt,
			s.badUntil, s.strikes, s.credit, s.creditAt, s.errSum, s.prevErr, s.trim, s.told - s.toldAt})
	}
	return l
}

// sound says whether what another process tells can be: a value that is none would be in every prediction.
func (l LearnedState) sound() bool {
	ok := l.Version == LearnedStateVersion && l.Unit > 0 && l.Hints >= 0 && l.Gate > 0 && l.Gate <= 1 && l.Worth > 0 &&
		positive(l.Unit, l.SumLoad, l.SumBase, l.Rate, l.Worth) && l.SumBase > 0 == (l.SumAt > 0)
	for _, k := range l.Kinds {
		ok = ok && positive(k.Num, k.Den, k.N)
	}
	for _, s := range l.Servers {
		ok = ok && positive(s.Num, s.Den, s.N, s.Report, s.Credit) && s.Strikes >= 0 &&
			finite(s.ErrSum) && finite(s.PrevErr) && finite(s.Trim) && finite(s.Since)
	}
	return ok
}

func positive(all ...float64) bool {
	for _, v := range all {
		if !(v >= 0) || !finite(v) {
			return false
		}
	}
	return true
}

// inherit takes in what another process found out, where it is newer than what this one knows or rests on more. A report
// keeps its age: it fades as it would have there.
func (b *Balancer) inherit(l LearnedState) {
	if !l.sound() || l.Meaning != b.set.meaning() {
		return
	}
	l = l.at(b.now)
	if b.hints < l.Hints {
		b.unit, b.hints = l.Unit, l.Hints
	}
	if b.sumAt < l.SumAt && l.SumAt <= b.now {
		b.sumLoad, b.sumBase, b.sumAt, b.gate, b.anyKnown = l.SumLoad, l.SumBase, l.SumAt, l.Gate, true
		b.avg = b.sumLoad / b.sumBase
	}
	if b.rate == 0 && l.RateAt <= b.now {
		b.rate, b.rateAt, b.meanWorth = l.Rate, l.RateAt, l.Worth
	}
	for _, k := range l.Kinds {
		if own := b.kinds[k.Kind]; own != nil && own.n < k.N {
			own.num, own.den, own.n = k.Num, k.Den, k.N
		}
	}
	for _, from := range l.Servers {
		s := b.find(from.ID)
		if s == nil || s.Started != from.Started {
			continue
		}
		if s.n < from.N {
			s.num, s.den, s.n = from.Num, from.Den, from.N
			s.errSum, s.prevErr, s.trim = clamp(from.ErrSum, -windup, windup), from.PrevErr, clamp(from.Trim, -1, 1)
		}
		if from.Known && from.ReportAt <= b.now && (!s.known || s.reportAt < from.ReportAt) {
			b.anchor(s, from.Report)
			s.reportAt, s.toldAt = from.ReportAt, s.told-from.Since
		}
		if from.BadUntil > s.badUntil {
			s.badUntil = min(from.BadUntil, b.now+firstEject<<3)
			s.strikes = max(s.strikes, min(from.Strikes, 60))
		}
		if from.CreditAt <= b.now && from.Credit < s.credit { // what was spent there is spent
			s.credit, s.creditAt = from.Credit, max(s.creditAt, from.CreditAt)
		}
	}
	b.price()
}

// at is the same with its times on the clock of a reader that reads it now.
func (l LearnedState) at(now time.Duration) LearnedState {
	if l.Now == 0 {
		return l
	}
	shift := now - l.Now
	moved := func(at time.Duration) time.Duration {
		if at == 0 {
			return 0
		}
		return at + shift
	}
	l.SumAt, l.RateAt, l.Now = moved(l.SumAt), moved(l.RateAt), now
	l.Servers = slices.Clone(l.Servers)
	for i := range l.Servers {
		s := &l.Servers[i]
		s.ReportAt, s.BadUntil, s.CreditAt = moved(s.ReportAt), moved(s.BadUntil), moved(s.CreditAt)
	}
	return l
}

// stood has a connection count as one that the server's last report shows, and that costs are learned by.
func (b *Balancer) stood(s *server, load float64) {
	if s.slow += load; s.known {
		s.toldAt += load
	}
	b.joined = true
}

// handed forgets a connection that another process of this node has now. The server bears it as before: what its last
// report shows of it goes along.
func (b *Balancer) handed(id RequestID) {
	if r := b.reqs[id]; r != nil {
		s, load := r.on, r.load
		if b.forget(r); s != nil {
			s.slow, s.toldAt = s.slow-load, s.toldAt-load
		}
	}
}
