// Package simwire turns the simulator's JSON lines into the types of package choice and back. It decides nothing.
package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"

	"spurwinch/choice"
)

type setup struct {
	AZ         string      `json:"az"`
	Customers  []customer  `json:"customers"`
	Domain     domain      `json:"domain"`
	GroupSize  int         `json:"groupSize"`
	Index      int         `json:"index"`
	Invariants invariants  `json:"invariants"`
	LoadReport report      `json:"loadReport"`
	Membership string      `json:"membershipMode"`
	OverShare  float64     `json:"overShareWorth"`
	Limits     limits      `json:"policyLimits"`
	Profiles   []profile   `json:"profiles"`
	RoundS     float64     `json:"roundS"`
	Tariffs    tariffTable `json:"tariffs"`
	Weights    string      `json:"weightSource"`
	WorthBy    string      `json:"worthBy"`
}

type customer struct {
	Name     string  `json:"name"`
	QuotaRps float64 `json:"quotaRps"`
	Fraction float64 `json:"fraction"`
}

type domain struct {
	Groups      bool      `json:"groups"`
	MessageAimS []float64 `json:"messageAimS"`
	Mode        string    `json:"mode"`
	ParkS       float64   `json:"parkS"`
	TellsDelay  bool      `json:"tellsDelay"`
	TenantQuota []float64 `json:"tenantQuotaConnections"`
}

type invariants struct {
	AnswerSlackS       float64 `json:"answerSlackS"`
	AskWithinS         float64 `json:"askWithinS"`
	ColdShare          float64 `json:"coldShare"`
	FallMultiple       float64 `json:"fallMultiple"`
	FallS              float64 `json:"fallS"`
	RampTimeS          float64 `json:"rampTimeS"`
	StopSendingWithinS float64 `json:"stopSendingWithinS"`
}

type report struct {
	Fields []string `json:"fields"`
	Via    string   `json:"via"`
}

type limits struct {
	ConnectTimeoutS float64 `json:"connectTimeoutS"`
	MaxRetryAfterS  float64 `json:"maxRetryAfterS"`
	MayCancel       bool    `json:"mayCancel"`
	MayProbe        bool    `json:"mayProbe"`
	MayTell         bool    `json:"mayTell"`
	RetryAfter      bool    `json:"retryAfter"`
	SecondCopies    bool    `json:"secondCopies"`
	SendCap         int     `json:"sendCap"`
}

type profile struct {
	AimS         float64 `json:"aimS"`
	DedupScope   string  `json:"dedupScope"`
	DedupWindowS float64 `json:"dedupWindowS"`
	GiveUpS      float64 `json:"giveUpS"`
	Idempotency  string  `json:"idempotency"`
	Name         string  `json:"name"`
	Value        float64 `json:"value"`
}

type tariffTable struct {
	CrossZone float64 `json:"crossZone"`
	LateFail  float64 `json:"lateFail"`
	Moves     float64 `json:"moves"`
	Peer      float64 `json:"peer"`
	Probe     float64 `json:"probe"`
	Waste     float64 `json:"waste"`
}

var (
	repeats  = map[string]choice.Idempotency{"safe": choice.Idempotent, "keyed": choice.IdempotentByKey, "unsafe": choice.NotIdempotent}
	scopes   = map[string]choice.Scope{"": choice.ScopeAll, "all": choice.ScopeAll, "zone": choice.ScopeZone, "cell": choice.ScopeCell}
	channels = map[string]choice.ReportSource{"": choice.NoReports, "off": choice.NoReports, "on_probe": choice.HealthCheckReports, "inline": choice.AllReports}
	sizes    = map[string]choice.SizeKind{"": choice.NoSize, "off": choice.NoSize, "nominal": choice.NominalSize, "rough": choice.NominalSize, "live": choice.LiveSize}
	fields   = map[string]choice.ReportField{"x0": choice.Load, "x1": choice.Backlog, "outstanding": choice.InFlight, "backlog": choice.Queue,
		"utilization": choice.Utilization, "recent_ms": choice.Latency, "throughput": choice.Throughput, "errors_per_s": choice.ErrorRate}
)

