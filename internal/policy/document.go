// Package policy decides how a fleet's policy changes: one document with a number, checked by all live members, decided once, in force by
// leases. Free of I/O; the agreed log carries its state, and time is a value.
package policy

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Document is what all nodes of a fleet do alike. Config reads it from TOML.
type Document struct {
	Attempts          int           // for one request, 1 to 4
	RetryAfter        time.Duration // advice for what is refused
	OverQuotaPriority float64       // part of its worth that a connection keeps beyond its tenant's share
	Classes           []Class
	Tenants           []Tenant
	Base              BasePolicy
	Requirements      Requirements
	Failover          *FailoverRules // nil: as the list of nodes says
}

// Class is a class of requests.
type Class struct {
	Name             string
	SetupObjective   time.Duration // wanted time of the set-up
	Deadline         time.Duration // of the whole set-up
	MessageObjective time.Duration
	Priority         float64
	ServedByBase     bool // without a lease it is served by the ground policy; else it is refused at once
}

// Tenant is a customer's share.
type Tenant struct {
	Name        string
	Connections float64
	Rate        float64
}

// BasePolicy is what a node without a lease serves by. It must be safe beside each document that may be in force meanwhile.
type BasePolicy struct {
	Attempts int
	Deadline time.Duration // the most that a request may take
}

// Requirements is the room that a node must have.
type Requirements struct {
	Descriptors int
	MemoryMB    int
}

// FailoverRules is the rules of the plans of zones.
type FailoverRules struct {
	Limit, Ramp     float64
	Hold            time.Duration
	RegionalClasses []string
	Far             []RegionDistance
}

// RegionDistance is the cost of the way between two regions.
type RegionDistance struct {
	A, B string
	Cost float64
}

const (
	// MostText bounds a document, in bytes.
	MostText = 32 << 10
	// MostAttempts is the most attempts that a request may take.
	MostAttempts = 4
	mostClasses  = 32
	mostTenants  = 256
)

// Digest tells documents apart.
func Digest(text []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(text)) }

// Fault is what is wrong with a document, and at which key.
type Fault struct{ Key, What string }

// Check finds what no fleet can go by.
func (d *Document) Check() (faults []Fault) {
	fault := func(bad bool, key, format string, args ...any) {
		if bad {
			faults = append(faults, Fault{key, fmt.Sprintf(format, args...)})
		}
	}
	fault(d.Attempts < 1 || d.Attempts > MostAttempts, "attempts", "attempts = %d: 1 to %d are wanted", d.Attempts, MostAttempts)
	fault(d.RetryAfter < 0 || d.RetryAfter > time.Minute, "come_again", "come_again = %v: up to 1m is possible", d.RetryAfter)
	fault(!(d.OverQuotaPriority >= 0 && d.OverQuotaPriority <= 1), "over_share_worth", "over_share_worth = %v: a part from 0 to 1 is wanted", d.OverQuotaPriority)
	fault(len(d.Classes) == 0 || len(d.Classes) > mostClasses, "class", "%d classes: 1 to %d are wanted", len(d.Classes), mostClasses)
	seen, grounded := map[string]bool{}, false
	for i, c := range d.Classes {
		at := fmt.Sprintf("class.%d", i)
		fault(c.Name == "" || seen[c.Name], at+".name", "class %q: a name of its own is wanted", c.Name)
		fault(c.Deadline <= 0 || c.Deadline > time.Hour, at+".patience", "class %q: patience = %v: a time over 0, up to 1h, is wanted", c.Name, c.Deadline)
		fault(c.SetupObjective <= 0 || c.SetupObjective > c.Deadline, at+".aim", "class %q: aim = %v: a time over 0, up to the patience, is wanted", c.Name, c.SetupObjective)
		fault(c.MessageObjective < 0, at+".message_aim", "class %q: message_aim = %v: 0, for none, or a time is wanted", c.Name, c.MessageObjective)
		fault(!(c.Priority >= 0 && c.Priority < 1e9), at+".worth", "class %q: worth = %v: a number of 0 or more is wanted", c.Name, c.Priority)
		seen[c.Name], grounded = true, grounded || c.ServedByBase
	}
	named := map[string]bool{}
	for i, t := range d.Tenants {
		at := fmt.Sprintf("tenant.%d", i)
		fault(t.Name == "" || named[t.Name], at+".name", "tenant %q: a name of its own is wanted", t.Name)
		fault(!(t.Connections >= 0 && t.Rate >= 0), at, "tenant %q: connections and rate are 0, for none told, or more", t.Name)
		named[t.Name] = true
	}
	fault(len(d.Tenants) > mostTenants, "tenant", "%d tenants: %d at most", len(d.Tenants), mostTenants)
	if grounded {
		fault(d.Base.Attempts < 1 || d.Base.Deadline <= 0, "ground", "classes with without = \"ground\" need a [ground] with attempts and patience")
		fault(d.Base.Attempts > d.Attempts, "ground.attempts", "[ground] attempts = %d: no more than attempts = %d are possible", d.Base.Attempts, d.Attempts)
		for _, c := range d.Classes {
			fault(c.ServedByBase && d.Base.Deadline > c.Deadline, "ground.patience", "[ground] patience = %v: class %q has %v", d.Base.Deadline, c.Name, c.Deadline)
		}
	}
	fault(d.Requirements.Descriptors < 0 || d.Requirements.MemoryMB < 0, "needs", "[needs]: numbers of 0 or more are wanted")
	if p := d.Failover; p != nil {
		fault(!(p.Limit > 0.1 && p.Limit <= 1), "plan.limit", "limit = %v: a part over 0.1, up to 1, is wanted", p.Limit)
		fault(!(p.Ramp > 0 && p.Ramp <= 1), "plan.ramp", "ramp = %v: a part over 0, up to 1, is wanted", p.Ramp)
		fault(p.Hold < time.Second || p.Hold > time.Hour, "plan.hold", "hold = %v: 1s to 1h are possible", p.Hold)
		for _, name := range p.RegionalClasses {
			fault(!seen[name], "plan.stay", "stay: no class %q", name)
		}
		for i, f := range p.Far {
			fault(f.A == "" || f.B == "" || !(f.Cost >= 1), fmt.Sprintf("far.%d", i), "[[far]]: between = [REGION, REGION] and a cost of 1 or more are wanted")
		}
	}
	return faults
}

