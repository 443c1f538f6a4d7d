package config

import (
	"fmt"
	"time"

	"spurwinch/internal/policy"
	"spurwinch/internal/tomlfile"
)

// policyLevel is the newest level of documents that this program knows.
const policyLevel = 2

// policyKeys are keys by the level that they came with, where that is not the first.
var policyKeys = map[string]int{"over_share_worth": 2, "needs": 2}

// policyFile is a policy document as it is written. The tags are its keys; documentFrom maps them to the terms of
// package policy.
type policyFile struct {
	Attempts       int            `toml:"attempts,omitzero"`
	ComeAgain      Duration       `toml:"come_again,omitzero"`
	OverShareWorth float64        `toml:"over_share_worth,omitzero"`
	Classes        []policyClass  `toml:"class"`
	Tenants        []policyTenant `toml:"tenant,omitempty"`
	Ground         policyGround   `toml:"ground,omitempty"`
	Needs          policyNeeds    `toml:"needs,omitempty"`
	Plan           *policyPlan    `toml:"plan,omitempty"`
	Far            []FleetFar     `toml:"far,omitempty"`
}

type policyClass struct {
	Name       string   `toml:"name"`
	Aim        Duration `toml:"aim,omitzero"`
	Patience   Duration `toml:"patience,omitzero"`
	MessageAim Duration `toml:"message_aim,omitzero"`
	Worth      float64  `toml:"worth,omitzero"`
	Without    string   `toml:"without,omitempty"` // what is done without a lease: one of the values below
}

// Values of a class's key "without".
const (
	withoutRefuse = "refuse"
	withoutGround = "ground"
)

type policyTenant struct {
	Name        string  `toml:"name"`
	Connections float64 `toml:"connections,omitzero"`
	Rate        float64 `toml:"rate,omitzero"`
}

type policyGround struct {
	Attempts int      `toml:"attempts,omitzero"`
	Patience Duration `toml:"patience,omitzero"`
}

type policyNeeds struct {
	Descriptors int `toml:"descriptors,omitzero"`
	MemoryMB    int `toml:"memory_mb,omitzero"`
}

type policyPlan struct {
	Limit float64  `toml:"limit,omitzero"`
	Hold  Duration `toml:"hold,omitzero"`
	Ramp  float64  `toml:"ramp,omitzero"`
	Stay  []string `toml:"stay,omitempty"`
}

// FleetPolicy says that the fleet has its policy on the log.
type FleetPolicy struct {
	Window Duration `toml:"window,omitzero"` // after a decision the policy before it is in use for so long at most
	Answer Duration `toml:"answer,omitzero"` // members have so long to acknowledge a change
}

// Rules are the rules of changes as package policy has them.
func (p *FleetPolicy) Rules() policy.Rules {
	return policy.Rules{Window: time.Duration(p.Window), AnswerTimeout: time.Duration(p.Answer)}
}

func (p *FleetPolicy) check(file *tomlfile.File) {
	const shortest = 2 * time.Second
	tomlfile.Fill(&p.Window, Duration(5*time.Second))
	tomlfile.Fill(&p.Answer, Duration(10*time.Second))
	if window := time.Duration(p.Window); window < shortest || window > 5*time.Minute {
		file.Fault("policy.window", "[policy] window = %q: 2s to 5m are possible", window)
	}
	if answer := time.Duration(p.Answer); answer < shortest || answer > 10*time.Minute {
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
	if len(text) > policy.MostText {
		file.Fault("", "%d bytes: %d at most", len(text), policy.MostText)
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

// check sets the usual values, and finds what the document's own check can't see.
func (p *policyFile) check(file *tomlfile.File) {
	tomlfile.Fill(&p.Attempts, policy.MostAttempts)
	tomlfile.Fill(&p.ComeAgain, Duration(time.Second))
	for i := range p.Classes {
		class := &p.Classes[i]
		if class.Without != "" && class.Without != withoutRefuse && class.Without != withoutGround {
			file.Fault(fmt.Sprintf("class.%d.without", i),
				"class %q: without = %q: \"refuse\" or \"ground\" is wanted", class.Name, class.Without)
		}
		tomlfile.Fill(&class.Worth, 1)
	}
	if p.Plan == nil {
		if len(p.Far) > 0 {
			file.Fault("far.0", "[[far]] without [plan]: the two go together")
		}
		return
	}
	tomlfile.Fill(&p.Plan.Limit, 0.85)
	tomlfile.Fill(&p.Plan.Hold, Duration(4*time.Second))
	tomlfile.Fill(&p.Plan.Ramp, 0.2)
	for i, far := range p.Far {
		if len(far.Between) != 2 {
			file.Fault(fmt.Sprintf("far.%d", i), farFormat)
		}
	}
}

// document maps the file's keys to the terms of package policy.
func (p *policyFile) document() *policy.Document {
	document := &policy.Document{
		Attempts:          p.Attempts,
		RetryAfter:        time.Duration(p.ComeAgain),
		OverQuotaPriority: p.OverShareWorth,
		Base:              policy.BasePolicy{Attempts: p.Ground.Attempts, Deadline: time.Duration(p.Ground.Patience)},
		Requirements:      policy.Requirements{Descriptors: p.Needs.Descriptors, MemoryMB: p.Needs.MemoryMB},
	}
	for _, class := range p.Classes {
		document.Classes = append(document.Classes, policy.Class{
			Name:             class.Name,
			SetupObjective:   time.Duration(class.Aim),
			Deadline:         time.Duration(class.Patience),
			MessageObjective: time.Duration(class.MessageAim),
			Priority:         class.Worth,
			ServedByBase:     class.Without == withoutGround,
		})
	}
	for _, tenant := range p.Tenants {
		document.Tenants = append(document.Tenants, policy.Tenant{
			Name: tenant.Name, Connections: tenant.Connections, Rate: tenant.Rate,
		})
	}
	if p.Plan != nil {
		document.Failover = p.Plan.rules(p.Far)
	}
	return document
}

func (p *policyPlan) rules(distances []FleetFar) *policy.FailoverRules {
	rules := &policy.FailoverRules{Limit: p.Limit, Ramp: p.Ramp, Hold: time.Duration(p.Hold), RegionalClasses: p.Stay}
	for _, far := range distances {
		if len(far.Between) == 2 { // else a fault was noted
			rules.Far = append(rules.Far, policy.RegionDistance{A: far.Between[0], B: far.Between[1], Cost: far.Cost})
		}
	}
	return rules
}
