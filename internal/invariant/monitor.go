package invariant

// Violation is a step that broke a rule.
type Violation struct {
	Rule    Rule
	Step    Step
	Request string // the request's id
	Server  string // the server's id; empty if there is no server
}

// Monitor counts the steps that it checked and the rules that they broke. The zero Monitor is ready for use.
type Monitor struct {
	// OnViolation is called for each violation, unless it is nil.
	OnViolation func(Violation)
	checked     [stepCount]uint64
	violations  [ruleCount]uint64
}

// Violations returns the number of violations so far.
func (m *Monitor) Violations() uint64 {
	total := uint64(0)
	for _, count := range m.violations {
		total += count
	}
	return total
}

// Each calls visit with the name of each step and how often it was checked, and then with the name of each rule and how
// often it was broken.
func (m *Monitor) Each(visit func(kind, name string, count uint64)) {
	for step, count := range m.checked {
		visit("checked", Step(step).String(), count)
	}
	for rule := NoViolation + 1; rule < ruleCount; rule++ {
		visit("broken", rule.String(), m.violations[rule])
	}
}

// check counts a step and, unless its rule is NoViolation, the violation of that rule.
func (m *Monitor) check(step Violation) Rule {
	m.checked[step.Step]++
	if step.Rule == NoViolation {
		return NoViolation
	}
	m.violations[step.Rule]++
	if m.OnViolation != nil {
		m.OnViolation(step)
	}
	return step.Rule
}
