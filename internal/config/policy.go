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

type policyFile struct {
	Attempts       int      `toml:"attempts,omitzero"`
	ComeAgain      Duration `toml:"come_again,omitzero"`
	OverShareWorth float64  `toml:"over_share_worth,omitzero"`
	Classes        []struct {
		Name       string   `toml:"name"`
		Aim        Duration `toml:"aim,omitzero"`
		Patience   Duration `toml:"patience,omitzero"`
		MessageAim Duration `toml:"message_aim,omitzero"`
		Worth      float64  `toml:"worth,omitzero"`
		Without    string   `toml:"without,omitempty"` // a lease: "refuse" or "ground"
	} `toml:"class"`
	Tenants []struct {
		Name        string  `toml:"name"`
		Connections float64 `toml:"connections,omitzero"`
		Rate        float64 `toml:"rate,omitzero"`
	} `toml:"tenant,omitempty"`
	Ground struct {
		Attempts int      `toml:"attempts,omitzero"`
		Patience Duration `toml:"patience,omitzero"`
	} `toml:"ground,omitempty"`
	Needs struct {
		Descriptors int `toml:"descriptors,omitzero"`
		MemoryMB    int `toml:"memory_mb,omitzero"`
	} `toml:"needs,omitempty"`
	Plan *struct {
		Limit float64  `toml:"limit,omitzero"`
		Hold  Duration `toml:"hold,omitzero"`
		Ramp  float64  `toml:"ramp,omitzero"`
		Stay  []string `toml:"stay,omitempty"`
	} `toml:"plan,omitempty"`
	Far []FleetFar `toml:"far,omitempty"`
}

// FleetPolicy says that the fleet has its policy on the log.
type FleetPolicy struct {
	Window Duration `toml:"window,omitzero"` // after a decision the policy before it is in use so long at most
	Answer Duration `toml:"answer,omitzero"` // members have so long to answer a check
}

// Rules are the same as the policy's package has them.
func (p *FleetPolicy) Rules() policy.Rules {
	return policy.Rules{Window: time.Duration(p.Window), AnswerTimeout: time.Duration(p.Answer)}
}

func (p *FleetPolicy) check(f *tomlfile.File) {
	tomlfile.Fill(&p.Window, Duration(5*time.Second))
	tomlfile.Fill(&p.Answer, Duration(10*time.Second))
	if t := time.Duration(p.Window); t < 2*time.Second || t > 5*time.Minute {
		f.Fault("policy.window", "[policy] window = %q: 2s to 5m are possible", t)
	}
	if t := time.Duration(p.Answer); t < 2*time.Second || t > 10*time.Minute {
		f.Fault("policy.answer", "[policy] answer = %q: 2s to 10m are possible", t)
	}
}

// ReadPolicy reads a policy's document and checks it. name stands for it in faults; a key that came with a level over level is unknown, as to a
// program of that version. 0: all keys are known.
func ReadPolicy(name string, text []byte, level int) (*policy.Document, error) {
	p := &policyFile{}
	f := tomlfile.Decode(name, text, p)
	if f.Broken() {
		return nil, f.Err()
	}
	for key, since := range policyKeys {
		if level > 0 && since > level && f.Has(key) {
			f.Fault(key, "unknown key %q", key)
		}
	}
	tomlfile.Fill(&p.Attempts, policy.MostAttempts)
	tomlfile.Fill(&p.ComeAgain, Duration(time.Second))
	d := &policy.Document{Attempts: p.Attempts, RetryAfter: time.Duration(p.ComeAgain), OverQuotaPriority: p.OverShareWorth,
		Base:         policy.BasePolicy{Attempts: p.Ground.Attempts, Deadline: time.Duration(p.Ground.Patience)},
		Requirements: policy.Requirements{Descriptors: p.Needs.Descriptors, MemoryMB: p.Needs.MemoryMB}}
	for i, c := range p.Classes {
		if c.Without != "" && c.Without != "refuse" && c.Without != "ground" {
			f.Fault(fmt.Sprintf("class.%d.without", i), "class %q: without = %q: \"refuse\" or \"ground\" is wanted", c.Name, c.Without)
		}
		tomlfile.Fill(&c.Worth, 1)
		d.Classes = append(d.Classes, policy.Class{Name: c.Name, SetupObjective: time.Duration(c.Aim), Deadline: time.Duration(c.Patience),
			MessageObjective: time.Duration(c.MessageAim), Priority: c.Worth, ServedByBase: c.Without == "ground"})
	}
	for _, t := range p.Tenants {
		d.Tenants = append(d.Tenants, policy.Tenant{Name: t.Name, Connections: t.Connections, Rate: t.Rate})
	}
	if p.Plan != nil {
		tomlfile.Fill(&p.Plan.Limit, 0.85)
		tomlfile.Fill(&p.Plan.Hold, Duration(4*time.Second))
		tomlfile.Fill(&p.Plan.Ramp, 0.2)
		d.Failover = &policy.FailoverRules{Limit: p.Plan.Limit, Ramp: p.Plan.Ramp, Hold: time.Duration(p.Plan.Hold), RegionalClasses: p.Plan.Stay}
		for i, x := range p.Far {
			if len(x.Between) != 2 {
				f.Fault(fmt.Sprintf("far.%d", i), "[[far]]: between = [REGION, REGION] and a cost of 1 or more are wanted")
				continue
			}
			d.Failover.Far = append(d.Failover.Far, policy.RegionDistance{A: x.Between[0], B: x.Between[1], Cost: x.Cost})
		}
	} else if len(p.Far) > 0 {
		f.Fault("far.0", "[[far]] without [plan]: the two go together")
	}
	if len(text) > policy.MostText {
		f.Fault("", "%d bytes: %d at most", len(text), policy.MostText)
	}
	for _, x := range d.Check() {
		f.Fault(x.Key, "%s", x.Problem)
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return d, nil
}
