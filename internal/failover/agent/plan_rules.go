package agent

import (
	"slices"

	"spurwinch/internal/failover"
	"spurwinch/internal/policy"
)

// planRules returns the rules for making plans. They come from the policy in force if there is one that this node can
// read, otherwise from the node's settings.
func (a *Agent) planRules() failover.Rules {
	rules := a.options.Rules
	if a.options.Policy == nil {
		return rules
	}
	state, _ := a.newestPolicy()
	text, known := state.Text(state.Number)
	if state.Number == 0 || !known {
		return rules
	}
	document, err := a.options.Policy.Read(text)
	if err != nil {
		return rules // a plan made with the settings is better than none; adoptPolicy has logged the error
	}
	var regional []string // classes that stay in their region
	for _, class := range rules.Classes {
		if class.StayInRegion {
			regional = append(regional, class.Name)
		}
	}
	if plan := document.Failover; plan != nil {
		rules.UtilizationLimit = plan.UtilizationLimit
		rules.RecoveryRamp = plan.RecoveryRamp
		rules.RecoveryDelay = plan.RecoveryDelay
		rules.RegionDistance = distanceBetween(plan.RegionDistances)
		regional = plan.RegionalClasses
	}
	rules.Classes = nil
	for _, class := range document.Classes {
		rules.Classes = append(rules.Classes, failover.Class{
			Name: class.Name, Priority: class.Priority, StayInRegion: slices.Contains(regional, class.Name),
		})
	}
	return rules
}

// distanceBetween returns a function that gives the cost between two regions. It is the same in both directions and at
// least 1.
func distanceBetween(distances []policy.RegionDistance) func(from, to string) float64 {
	costs := map[[2]string]float64{}
	for _, distance := range distances {
		costs[[2]string{distance.A, distance.B}] = distance.Cost
		costs[[2]string{distance.B, distance.A}] = distance.Cost
	}
	return func(from, to string) float64 { return max(1, costs[[2]string{from, to}]) }
}
