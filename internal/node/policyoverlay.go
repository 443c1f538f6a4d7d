package node

import (
	"slices"

	"spurwinch/choice"
	"spurwinch/internal/policy"
	"spurwinch/internal/simwire"
)

// withPolicy returns a node's own settings overlaid with a policy, or with its base policy for the classes that have
// one.
func withPolicy(document *policy.Document, settings simwire.Settings, onBase bool) simwire.Settings {
	settings.Classes, settings.ClassByName = overlaidClasses(document, settings.Classes, onBase)
	if len(document.Tenants) > 0 {
		settings.Tenants, settings.TenantByName = overlaidTenants(document, settings.Tenants)
	}
	settings.Limits.MaxAttempts = min(settings.Limits.MaxAttempts, document.Attempts)
	if onBase && document.Base.Attempts > 0 {
		settings.Limits.MaxAttempts = min(settings.Limits.MaxAttempts, document.Base.Attempts)
	}
	settings.OverQuotaPriority = document.OverQuotaPriority
	return settings
}

// overlaidClasses returns the policy's classes. What a policy doesn't set of a class stays as the node's file has it.
func overlaidClasses(
	document *policy.Document, own []choice.Class, onBase bool,
) (classes []choice.Class, indexByName map[string]int) {
	indexByName = map[string]int{}
	for i, common := range document.Classes {
		class := choice.Class{Name: common.Name}
		if j := slices.IndexFunc(own, func(c choice.Class) bool { return c.Name == common.Name }); j >= 0 {
			class = own[j]
		}
		class.Removed = false
		class.SetupObjective = common.SetupObjective
		class.Deadline = common.Deadline
		class.MessageObjective = common.MessageObjective
		class.Priority = common.Priority
		if onBase && common.ServedByBase {
			class.Deadline = min(class.Deadline, document.Base.Deadline)
			class.SetupObjective = min(class.SetupObjective, class.Deadline)
		}
		classes = append(classes, class)
		indexByName[common.Name] = i
	}
	return classes, indexByName
}

// overlaidTenants returns the policy's tenants. What a policy doesn't set of a tenant stays as the node's file has it.
func overlaidTenants(
	document *policy.Document, own []choice.Tenant,
) (tenants []choice.Tenant, indexByName map[string]int) {
	indexByName = map[string]int{}
	for i, common := range document.Tenants {
		tenant := choice.Tenant{Name: common.Name}
		if j := slices.IndexFunc(own, func(t choice.Tenant) bool { return t.Name == common.Name }); j >= 0 {
			tenant = own[j]
		}
		tenant.Connections = common.Connections
		tenant.Rate = common.Rate
		tenants = append(tenants, tenant)
		indexByName[common.Name] = i
	}
	return tenants, indexByName
}

// checkPolicyConflict compares a file with the policy in use; the error is a *policyConflictError. Attempts are a
// node's own limit as well: the lower one counts.
func (f *fleet) checkPolicyConflict(settings simwire.Settings) error {
	document := f.policy.document
	if document == nil {
		return nil
	}
	conflict := func(key string, inFile, inPolicy any) error {
		return &policyConflictError{key: key, inFile: inFile, inPolicy: inPolicy, number: f.policy.number}
	}
	for name, index := range settings.ClassByName {
		class := settings.Classes[index]
		i := slices.IndexFunc(document.Classes, func(c policy.Class) bool { return c.Name == name })
		if i < 0 {
			return conflict("class "+name, "there", "none")
		}
		switch common := document.Classes[i]; {
		case class.Deadline != common.Deadline:
			return conflict("giveUpS of "+name, class.Deadline, common.Deadline)
		case class.SetupObjective != common.SetupObjective:
			return conflict("aimS of "+name, class.SetupObjective, common.SetupObjective)
		case class.Priority != common.Priority:
			return conflict("value of "+name, class.Priority, common.Priority)
		}
	}
	return nil
}
