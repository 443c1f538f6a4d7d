package policy

import "fmt"

// Fault is one error in a document. Key is the path of the invalid TOML key, for example "class.0.aim". Package config
// adds the file and line.
type Fault struct {
	Key     string
	Problem string // the invalid value and what is allowed, for operators
}

// faultList collects the faults of a document.
type faultList struct{ faults []Fault }

// addIf adds a fault if the value is invalid.
func (l *faultList) addIf(invalid bool, key, format string, args ...any) {
	if invalid {
		l.faults = append(l.faults, Fault{Key: key, Problem: fmt.Sprintf(format, args...)})
	}
}

// Check returns all faults that prevent a fleet from applying a document. The messages name the TOML keys.
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
		"attempts = %d: must be between 1 and %d", d.Attempts, MaxAttempts)
	found.addIf(d.RetryAfter < 0 || d.RetryAfter > maxRetryAfter, "come_again",
		"come_again = %v: must be between 0 and 1m", d.RetryAfter)
	found.addIf(!isFraction(d.OverQuotaPriority), "over_share_worth",
		"over_share_worth = %v: must be a fraction between 0 and 1", d.OverQuotaPriority)
}

func (d *Document) checkClasses(found *faultList) {
	found.addIf(len(d.Classes) == 0 || len(d.Classes) > maxClasses, "class",
		"%d classes: must be between 1 and %d", len(d.Classes), maxClasses)
	seen := map[string]bool{}
	for i, class := range d.Classes {
		found.addIf(class.Name == "" || seen[class.Name], fmt.Sprintf("class.%d.name", i),
			"class %q: the name must be unique and not empty", class.Name)
		class.check(found, fmt.Sprintf("class.%d", i))
		seen[class.Name] = true
	}
}

func (c Class) check(found *faultList, path string) {
	found.addIf(c.Deadline <= 0 || c.Deadline > maxDeadline, path+".patience",
		"class %q: patience = %v: must be greater than 0 and at most 1h", c.Name, c.Deadline)
	found.addIf(c.SetupObjective <= 0 || c.SetupObjective > c.Deadline, path+".aim",
		"class %q: aim = %v: must be greater than 0 and at most the patience", c.Name, c.SetupObjective)
	found.addIf(c.MessageObjective < 0, path+".message_aim",
		"class %q: message_aim = %v: must be 0 (no aim) or greater", c.Name, c.MessageObjective)
	valid := c.Priority >= 0 && c.Priority < maxPriority // false for NaN
	found.addIf(!valid, path+".worth",
		"class %q: worth = %v: must be at least 0 and less than 1e9", c.Name, c.Priority)
}

func (d *Document) checkTenants(found *faultList) {
	seen := map[string]bool{}
	for i, tenant := range d.Tenants {
		path := fmt.Sprintf("tenant.%d", i)
		found.addIf(tenant.Name == "" || seen[tenant.Name], path+".name",
			"tenant %q: the name must be unique and not empty", tenant.Name)
		valid := tenant.Connections >= 0 && tenant.Rate >= 0 // false for NaN
		found.addIf(!valid, path, "tenant %q: connections and rate must be 0 (unlimited) or greater", tenant.Name)
		seen[tenant.Name] = true
	}
	found.addIf(len(d.Tenants) > maxTenants, "tenant", "%d tenants: must be at most %d", len(d.Tenants), maxTenants)
}

// checkBase checks the base policy, unless all classes are rejected without a lease. The base policy is then not used.
func (d *Document) checkBase(found *faultList) {
	used := false
	for _, class := range d.Classes {
		used = used || class.ServedByBase
	}
	if !used {
		return
	}
	noAttempts, noDeadline := d.Base.Attempts < 1, d.Base.Deadline <= 0
	const problem = "a class with without = \"ground\" requires a [ground] table with attempts and patience"
	found.addIf(noAttempts && noDeadline, "ground", problem)
	found.addIf(noAttempts && !noDeadline, "ground.attempts", problem)
	found.addIf(noDeadline && !noAttempts, "ground.patience", problem)
	found.addIf(d.Base.Attempts > d.Attempts, "ground.attempts",
		"[ground] attempts = %d: must be at most attempts = %d", d.Base.Attempts, d.Attempts)
	for _, class := range d.Classes {
		found.addIf(class.ServedByBase && d.Base.Deadline > class.Deadline, "ground.patience",
			"[ground] patience = %v: must be at most the patience of class %q, %v",
			d.Base.Deadline, class.Name, class.Deadline)
	}
}

func (d *Document) checkRequirements(found *faultList) {
	found.addIf(d.Requirements.Descriptors < 0 || d.Requirements.MemoryMB < 0, "needs",
		"[needs]: descriptors and memory_mb must be 0 or greater")
}

func (r *FailoverRules) check(found *faultList, classes map[string]bool) {
	validLimit := r.UtilizationLimit > minUtilizationLimit && r.UtilizationLimit <= 1 // false for NaN, like validRamp
	found.addIf(!validLimit, "plan.limit", "limit = %v: must be greater than 0.1 and at most 1", r.UtilizationLimit)
	validRamp := r.RecoveryRamp > 0 && r.RecoveryRamp <= 1
	found.addIf(!validRamp, "plan.ramp", "ramp = %v: must be greater than 0 and at most 1", r.RecoveryRamp)
	found.addIf(r.RecoveryDelay < minRecoveryDelay || r.RecoveryDelay > maxRecoveryDelay, "plan.hold",
		"hold = %v: must be between 1s and 1h", r.RecoveryDelay)
	for _, name := range r.RegionalClasses {
		found.addIf(!classes[name], "plan.stay", "stay: no class %q", name)
	}
	for i, distance := range r.RegionDistances {
		const problem = "[[far]]: between = [REGION, REGION] and a cost of 1 or more are required"
		path := fmt.Sprintf("far.%d", i)
		found.addIf(distance.A == "" || distance.B == "", path+".between", problem)
		validCost := distance.Cost >= minRegionCost // false for NaN
		found.addIf(!validCost, path+".cost", problem)
	}
}

func (d *Document) classNames() map[string]bool {
	names := map[string]bool{}
	for _, class := range d.Classes {
		names[class.Name] = true
	}
	return names
}

// isFraction reports whether a value is between 0 and 1. It returns false for NaN.
func isFraction(v float64) bool { return v >= 0 && v <= 1 }
