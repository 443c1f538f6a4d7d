package simwire

import (
	"encoding/json"
	"fmt"
	"slices"

	"spurwinch/choice"
)

// Settings are the settings of a balancer, with the names by which requests refer to classes and tenants and load
// reports to their values.
type Settings struct {
	choice.Settings
	ClassByName  map[string]int // indices in Classes
	TenantByName map[string]int // indices in Tenants
	ReportFields []string       // the names of a load report's values, in order
}

// DecodeSettings decodes a setup object, which the simulator sends and config.json contains. A missing key is an error;
// it is never read as zero. The error is ErrNoSetup, a *SetupError or an error of the JSON decoder.
func DecodeSettings(raw json.RawMessage) (Settings, error) {
	if len(raw) == 0 {
		return Settings{}, ErrNoSetup
	}
	var decoded setup
	value, decodeErr := usedKeys.Decode(raw, &decoded)
	if value == nil && decodeErr != nil {
		return Settings{}, fmt.Errorf("setup: %w", decodeErr)
	}
	if err := usedKeys.CheckKeys(value, ""); err != nil {
		return Settings{}, setupError(err)
	}
	if decodeErr != nil {
		return Settings{}, fmt.Errorf("setup: %w", decodeErr)
	}
	if err := decoded.check(); err != nil {
		return Settings{}, err
	}
	return decoded.settings()
}

// WithIndicesOf returns the settings with the indices of the settings in force: a class or tenant keeps the index that
// its name has there, and a new one gets the next free index. A class or tenant that is no longer configured keeps its
// index but can't be looked up by name: the class is marked as removed, and the tenant has no share.
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

// mergeByName merges items into table: an item replaces the entry with the same name, or is appended if there is none.
// It returns the table and the index of each item by name.
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

// settings converts a setup object, which must have passed check, to Settings.
func (s *setup) settings() (Settings, error) {
	reports, ok := reportSourceByName[s.LoadReports.Source]
	if !ok {
		return Settings{}, setupErrorf("loadReport.via", "loadReport.via %q is unknown", s.LoadReports.Source)
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
			Sizes:             sizeKindByName[s.Sizes],
			Limits:            s.Limits.limits(),
			Rules:             s.Rules.rules(),
			Costs:             s.Costs.costs(),
		},
		ClassByName:  map[string]int{},
		TenantByName: map[string]int{},
		ReportFields: s.LoadReports.Fields,
	}
	for _, name := range s.LoadReports.Fields {
		out.Settings.ReportFields = append(out.Settings.ReportFields, reportFieldByName[name])
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
	key := fmt.Sprintf("profiles[%d]", index)
	idempotency, ok := idempotencyByName[class.Idempotency]
	if !ok {
		return choice.Class{}, setupErrorf(key+".idempotency",
			"profile %q: idempotency %q is unknown", class.Name, class.Idempotency)
	}
	scope, ok := scopeByName[class.IdempotencyScope]
	if !ok {
		return choice.Class{}, setupErrorf(key+".dedupScope",
			"profile %q: dedupScope %q is unknown", class.Name, class.IdempotencyScope)
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
