package config

import (
	"fmt"
	"time"

	"spurwinch/internal/config/tomlfile"
	"spurwinch/internal/policy"
)

// newestPolicyLevel is the newest level of policy documents that this program knows.
const newestPolicyLevel = 2

// policyKeyLevels maps keys that were added after level 1 to the level that added them.
var policyKeyLevels = map[string]int{"over_share_worth": 2, "needs": 2}

// policyFile is the TOML form of a policy document. The tags are its keys. The method document converts it to the terms
// of package policy.
type policyFile struct {
	Attempts          int                `toml:"attempts,omitzero"`
	RetryAfter        Duration           `toml:"come_again,omitzero"`
	OverQuotaPriority float64            `toml:"over_share_worth,omitzero"`
	Classes           []policyClass      `toml:"class"`
	Tenants           []policyTenant     `toml:"tenant,omitempty"`
	Base              policyBase         `toml:"ground,omitempty"`
	Requirements      policyRequirements `toml:"needs,omitempty"`
	Failover          *policyFailover    `toml:"plan,omitempty"`
	RegionDistances   []RegionDistance   `toml:"far,omitempty"`
}

type policyClass struct {
	Name             string   `toml:"name"`
	SetupObjective   Duration `toml:"aim,omitzero"`
	Deadline         Duration `toml:"patience,omitzero"`
	MessageObjective Duration `toml:"message_aim,omitzero"`
	Priority         float64  `toml:"worth,omitzero"`
	WithoutLease     string   `toml:"without,omitempty"` // withoutLeaseReject or withoutLeaseBase
}

// Values of the key "without": how a class is handled without a lease.
const (
	withoutLeaseReject = "refuse"
	withoutLeaseBase   = "ground"
)

// policyTenant holds the quota of a tenant over all nodes. 0 means unlimited.
type policyTenant struct {
	Name        string  `toml:"name"`
	Connections float64 `toml:"connections,omitzero"` // open connections
	Rate        float64 `toml:"rate,omitzero"`        // requests per second
}

type policyBase struct {
	Attempts int      `toml:"attempts,omitzero"`
	Deadline Duration `toml:"patience,omitzero"`
}

// policyRequirements holds the resources that a node must have. 0 means no requirement.
type policyRequirements struct {
	Descriptors int `toml:"descriptors,omitzero"` // file descriptors that the process may open
	MemoryMB    int `toml:"memory_mb,omitzero"`   // megabytes
}

type policyFailover struct {
	UtilizationLimit float64  `toml:"limit,omitzero"`
	RecoveryDelay    Duration `toml:"hold,omitzero"`
	RecoveryRamp     float64  `toml:"ramp,omitzero"`
	RegionalClasses  []string `toml:"stay,omitempty"`
}

// FleetPolicy holds the rules of policy changes, for a fleet that has its policy on the log.
type FleetPolicy struct {
	Window        Duration `toml:"window,omitzero"` // maximum time the previous policy stays in use after a decision
	AnswerTimeout Duration `toml:"answer,omitzero"` // time for members to acknowledge a change
}

// Rules returns the rules of changes in the terms of package policy.
func (p *FleetPolicy) Rules() policy.Rules {
	return policy.Rules{Window: time.Duration(p.Window), AnswerTimeout: time.Duration(p.AnswerTimeout)}
}

// check sets default values and checks the values.
func (p *FleetPolicy) check(file *tomlfile.File) {
	const minTime = 2 * time.Second
	tomlfile.Fill(&p.Window, Duration(5*time.Second))
	tomlfile.Fill(&p.AnswerTimeout, Duration(10*time.Second))
	if window := time.Duration(p.Window); window < minTime || window > 5*time.Minute {
		file.Fault("policy.window", "[policy] window = %q: must be between 2s and 5m", window)
	}
	if answer := time.Duration(p.AnswerTimeout); answer < minTime || answer > 10*time.Minute {
		file.Fault("policy.answer", "[policy] answer = %q: must be between 2s and 10m", answer)
	}
}

