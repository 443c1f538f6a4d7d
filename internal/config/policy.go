package config

import (
	"fmt"
	"time"

	"spurwinch/internal/config/tomlfile"
	"spurwinch/internal/policy"
)

// policyLevel is the newest level of documents that this program knows.
const policyLevel = 2

// policyKeys are keys by the level that they came with, where that is not the first.
var policyKeys = map[string]int{"over_share_worth": 2, "needs": 2}

// policyFile is a policy document as it is written. The tags are its keys; the method document maps them to the terms
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
	WithoutLease     string   `toml:"without,omitempty"` // what is done without a lease: one of the values below
}

// Values of a class's key "without".
const (
	withoutLeaseReject = "refuse"
	withoutLeaseBase   = "ground"
)

type policyTenant struct {
	Name        string  `toml:"name"`
	Connections float64 `toml:"connections,omitzero"`
	Rate        float64 `toml:"rate,omitzero"`
}

type policyBase struct {
	Attempts int      `toml:"attempts,omitzero"`
	Deadline Duration `toml:"patience,omitzero"`
}

type policyRequirements struct {
	Descriptors int `toml:"descriptors,omitzero"`
	MemoryMB    int `toml:"memory_mb,omitzero"`
}

type policyFailover struct {
	UtilizationLimit float64  `toml:"limit,omitzero"`
	RecoveryDelay    Duration `toml:"hold,omitzero"`
	RecoveryRamp     float64  `toml:"ramp,omitzero"`
	RegionalClasses  []string `toml:"stay,omitempty"`
}

// FleetPolicy says that the fleet has its policy on the log.
type FleetPolicy struct {
	Window        Duration `toml:"window,omitzero"` // for which the policy before a decision stays in use at most
	AnswerTimeout Duration `toml:"answer,omitzero"` // for members to acknowledge a change
}

// Rules are the rules of changes as package policy has them.
func (p *FleetPolicy) Rules() policy.Rules {
	return policy.Rules{Window: time.Duration(p.Window), AnswerTimeout: time.Duration(p.AnswerTimeout)}
}

// check sets the values of keys that the file leaves out, and checks those that it has.
func (p *FleetPolicy) check(file *tomlfile.File) {
	const shortest = 2 * time.Second
	tomlfile.Fill(&p.Window, Duration(5*time.Second))
	tomlfile.Fill(&p.AnswerTimeout, Duration(10*time.Second))
	if window := time.Duration(p.Window); window < shortest || window > 5*time.Minute {
		file.Fault("policy.window", "[policy] window = %q: 2s to 5m are possible", window)
	}
	if answer := time.Duration(p.AnswerTimeout); answer < shortest || answer > 10*time.Minute {
		file.Fault("policy.answer", "[policy] answer = %q: 2s to 10m are possible", answer)
	}
}

// ReadPolicy reads a policy document and checks it. name stands for it in faults; a key that came with a level over
// level is unknown, as to a program of that version. 0: all keys are known. The error is a tomlfile.Faults.
func ReadPolicy(name string, text []byte, level int) (*policy.Document, error) {
	source := &policyFile{}
	file := tomlfile.Decode(name, text, source)
	if file.Broken() {
		return nil, file.Err()
	}
	checkLevel(file, level)
	source.check(file)
	if len(text) > policy.MaxTextBytes {
		file.Fault("", "%d bytes: %d at most", len(text), policy.MaxTextBytes)
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

// checkLevel finds keys that came with a later level.
func checkLevel(file *tomlfile.File, level int) {
	for key, since := range policyKeys {
		if level > 0 && since > level && file.Has(key) {
			file.Fault(key, "unknown key %q", key)
		}
	}
}

// check sets the values of keys that the document leaves out, and finds what the document's own check can't see.
func (p *policyFile) check(file *tomlfile.File) {
	tomlfile.Fill(&p.Attempts, policy.MaxAttempts)
	tomlfile.Fill(&p.RetryAfter, Duration(time.Second))
	for i := range p.Classes {
		class := &p.Classes[i]
		switch class.WithoutLease {
		case "", withoutLeaseReject, withoutLeaseBase:
		default:
			file.Fault(fmt.Sprintf("class.%d.without", i),
				"class %q: without = %q: \"refuse\" or \"ground\" is wanted", class.Name, class.WithoutLease)
		}
		tomlfile.Fill(&class.Priority, 1)
	}
	if p.Failover == nil {
		if len(p.RegionDistances) > 0 {
			file.Fault("far.0", "[[far]] without [plan]: the two go together")
		}
		return
	}
	tomlfile.Fill(&p.Failover.UtilizationLimit, defaultUtilizationLimit)
	tomlfile.Fill(&p.Failover.RecoveryDelay, defaultRecoveryDelay)
	tomlfile.Fill(&p.Failover.RecoveryRamp, defaultRecoveryRamp)
	for i, far := range p.RegionDistances {
		if len(far.Between) != 2 {
			file.Fault(fmt.Sprintf("far.%d", i), farFormat)
		}
	}
}

// document maps the file's keys to the terms of package policy.
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

func (p *policyFailover) rules(distances []RegionDistance) *policy.FailoverRules {
	rules := &policy.FailoverRules{
		UtilizationLimit: p.UtilizationLimit,
		RecoveryRamp:     p.RecoveryRamp,
		RecoveryDelay:    time.Duration(p.RecoveryDelay),
		RegionalClasses:  p.RegionalClasses,
	}
	for _, far := range distances {
		if len(far.Between) == 2 { // else a fault was noted
			rules.RegionDistances = append(rules.RegionDistances, policy.RegionDistance{
				A: far.Between[0], B: far.Between[1], Cost: far.Cost,
			})
		}
	}
	return rules
}