// Safe says why a ground that some node may still serve by is not safe beside a document; empty: it is. A node by its ground must not do what
// the document in force forbids all others.
func (g BasePolicy) Safe(d *Document) string {
	if g.Attempts == 0 {
		return ""
	}
	if g.Attempts > d.Attempts {
		return fmt.Sprintf("a ground policy with %d attempts may still be in use: attempts = %d is less", g.Attempts, d.Attempts)
	}
	for _, c := range d.Classes {
		if g.Deadline > c.Deadline {
			return fmt.Sprintf("a ground policy with a patience of %v may still be in use: class %q has less, %v", g.Deadline, c.Name, c.Deadline)
		}
	}
	return ""
}

// NodeCapacity is what a node has.
type NodeCapacity struct{ Descriptors, MemoryMB int }

// Fits says why a node can't go by a document; empty: it can. 0 of a room: not told, and no reason.
func (d *Document) Fits(r NodeCapacity) string {
	switch {
	case r.Descriptors > 0 && d.Requirements.Descriptors > r.Descriptors:
		return fmt.Sprintf("[needs] descriptors = %d: this node has %d", d.Requirements.Descriptors, r.Descriptors)
	case r.MemoryMB > 0 && d.Requirements.MemoryMB > r.MemoryMB:
		return fmt.Sprintf("[needs] memory_mb = %d: this node has %d", d.Requirements.MemoryMB, r.MemoryMB)
	}
	return ""
}

// Diff tells in lines what differs between two documents.
func Diff(a, b *Document) (lines []string) {
	say := func(key string, x, y any) {
		if x, y := fmt.Sprint(x), fmt.Sprint(y); x != y {
			lines = append(lines, fmt.Sprintf("%s: %s -> %s", key, x, y))
		}
	}
	say("attempts", a.Attempts, b.Attempts)
	say("come_again", a.RetryAfter, b.RetryAfter)
	say("over_share_worth", a.OverQuotaPriority, b.OverQuotaPriority)
	say("ground.attempts", a.Base.Attempts, b.Base.Attempts)
	say("ground.patience", a.Base.Deadline, b.Base.Deadline)
	say("needs.descriptors", a.Requirements.Descriptors, b.Requirements.Descriptors)
	say("needs.memory_mb", a.Requirements.MemoryMB, b.Requirements.MemoryMB)
	say("plan", planText(a.Failover), planText(b.Failover))
	both(a.Classes, b.Classes, func(c Class) string { return "class " + c.Name }, classText, &lines)
	both(a.Tenants, b.Tenants, func(t Tenant) string { return "tenant " + t.Name }, tenantText, &lines)
	return lines
}

// The texts of a difference have names of their own: operators and their scripts read them, whatever the fields are called.

func planText(p *FailoverRules) string {
	if p == nil {
		return "as the list of nodes says"
	}
	var far []string
	for _, f := range p.Far {
		far = append(far, fmt.Sprintf("{A:%s B:%s Cost:%v}", f.A, f.B, f.Cost))
	}
	return fmt.Sprintf("{Limit:%v Ramp:%v Hold:%v Stay:%v Far:%v}", p.Limit, p.Ramp, p.Hold, p.RegionalClasses, far)
}

func classText(c Class) string {
	return fmt.Sprintf("{Name:%s Aim:%v Patience:%v MessageAim:%v Worth:%v Ground:%v}", c.Name, c.SetupObjective, c.Deadline, c.MessageObjective, c.Priority, c.ServedByBase)
}

func tenantText(t Tenant) string {
	return fmt.Sprintf("{Name:%s Connections:%v Rate:%v}", t.Name, t.Connections, t.Rate)
}

func both[T comparable](a, b []T, name, text func(T) string, lines *[]string) {
	find := func(in []T, n string) (T, bool) {
		i := slices.IndexFunc(in, func(x T) bool { return name(x) == n })
		if i < 0 {
			var none T
			return none, false
		}
		return in[i], true
	}
	for _, x := range a {
		if y, ok := find(b, name(x)); !ok {
			*lines = append(*lines, name(x)+": gone")
		} else if x != y {
			*lines = append(*lines, fmt.Sprintf("%s: %s -> %s", name(x), text(x), text(y)))
		}
	}
	for _, y := range b {
		if _, ok := find(a, name(y)); !ok {
			*lines = append(*lines, fmt.Sprintf("%s: new, %s", name(y), text(y)))
		}
	}
}