// seconds turns the wire's seconds into a duration; what no duration can hold is cut to the longest one.
func seconds(s float64) time.Duration {
	switch {
	case math.IsNaN(s):
		return 0
	case s > 9e9:
		return math.MaxInt64
	case s < -9e9:
		return math.MinInt64
	}
	return time.Duration(math.Round(s*1e6)) * time.Microsecond
}

// Settings is a setup object: what the module is told, and the names under which others speak of it.
type Settings struct {
	choice.Settings
	ClassByName, TenantByName map[string]int
	ReportFields              []string // the names of a load report's values, in order
}

// DecodeSettings reads a setup object, as the simulator and the configuration of a real node hold it. A key that belongs
// there and is missing is a fault, never a zero.
func DecodeSettings(raw json.RawMessage) (Settings, error) {
	var in setup
	var any any
	if len(raw) == 0 {
		return Settings{}, errors.New("setup is missing")
	}
	if err := json.Unmarshal(raw, &any); err != nil {
		return Settings{}, fmt.Errorf("setup: %w", err)
	}
	if err := complete(any, reflect.TypeOf(in), ""); err != nil {
		return Settings{}, fmt.Errorf("setup: %w", err)
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return Settings{}, fmt.Errorf("setup: %w", err)
	}
	if err := in.check(); err != nil {
		return Settings{}, fmt.Errorf("setup: %w", err)
	}
	s, classes, tenants, err := settings(in)
	return Settings{s, classes, tenants, in.LoadReport.Fields}, err
}

