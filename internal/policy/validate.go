package policy

import "fmt"

// Fault is one thing that is wrong with a document. Key is the path of the TOML key at fault, as in "class.0.aim";
// package config adds the file and line to it.
type Fault struct {
	Key     string
	Problem string // what was found and what is wanted, as operators read it
}

// faultList collects the faults of a document.
type faultList struct{ faults []Fault }

// addIf adds a fault where a condition holds.
func (l *faultList) addIf(wrong bool, key, format string, args ...any) {
	if wrong {
		l.faults = append(l.faults, Fault{Key: key, Problem: fmt.Sprintf(format, args...)})
	}
}

// Check finds everything that keeps a fleet from serving by a document. The messages name the TOML keys.
func (d *Document) Check() []Fault {
	var found faultList
	d.checkLimits(&found)
	d.checkClasses(&found)
	d.checkTenants(&found)
	d.checkBase(&found)
	d.checkRequirements(&found)
	if d.Failover != nil {
		d.Failover.check(&found, d.classNames())
	}
	return found.faults
}

func (d *Document) checkLimits(found *faultList) {
	found.addIf(d.Attempts < 1 || d.Attempts > MaxAttempts, "attempts",
		"attempts = %d: 1 to %d are wanted", d.Attempts, MaxAttempts)
	found.addIf(d.RetryAfter < 0 || d.RetryAfter > maxRetryAfter, "come_again",
		"come_again = %v: up to 1m is possible", d.RetryAfter)
	found.addIf(!isFraction(d.OverQuotaPriority), "over_share_worth",
		"over_share_worth = %v: a part from 0 to 1 is wanted", d.OverQuotaPriority)
}

func (d *Document) checkClasses(found *faultList) {
	found.addIf(len(d.Classes) == 0 || len(d.Classes) > maxClasses, "class",
		"%d classes: 1 to %d are wanted", len(d.Classes), maxClasses)
	seen := map[string]bool{}
	for i, class := range d.Classes {
		found.addIf(class.Name == "" || seen[class.Name], fmt.Sprintf("class.%d.name", i),
			"class %q: a name of its own is wanted", class.Name)
		class.check(found, fmt.Sprintf("class.%d", i))
		seen[class.Name] = true
	}
}

func (c Class) check(found *faultList, path string) {
	found.addIf(c.Deadline <= 0 || c.Deadline > maxDeadline, path+".patience",
		"class %q: patience = %v: a time over 0, up to 1h, is wanted", c.Name, c.Deadline)
	found.addIf(c.SetupObjective <= 0 || c.SetupObjective > c.Deadline, path+".aim",
		"class %q: aim = %v: a time over 0, up to the patience, is wanted", c.Name, c.SetupObjective)
	found.addIf(c.MessageObjective < 0, path+".message_aim",
		"class %q: message_aim = %v: 0, for none, or a time is wanted", c.Name, c.MessageObjective)
	valid := c.Priority >= 0 && c.Priority < maxPriority // false for NaN
	found.addIf(!valid, path+".worth",
		"class %q: worth = %v: a number of 0 or more is wanted", c.Name, c.Priority)
}

func (d *Document) checkTenants(found *faultList) {
	seen := map[string]bool{}
	for i, tenant := range d.Tenants {
		path := fmt.Sprintf("tenant.%d", i)
		found.addIf(tenant.Name == "" || seen[tenant.Name], path+".name",
			"tenant %q: a name of its own is wanted", tenant.Name)
		valid := tenant.Connections >= 0 && tenant.Rate >= 0 // false for NaN
		found.addIf(!valid, path, "tenant %q: connections and rate are 0, for none told, or more", tenant.Name)
		seen[tenant.Name] = true
	}
	found.addIf(len(d.Tenants) > maxTenants, "tenant", "%d tenants: %d at most", len(d.Tenants), maxTenants)
}

// checkBase finds faults of the base policy, which only counts where a class is served by it.
func (d *Document) checkBase(found *faultList) {
	used := false
	for _, class := range d.Classes {
		used = used || class.ServedByBase
	}
	if !used {
		return
	}
	found.addIf(d.Base.Attempts < 1 || d.Base.Deadline <= 0, "ground",
		"classes with without = \"ground\" need a [ground] with attempts and patience")
	found.addIf(d.Base.Attempts > d.Attempts, "ground.attempts",
		"[ground] attempts = %d: no more than attempts = %d are possible", d.Base.Attempts, d.Attempts)
	for _, class := range d.Classes {
		found.addIf(class.ServedByBase && d.Base.Deadline > class.Deadline, "ground.patience",
			"[ground] patience = %v: class %q has %v", d.Base.Deadline, class.Name, class.Deadline)
	}
}

func (d *Document) checkRequirements(found *faultList) {
	found.addIf(d.Requirements.Descriptors < 0 || d.Requirements.MemoryMB < 0, "needs",
		"[needs]: numbers of 0 or more are wanted")
}

func (r *FailoverRules) check(found *faultList, classes map[string]bool) {
	validLimit := r.UtilizationLimit > minUtilizationLimit && r.UtilizationLimit <= 1 // false for NaN, as validRamp is
	found.addIf(!validLimit, "plan.limit", "limit = %v: a part over 0.1, up to 1, is wanted", r.UtilizationLimit)
	validRamp := r.RecoveryRamp > 0 && r.RecoveryRamp <= 1
	found.addIf(!validRamp, "plan.ramp", "ramp = %v: a part over 0, up to 1, is wanted", r.RecoveryRamp)
	found.addIf(r.RecoveryDelay < minRecoveryDelay || r.RecoveryDelay > maxRecoveryDelay, "plan.hold",
		"hold = %v: 1s to 1h are possible", r.RecoveryDelay)
	for _, name := range r.RegionalClasses {
		found.addIf(!classes[name], "plan.stay", "stay: no class %q", name)
	}
	for i, distance := range r.RegionDistances {
		valid := distance.A != "" && distance.B != "" && distance.Cost >= minRegionCost // false for NaN
		found.addIf(!valid, fmt.Sprintf("far.%d", i),
			"[[far]]: between = [REGION, REGION] and a cost of 1 or more are wanted")
	}
}

func (d *Document) classNames() map[string]bool {
	names := map[string]bool{}
	for _, class := range d.Classes {
		names[class.Name] = true
	}
	return names
}

// isFraction says whether a value is from 0 to 1; NaN is not.
func isFraction(v float64) bool { return v >= 0 && v <= 1 }
