package simwire

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"spurwinch/choice"
)

// Settings are what a balancer is configured with, and the names by which requests and reports refer to parts of it.
type Settings struct {
	choice.Settings
	ClassByName  map[string]int // indices in Classes
	TenantByName map[string]int // indices in Tenants
	ReportFields []string       // the names of a load report's values, in order
}

// DecodeSettings decodes a setup object, as the simulator sends it and config.json has it. A key that is missing is an
// error and never a zero. The error is ErrNoSetup, a *SetupError, or one of the JSON decoder.
func DecodeSettings(raw json.RawMessage) (Settings, error) {
	if len(raw) == 0 {
		return Settings{}, ErrNoSetup
	}
	var value any
	if err := json.Unmarshal(raw, &value); err != nil {
		return Settings{}, fmt.Errorf("setup: %w", err)
	}
	var decoded setup
	if err := checkComplete(value, reflect.TypeOf(decoded), ""); err != nil {
		return Settings{}, err
	}
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return Settings{}, fmt.Errorf("setup: %w", err)
	}
	if err := decoded.check(); err != nil {
		return Settings{}, err
	}
	return decoded.settings()
}

// WithIndicesOf is the settings with the indices of those in force: classes and tenants keep their indices by name, and
// new ones get the next. One that is not there any more keeps its index, without a name to be found by: a class as a
// removed one, a tenant without a share.
func (s Settings) WithIndicesOf(inForce Settings) Settings {
	classes := slices.Clone(inForce.Classes)
	for i := range classes {
		classes[i].Removed = true
	}
	tenants := slices.Clone(inForce.Tenants)
	for i, tenant := range tenants {
		tenants[i] = choice.Tenant{Name: tenant.Name}
	}
	nameOfClass := func(class choice.Class) string { return class.Name }
	nameOfTenant := func(tenant choice.Tenant) string { return tenant.Name }
	s.Classes, s.ClassByName = mergeByName(classes, s.Classes, nameOfClass)
	s.Tenants, s.TenantByName = mergeByName(tenants, s.Tenants, nameOfTenant)
	return s
}

// mergeByName puts each of items in the place of the one of its name in table, or behind the table, and returns the
// table with the index of each.
func mergeByName[T any](table, items []T, name func(T) string) ([]T, map[string]int) {
	indices := map[string]int{}
	for _, item := range items {
		index := slices.IndexFunc(table, func(other T) bool { return name(other) == name(item) })
		if index < 0 {
			index = len(table)
			table = append(table, item)
		}
		table[index] = item
		indices[name(item)] = index
	}
	return table, indices
}

// settings are those of a setup object that was checked.
func (s *setup) settings() (Settings, error) {
	reports, ok := reportSourceByWord[s.LoadReports.Source]
	if !ok {
		return Settings{}, setupErrorf("loadReport.via %q", s.LoadReports.Source)
	}
	out := Settings{
		Settings: choice.Settings{
			Nodes:             s.Nodes,
			Node:              s.Node,
			Zone:              s.Zone,
			GroupAffinity:     s.Domain.GroupAffinity,
			DelaysObserved:    s.Domain.DelaysObserved,
			PacketPassThrough: s.Domain.Mode == modePassThrough,
			Park:              seconds(s.Domain.Park),
			Subscribe:         s.ListMode == listOnRequest,
			OverQuotaPriority: s.OverQuotaPriority,
			PriorityPerWork:   s.PriorityPer == priorityPerWork,
			RoundTrip:         seconds(s.RoundTrip),
			Reports:           reports,
			Sizes:             sizeKindByWord[s.Sizes],
			Limits:            s.Limits.limits(),
			Rules:             s.Rules.rules(),
			Costs:             s.Costs.costs(),
		},
		ClassByName:  map[string]int{},
		TenantByName: map[string]int{},
		ReportFields: s.LoadReports.Fields,
	}
	for _, name := range s.LoadReports.Fields {
		out.Settings.ReportFields = append(out.Settings.ReportFields, reportFieldByWord[name])
	}
	for i := range s.Classes {
		class, err := s.class(i)
		if err != nil {
			return Settings{}, err
		}
		out.ClassByName[class.Name] = i
		out.Classes = append(out.Classes, class)
	}
	for i := range s.Tenants {
		tenant := s.tenant(i)
		out.TenantByName[tenant.Name] = i
		out.Tenants = append(out.Tenants, tenant)
	}
	return out, nil
}

func (l limits) limits() choice.Limits {
	return choice.Limits{
		MaxAttempts:    l.MaxAttempts,
		HealthChecks:   l.HealthChecks,
		Cancellation:   l.Cancellation,
		PeerMessages:   l.PeerMessages,
		HedgedRequests: l.HedgedRequests,
		RetryAfter:     l.RetryAfter,
		MaxRetryAfter:  seconds(l.MaxRetryAfter),
		ConnectTimeout: seconds(l.ConnectTimeout),
	}
}

func (r rules) rules() choice.Rules {
	return choice.Rules{
		AnswerSlack:       seconds(r.AnswerSlack),
		MaxPollInterval:   seconds(r.MaxPollInterval),
		DrainGrace:        seconds(r.DrainGrace),
		SlowStartFraction: r.SlowStartFraction,
		WarmUp:            seconds(r.WarmUp),
		OverloadMultiple:  r.OverloadMultiple,
		OverloadTime:      seconds(r.OverloadTime),
	}
}

func (c costs) costs() choice.Costs {
	return choice.Costs{
		HealthCheck: c.HealthCheck,
		Migration:   c.Migration,
		PeerMessage: c.PeerMessage,
		CrossZone:   c.CrossZone,
		LateFailure: c.LateFailure,
		Waste:       c.Waste,
	}
}

func (s *setup) class(index int) (choice.Class, error) {
	class := s.Classes[index]
	idempotency, ok := idempotencyByWord[class.Idempotency]
	if !ok {
		return choice.Class{}, setupErrorf("profile %q: idempotency %q", class.Name, class.Idempotency)
	}
	scope, ok := scopeByWord[class.IdempotencyScope]
	if !ok {
		return choice.Class{}, setupErrorf("profile %q: dedupScope %q", class.Name, class.IdempotencyScope)
	}
	out := choice.Class{
		Name:              class.Name,
		SetupObjective:    seconds(class.SetupObjective),
		Deadline:          seconds(class.Deadline),
		Priority:          class.Priority,
		Idempotency:       idempotency,
		IdempotencyScope:  scope,
		IdempotencyWindow: seconds(class.IdempotencyWindow),
	}
	if index < len(s.Domain.MessageObjectives) {
		out.MessageObjective = seconds(s.Domain.MessageObjectives[index])
	}
	return out, nil
}

func (s *setup) tenant(index int) choice.Tenant {
	tenant := s.Tenants[index]
	out := choice.Tenant{Name: tenant.Name, Rate: tenant.Rate, Share: tenant.Share}
	if index < len(s.Domain.TenantConnections) {
		out.Connections = s.Domain.TenantConnections[index]
	}
	return out
}