// complete checks that a value has all keys of a type.
func complete(v any, t reflect.Type, path string) error {
	switch t.Kind() {
	case reflect.Struct:
		m, ok := v.(map[string]any)
		if !ok {
			return fmt.Errorf("%s is no object", strings.TrimPrefix(path, "."))
		}
		for i := range t.NumField() {
			key := t.Field(i).Tag.Get("json")
			in, ok := m[key]
			if !ok || in == nil {
				return fmt.Errorf("%s is missing: a value of its own is wanted", strings.TrimPrefix(path+"."+key, "."))
			}
			if err := complete(in, t.Field(i).Type, path+"."+key); err != nil {
				return err
			}
		}
	case reflect.Slice:
		list, ok := v.([]any)
		if !ok {
			return fmt.Errorf("%s is no list", strings.TrimPrefix(path, "."))
		}
		for i, in := range list {
			if err := complete(in, t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// check finds values that no node can serve by.
func (in *setup) check() error {
	switch {
	case len(in.Profiles) == 0:
		return errors.New("no request class: profiles needs one")
	case in.Limits.SendCap <= 0:
		return fmt.Errorf("policyLimits.sendCap is %d: 1 attempt or more is wanted", in.Limits.SendCap)
	case in.GroupSize < 1 || in.Index < 0 || in.Index >= in.GroupSize:
		return fmt.Errorf("groupSize is %d and index %d: a number of nodes, and this one's among them from 0, are wanted", in.GroupSize, in.Index)
	}
	seen := map[string]bool{}
	for i, p := range in.Profiles {
		at := fmt.Sprintf("profiles[%d] (%q)", i, p.Name)
		switch {
		case p.Name == "" || seen[p.Name]:
			return fmt.Errorf("%s: a name of its own is wanted", at)
		case !(p.GiveUpS > 0):
			return fmt.Errorf("%s: giveUpS is %v: a deadline over 0 is wanted", at, p.GiveUpS)
		case !(p.AimS > 0):
			return fmt.Errorf("%s: aimS is %v: a time over 0 is wanted", at, p.AimS)
		case p.Value < 0:
			return fmt.Errorf("%s: value is %v: a worth of 0 or more is wanted", at, p.Value)
		}
		seen[p.Name] = true
	}
	for i, c := range in.Customers {
		if c.Name == "" || seen["\x00"+c.Name] {
			return fmt.Errorf("customers[%d] (%q): a name of its own is wanted", i, c.Name)
		}
		seen["\x00"+c.Name] = true
	}
	return nil
}

// After puts the settings behind those in force: classes and tenants keep their indices by name, new ones come behind,
// and one that is not named any more stays in its place as a former one, which has no name to be found by.
func (s Settings) After(old Settings) Settings {
	classes := slices.Clone(old.Classes)
	for i := range classes {
		classes[i].Removed = true
	}
	tenants := slices.Clone(old.Tenants)
	for i, t := range tenants {
		tenants[i] = choice.Tenant{Name: t.Name} // without a share
	}
	s.Classes, s.ClassByName = behind(classes, s.Classes, func(c choice.Class) string { return c.Name })
	s.Tenants, s.TenantByName = behind(tenants, s.Tenants, func(t choice.Tenant) string { return t.Name })
	return s
}

// behind puts each of more in the place of its name in table, or behind it, and says where they are.
func behind[T any](table, more []T, name func(T) string) ([]T, map[string]int) {
	at := map[string]int{}
	for _, m := range more {
		i := slices.IndexFunc(table, func(o T) bool { return name(o) == name(m) })
		if i < 0 {
			i, table = len(table), append(table, m)
		}
		table[i], at[name(m)] = m, i
	}
	return table, at
}

// settings reads a setup object that was checked.
func settings(in setup) (choice.Settings, map[string]int, map[string]int, error) {
	inv, lim := in.Invariants, in.Limits
	s := choice.Settings{
		Nodes: in.GroupSize, Node: in.Index, Zone: in.AZ, GroupAffinity: in.Domain.Groups, DelaysObserved: in.Domain.TellsDelay,
		PacketPassThrough: in.Domain.Mode == "pass", Park: seconds(in.Domain.ParkS), Subscribe: in.Membership == "on_request",
		OverQuotaPriority: in.OverShare, PriorityPerWork: in.WorthBy == "work", RoundTrip: seconds(in.RoundS),
		Limits: choice.Limits{MaxAttempts: lim.SendCap, HealthChecks: lim.MayProbe, Cancellation: lim.MayCancel, PeerMessages: lim.MayTell,
			HedgedRequests: lim.SecondCopies, RetryAfter: lim.RetryAfter, MaxRetryAfter: seconds(lim.MaxRetryAfterS),
			ConnectTimeout: seconds(lim.ConnectTimeoutS)},
		Rules: choice.Rules{AnswerSlack: seconds(inv.AnswerSlackS), MaxPollInterval: seconds(inv.AskWithinS),
			DrainGrace: seconds(inv.StopSendingWithinS), SlowStartFraction: inv.ColdShare, WarmUp: seconds(inv.RampTimeS),
			OverloadMultiple: inv.FallMultiple, OverloadTime: seconds(inv.FallS)},
		Costs: choice.Costs{HealthCheck: in.Tariffs.Probe, Migration: in.Tariffs.Moves, PeerMessage: in.Tariffs.Peer, CrossZone: in.Tariffs.CrossZone,
			LateFailure: in.Tariffs.LateFail, Waste: in.Tariffs.Waste},
	}
	var ok bool
	if s.Reports, ok = channels[in.LoadReport.Via]; !ok {
		return s, nil, nil, fmt.Errorf("setup: loadReport.via %q", in.LoadReport.Via)
	}
	s.Sizes = sizes[in.Weights]
	for _, f := range in.LoadReport.Fields {
		s.ReportFields = append(s.ReportFields, fields[f])
	}
	classes, tenants := map[string]int{}, map[string]int{}
	for i, p := range in.Profiles {
		c := choice.Class{Name: p.Name, SetupObjective: seconds(p.AimS), Deadline: seconds(p.GiveUpS), Priority: p.Value,
			IdempotencyWindow: seconds(p.DedupWindowS)}
		if c.Idempotency, ok = repeats[p.Idempotency]; !ok {
			return s, nil, nil, fmt.Errorf("setup: profile %q: idempotency %q", p.Name, p.Idempotency)
		}
		if c.IdempotencyScope, ok = scopes[p.DedupScope]; !ok {
			return s, nil, nil, fmt.Errorf("setup: profile %q: dedupScope %q", p.Name, p.DedupScope)
		}
		if i < len(in.Domain.MessageAimS) {
			c.MessageObjective = seconds(in.Domain.MessageAimS[i])
		}
		classes[p.Name] = i
		s.Classes = append(s.Classes, c)
	}
	for i, t := range in.Customers {
		q := choice.Tenant{Name: t.Name, Rate: t.QuotaRps, Share: t.Fraction}
		if i < len(in.Domain.TenantQuota) {
			q.Connections = in.Domain.TenantQuota[i]
		}
		tenants[t.Name] = i
		s.Tenants = append(s.Tenants, q)
	}
	return s, classes, tenants, nil
}
