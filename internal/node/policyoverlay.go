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

// overlaidClasses returns the policy's classes. Settings of a class that the policy doesn't set keep their values from
// the node's file.
func overlaidClasses(
	document *policy.Document, own []choice.Class, onBase bool,
) (classes []choice.Class, indexByName map[string]int) {
	indexByName = map[string]int{}
	for i, policyClass := range document.Classes {
		class := choice.Class{Name: policyClass.Name}
		if j := slices.IndexFunc(own, func(c choice.Class) bool { return c.Name == policyClass.Name }); j >= 0 {
			class = own[j]
		}
		class.Removed = false
		class.SetupObjective = policyClass.SetupObjective
		class.Deadline = policyClass.Deadline
		class.MessageObjective = policyClass.MessageObjective
		class.Priority = policyClass.Priority
		if onBase && policyClass.ServedByBase {
			class.Deadline = min(class.Deadline, document.Base.Deadline)
			class.SetupObjective = min(class.SetupObjective, class.Deadline)
		}
		classes = append(classes, class)
		indexByName[policyClass.Name] = i
	}
	return classes, indexByName
}

// overlaidTenants returns the policy's tenants. Settings of a tenant that the policy doesn't set keep their values from
// the node's file.
func overlaidTenants(
	document *policy.Document, own []choice.Tenant,
) (tenants []choice.Tenant, indexByName map[string]int) {
	indexByName = map[string]int{}
	for i, policyTenant := range document.Tenants {
		tenant := choice.Tenant{Name: policyTenant.Name}
		if j := slices.IndexFunc(own, func(t choice.Tenant) bool { return t.Name == policyTenant.Name }); j >= 0 {
			tenant = own[j]
		}
		tenant.Connections = policyTenant.Connections
		tenant.Rate = policyTenant.Rate
		tenants = append(tenants, tenant)
		indexByName[policyTenant.Name] = i
	}
	return tenants, indexByName
}

// checkPolicyConflict compares the settings of a file with the policy in use. The error is a *policyConflictError. The
// maximum number of attempts is not compared because a node may set its own limit, and the lower limit applies.
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
			return conflict("class "+name, "defined", "none")
		}
		switch policyClass := document.Classes[i]; {
		case class.Deadline != policyClass.Deadline:
			return conflict("giveUpS of "+name, class.Deadline, policyClass.Deadline)
		case class.SetupObjective != policyClass.SetupObjective:
			return conflict("aimS of "+name, class.SetupObjective, policyClass.SetupObjective)
		case class.Priority != policyClass.Priority:
			return conflict("value of "+name, class.Priority, policyClass.Priority)
		}
	}
	return nil
}
