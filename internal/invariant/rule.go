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
	// ConcurrentAttempt is an attempt while an earlier one of the request is in flight.
	ConcurrentAttempt
	// UnsafeRetry is an attempt that may repeat an effect outside of what the class allows.
	UnsafeRetry
	// UnsafeRejection promises that a retry is harmless when it is not.
	UnsafeRejection
	// ClientGone is an attempt for a client that has left.
	ClientGone
	// ServerDraining is an attempt at a server whose grace after it began to drain is over.
	ServerDraining
	// SlowStart is more for a server in slow start than the budget of all nodes together.
	SlowStart
	// ClosedWithoutMigration is an open connection that the node ends without asking its client to reconnect.
	ClosedWithoutMigration

	ruleCount
)

// ruleNames are the names in logs and figures, which operators' tools know.
var ruleNames = [ruleCount]string{
	Holds:                  "kept",
	SecondAnswer:           "second_answer",
	Unanswered:             "unanswered",
	LateAnswer:             "late_answer",
	TooManyAttempts:        "too_many_attempts",
	ConcurrentAttempt:      "second_copy",
	UnsafeRetry:            "unsafe_repeat",
	UnsafeRejection:        "unsafe_refusal",
	ClientGone:             "client_gone",
	ServerDraining:         "host_leaving",
	SlowStart:              "slow_start",
	ClosedWithoutMigration: "cut_off",
}

// String is the rule's name in logs and figures.
func (r Rule) String() string { return ruleNames[r] }

// Step is a moment at which the monitor is called.
type Step uint8

const (
	// Start is the beginning of an attempt: its server is to be dialled.
	Start Step = iota
	// Send is the first byte of an attempt.
	Send
	// Repeat is a Start or Send of an attempt that is not the request's first.
	Repeat
	// Close is a final answer, or the end of a client's connection.
	Close

	stepCount
)

var stepNames = [stepCount]string{Start: "start", Send: "send", Repeat: "repeat", Close: "close"}

// String is the step's name in logs and figures.
func (s Step) String() string { return stepNames[s] }
