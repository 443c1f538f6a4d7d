// Package invariant checks at run time that a node keeps its promises to clients and hosts. One guard is asked at each of the moments
// that can break them: when an attempt starts, when its first byte is sent, when either repeats an earlier attempt, and when a
// request or its connection is closed. It decides nothing: a step that it objects to is a fault of the program, which is counted and reported.
//
// The package does no I/O and reads no clock. A Monitor belongs to one goroutine.
package invariant

// Rule is a promise that a step can break.
type Rule uint8

const (
	// Holds says that a step breaks no rule.
	Holds Rule = iota
	// SecondAnswer is another final answer, or an attempt, for a request that has its final answer.
	SecondAnswer
	// Unanswered is a request that was read and whose connection the node closes without an answer.
	Unanswered
	// LateAnswer is a final answer later than AnswerSlack after the request's deadline.
	LateAnswer
	// TooManyAttempts is an attempt beyond the number that the settings allow.
	TooManyAttempts
	// SecondCopy is an attempt while an earlier one of the request is still out.
	SecondCopy
	// UnsafeRepeat is an attempt that may repeat an effect outside of what the class allows.
	UnsafeRepeat
	// UnsafeRefusal promises that trying again is harmless when it is not.
	UnsafeRefusal
	// ClientGone is an attempt for a client that has left.
	ClientGone
	// HostLeaving is an attempt at a host whose grace after it was told to leave is over.
	HostLeaving
	// SlowStart is more for a cold host than the budget of all nodes together.
	SlowStart
	// CutOff is an open connection that the node ends without telling its client to move.
	CutOff

	ruleCount
)

var ruleNames = [ruleCount]string{"kept", "second_answer", "unanswered", "late_answer", "too_many_attempts", "second_copy",
	"unsafe_repeat", "unsafe_refusal", "client_gone", "host_leaving", "slow_start", "cut_off"}

// String is the rule's name in logs and figures.
func (r Rule) String() string { return ruleNames[r] }

// Step is a moment at which the guard is asked.
type Step uint8

const (
	// Start is the beginning of an attempt: its host is to be dialled.
	Start Step = iota
	// Send is the first byte of an attempt.
	Send
	// Repeat is a Start or Send of an attempt that is not the request's first.
	Repeat
	// Close is a final answer, or the end of a client's connection.
	Close

	stepCount
)

var stepNames = [stepCount]string{"start", "send", "repeat", "close"}

// String is the step's name in logs and figures.
func (s Step) String() string { return stepNames[s] }

// Violation is a step that broke a rule.
type Violation struct {
	Rule    Rule
	Step    Step
	Request string // its id
	Host    string // its id; empty where there is none
}

// Monitor counts the steps that were checked and the rules that they broke. The zero Monitor is ready for use.
type Monitor struct {
	// Broken hears of each violation; nil: nobody does.
	Broken  func(Violation)
	checked [stepCount]uint64
	broken  [ruleCount]uint64
}

// Violations is the number of violations so far.
func (m *Monitor) Violations() (n uint64) {
	for _, count := range m.broken {
		n += count
	}
	return n
}

// Each calls fn with the name and count of each step that was checked, then of each rule with the number of its violations.
func (m *Monitor) Each(fn func(kind, name string, count uint64)) {
	for s, count := range m.checked {
		fn("checked", Step(s).String(), count)
	}
	for r := Holds + 1; r < ruleCount; r++ {
		fn("broken", r.String(), m.broken[r])
	}
}

// check counts a step and the rule that it breaks, if any.
func (m *Monitor) check(v Violation) Rule {
	m.checked[v.Step]++
	if v.Rule == Holds {
		return Holds
	}
	m.broken[v.Rule]++
	if m.Broken != nil {
		m.Broken(v)
	}
	return v.Rule
}