// ReadPolicy reads a policy document and checks it. Faults give name as the file. Keys that were added after the given
// level are reported as unknown, as a program of that level would do; with level 0, all keys are known. The error is a
// tomlfile.Faults.
func ReadPolicy(name string, text []byte, level int) (*policy.Document, error) {
	source := &policyFile{}
	file := tomlfile.Decode(name, text, source)
	if file.HasFaults() {
		return nil, file.Err()
	}
	checkLevel(file, level)
	source.check(file)
	if len(text) > policy.MaxTextBytes {
		file.Fault("", "%d bytes: must be at most %d", len(text), policy.MaxTextBytes)
	}
	document := source.document()
	for _, fault := range document.Check() {
		file.Fault(fault.Key, "%s", fault.Problem)
	}
	if err := file.Err(); err != nil {
		return nil, err
	}
	return document, nil
}

// checkLevel reports keys that were added after the given level.
func checkLevel(file *tomlfile.File, level int) {
	for key, since := range policyKeyLevels {
		if level > 0 && since > level && file.Has(key) {
			file.Fault(key, "unknown key %q", key)
		}
	}
}

// check sets default values and reports the faults that can't be detected in the converted policy.Document.
func (p *policyFile) check(file *tomlfile.File) {
	tomlfile.Fill(&p.Attempts, policy.MaxAttempts)
	tomlfile.Fill(&p.RetryAfter, Duration(time.Second))
	for i := range p.Classes {
		class := &p.Classes[i]
		switch class.WithoutLease {
		case "", withoutLeaseReject, withoutLeaseBase:
		default:
			file.Fault(fmt.Sprintf("class.%d.without", i),
				"class %q: without = %q: must be \"refuse\" or \"ground\"", class.Name, class.WithoutLease)
		}
		tomlfile.Fill(&class.Priority, 1)
	}
	if p.Failover == nil {
		if len(p.RegionDistances) > 0 {
			file.Fault("far.0", "[[far]] requires a [plan] table")
		}
		return
	}
	tomlfile.Fill(&p.Failover.UtilizationLimit, defaultUtilizationLimit)
	tomlfile.Fill(&p.Failover.RecoveryDelay, defaultRecoveryDelay)
	tomlfile.Fill(&p.Failover.RecoveryRamp, defaultRecoveryRamp)
	for i, distance := range p.RegionDistances {
		distance.checkRegions(file, fmt.Sprintf("far.%d", i))
	}
}

// document converts the file to the terms of package policy.
func (p *policyFile) document() *policy.Document {
	document := &policy.Document{
		Attempts:          p.Attempts,
		RetryAfter:        time.Duration(p.RetryAfter),
		OverQuotaPriority: p.OverQuotaPriority,
		Base:              policy.BasePolicy{Attempts: p.Base.Attempts, Deadline: time.Duration(p.Base.Deadline)},
		Requirements: policy.Requirements{
			Descriptors: p.Requirements.Descriptors, MemoryMB: p.Requirements.MemoryMB,
		},
	}
	for _, class := range p.Classes {
		document.Classes = append(document.Classes, policy.Class{
			Name:             class.Name,
			SetupObjective:   time.Duration(class.SetupObjective),
			Deadline:         time.Duration(class.Deadline),
			MessageObjective: time.Duration(class.MessageObjective),
			Priority:         class.Priority,
			ServedByBase:     class.WithoutLease == withoutLeaseBase,
		})
	}
	for _, tenant := range p.Tenants {
		document.Tenants = append(document.Tenants, policy.Tenant{
			Name: tenant.Name, Connections: tenant.Connections, Rate: tenant.Rate,
		})
	}
	if p.Failover != nil {
		document.Failover = p.Failover.rules(p.RegionDistances)
	}
	return document
}

// rules converts the rules of plans to the terms of package policy.
func (p *policyFailover) rules(distances []RegionDistance) *policy.FailoverRules {
	rules := &policy.FailoverRules{
		UtilizationLimit: p.UtilizationLimit,
		RecoveryRamp:     p.RecoveryRamp,
		RecoveryDelay:    time.Duration(p.RecoveryDelay),
		RegionalClasses:  p.RegionalClasses,
	}
	for _, distance := range distances {
		if len(distance.Between) == 2 { // otherwise check has reported a fault
			rules.RegionDistances = append(rules.RegionDistances, policy.RegionDistance{
				A: distance.Between[0], B: distance.Between[1], Cost: distance.Cost,
			})
		}
	}
	return rules
}
