// Package workload is what clients want, apart from any fleet that gives it: sessions with their arrival, life, class,
// edition and group. It is read from captures, drawn from a fleet's description, scaled and summed up.
package workload

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"spurwinch/internal/plan/fleet"
)

// Session is one client that wants a connection from At on for Life. Where it lost its connection meanwhile it came again
// and still was the same session.
type Session struct {
	Arrival  time.Duration
	Lifetime time.Duration
	Class    int // in the fleet's classes
	Tenant   int // in the fleet's editions; -1: none
	Zone     int // in the fleet's centres; -1: any
	Client   uint64
	Group    uint64  // 0: none
	Load     float64 // in usual connections; 0: not told
	// Standing says that the connection stands when the load begins: it was set up before.
	AlreadyOpen bool
}

// Load is sessions in the order of their arrival.
type Load struct {
	Sessions []Session
	Length   time.Duration // of the time that they were taken from
}

func (l *Load) sort() {
	slices.SortStableFunc(l.Sessions, func(a, b Session) int {
		if a.AlreadyOpen != b.AlreadyOpen { // what stands comes first
			if a.AlreadyOpen {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Arrival, b.Arrival)
	})
}

// Standing is the mean number of sessions that want a connection over the load's length.
func (l *Load) Standing() float64 {
	if l.Length <= 0 {
		return 0
	}
	sum := 0.0
	for _, s := range l.Sessions {
		sum += min(s.Lifetime, l.Length-s.Arrival).Seconds()
	}
	return sum / l.Length.Seconds()
}

// Cores is the mean work that the sessions ask for, in yardstick cores, without groups and set-ups.
func (l *Load) Cores(f *fleet.Fleet) float64 {
	if l.Length <= 0 {
		return 0
	}
	sum := 0.0
	for _, s := range l.Sessions {
		x := s.Load
		if x == 0 {
			x = f.Classes[s.Class].Load
		}
		sum += x * f.CoreLoad() * min(s.Lifetime, l.Length-s.Arrival).Seconds()
	}
	return sum / l.Length.Seconds()
}

// Cut is the part of a load from one time to another. Sessions that had come before stand at its beginning.
func (l *Load) Cut(from, to time.Duration) *Load {
	out := &Load{Length: min(to, l.Length) - from}
	for _, s := range l.Sessions {
		if s.Arrival >= to || s.Arrival+s.Lifetime <= from {
			continue
		}
		if s.Arrival < from {
			s.Lifetime -= from - s.Arrival
			s.Arrival, s.AlreadyOpen = from, true
		}
		s.Arrival -= from
		out.Sessions = append(out.Sessions, s)
	}
	out.sort()
	return out
}

// Busiest is the beginning of the stretch of a length in which most is asked for, in steps of an eighth of it.
func (l *Load) BusiestWindow(f *fleet.Fleet, length time.Duration) time.Duration {
	step := max(length/8, time.Second)
	n := int(l.Length/step) + 1
	change := make([]float64, n+1) // of the load asked for, at the beginning of each step
	for _, s := range l.Sessions {
		x := s.Load
		if x == 0 {
			x = f.Classes[s.Class].Load
		}
		change[min(n, int(s.Arrival/step))] += x
		change[min(n, int((s.Arrival+s.Lifetime)/step))] -= x
	}
	asked := make([]float64, n)
	sum := 0.0
	for i := range asked {
		sum += change[i]
		asked[i] = sum
	}
	best, most := 0, -1.0
	for i := 0; i+8 <= n; i++ {
		x := 0.0
		for _, a := range asked[i : i+8] {
			x += a
		}
		if x > most {
			best, most = i, x
		}
	}
	return min(time.Duration(best)*step, max(0, l.Length-length))
}

// Scale is the load times a factor. Whole copies of all sessions are added, and of a part of the clients, groups of theirs
// with them: more farms come, each as large as before. A copy arrives up to spread sooner or later than its original, so
// that copies don't come in pairs.
func (l *Load) Scale(by float64, seed uint64) *Load {
	out := &Load{Length: l.Length}
	const spread = 2.0 // seconds
	whole, part := int(by), by-math.Floor(by)
	for copy := range whole + 1 {
		for _, s := range l.Sessions {
			who := s.Group
			if who == 0 {
				who = s.Client
			}
			if copy == whole && float64(Mix(who^seed)>>11)/(1<<53) >= part {
				continue
			}
			if copy > 0 {
				s.Client = Mix(s.Client + uint64(copy)*0x9e3779b97f4a7c15)
				if s.Group != 0 {
					s.Group = Mix(s.Group+uint64(copy)*0x9e3779b97f4a7c15) | 1
				}
				rng := rand.New(rand.NewPCG(seed, s.Client))
				s.Arrival += time.Duration((2*rng.Float64() - 1) * spread * float64(time.Second))
				s.Arrival = max(0, min(s.Arrival, l.Length-1))
			}
			out.Sessions = append(out.Sessions, s)
		}
	}
	out.sort()
	return out
}

// Mix is a hash of a number (splitmix64).
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Drawn describes a load to draw.
type Drawn struct {
	Seed     uint64
	Length   time.Duration
	Standing float64 // sessions that want a connection, in the mean of the plateau
	Stand    bool    // the first ones stand when the load begins, in place of arriving
	Swing    float64 // of the rate: it climbs from 1-Swing to 1+Swing times the mean over the length
}

// Draw makes a load after a fleet's classes, editions and groups: Poisson arrivals of groups, lives and sizes as the file
// says. The sessions that stand at its beginning arrive over the first third of a mean life, a sixth of the length at most:
// all at once they would be a storm that no evening begins with.
func Draw(f *fleet.Fleet, d Drawn) *Load {
	rng := rand.New(rand.NewPCG(d.Seed, 77))
	shares, uses, places := make([]float64, len(f.Classes)), make([]float64, len(f.Editions)), make([]float64, len(f.Centres))
	meanLife := 0.0
	sum := 0.0
	for i, c := range f.Classes {
		shares[i] = c.Share
		meanLife, sum = meanLife+c.Share*c.Lifetime.Seconds(), sum+c.Share
	}
	meanLife /= sum
	for i, e := range f.Editions {
		uses[i] = e.Share * e.Usage
	}
	for i, c := range f.Centres {
		places[i] = c.Clients
	}
	out := &Load{Length: d.Length}
	add := func(at time.Duration, group uint64, edition, centre int, residual bool) {
		class := WeightedIndex(rng, shares)
		c := f.Classes[class]
		life := c.Lifetime.Seconds() * Lognormal(rng, c.LifetimeSpread)
		if c.LifetimeSpread == 0 {
			life = c.Lifetime.Seconds() * rng.ExpFloat64()
		} else if residual {
			life *= rng.Float64()
		}
		out.Sessions = append(out.Sessions, Session{Arrival: at, Lifetime: max(100*time.Millisecond, time.Duration(life*1e9)), Class: class,
			Tenant: edition, Zone: centre, Client: rng.Uint64() | 1, Group: group, AlreadyOpen: residual && d.Stand})
	}
	// A group is a farm with its visitors: they come within some seconds of one another.
	group := func(at time.Duration, residual bool) {
		n, id := 1, uint64(0)
		if f.Group.Cost > 0 {
			id = rng.Uint64() | 1
			for f.Group.Size > 1 && rng.Float64() > 1/f.Group.Size && n < 1000 {
				n++
			}
		}
		edition := -1
		if len(uses) > 0 {
			edition = WeightedIndex(rng, uses)
		}
		centre := WeightedIndex(rng, places)
		for i := range n {
			t := at
			if i > 0 && !(residual && d.Stand) {
				t += time.Duration(rng.ExpFloat64() * 2 * float64(time.Second))
			}
			if t < d.Length {
				add(t, id, edition, centre, residual)
			}
		}
	}
	size := 1.0
	if f.Group.Cost > 0 {
		size = f.Group.Size
	}
	standing := int(d.Standing * (1 - d.Swing) / size)
	over := min(meanLife/3, d.Length.Seconds()/6)
	if d.Stand {
		over = 0
	}
	for range standing {
		group(time.Duration(rng.Float64()*over*float64(time.Second)), true)
	}
	top := d.Standing / size / meanLife * (1 + d.Swing)
	for t := rng.ExpFloat64() / top; t < d.Length.Seconds(); t += rng.ExpFloat64() / top {
		rate := 1 - d.Swing + 2*d.Swing*t/d.Length.Seconds()
		if rng.Float64()*(1+d.Swing) < rate {
			group(time.Duration(t*1e9), false)
		}
	}
	out.sort()
	return out
}

// Pick draws an index by weight.
func WeightedIndex(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := rng.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// Lognormal draws a factor of mean 1; spread is the standard deviation of its logarithm.
func Lognormal(rng *rand.Rand, spread float64) float64 {
	if spread == 0 {
		return 1
	}
	return math.Exp(spread*rng.NormFloat64() - spread*spread/2)
}

// Wander is a connection's load over time, in usual connections: a level that is the connection's own, and a swing about
// it that is drawn anew at times.
type LoadProcess struct {
	rng   *rand.Rand
	level float64
	class *fleet.Class
}

// NewWander draws a connection's level; told is its load where that is known.
func NewLoadProcess(seed uint64, c *fleet.Class, told float64) LoadProcess {
	w := LoadProcess{rng: rand.New(rand.NewPCG(seed, 5)), class: c}
	if w.level = told; told == 0 {
		w.level = c.Load * Lognormal(w.rng, c.LoadSpread)
	}
	return w
}

// Next is the load from now on and how long it lasts; 0: for ever.
func (w *LoadProcess) Next() (load float64, lasts time.Duration) {
	if w.class.LoadVariation == 0 {
		return w.level, 0
	}
	return w.level * Lognormal(w.rng, w.class.LoadVariation), max(10*time.Millisecond, time.Duration(w.rng.ExpFloat64()*float64(w.class.LoadChangeInterval)))
}
