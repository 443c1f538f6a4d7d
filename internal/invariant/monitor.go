package invariant

// Violation is a step that broke a rule.
type Violation struct {
	Rule    Rule
	Step    Step
	Request string // its id
	Server  string // the server's id; empty where there is none
}

// Monitor counts the steps that were checked and the rules that they broke. The zero Monitor is ready for use.
type Monitor struct {
	// OnViolation is notified of each violation; nil: nobody is.
	OnViolation func(Violation)
	checked     [stepCount]uint64
	broken      [ruleCount]uint64
}

// Violations is the number of violations so far.
func (m *Monitor) Violations() uint64 {
	total := uint64(0)
	for _, count := range m.broken {
		total += count
	}
	return total
}

// Each calls visit with the name and count of each step that was checked, then of each rule with the number of its
// violations.
func (m *Monitor) Each(visit func(kind, name string, count uint64)) {
	for step, count := range m.checked {
		visit("checked", Step(step).String(), count)
	}
	for rule := Holds + 1; rule < ruleCount; rule++ {
		visit("broken", rule.String(), m.broken[rule])
	}
}

// check counts a step and the rule that it breaks, if any.
func (m *Monitor) check(step Violation) Rule {
	m.checked[step.Step]++
	if step.Rule == Holds {
		return Holds
	}
	m.broken[step.Rule]++
	if m.OnViolation != nil {
		m.OnViolation(step)
	}
	return step.Rule
}
