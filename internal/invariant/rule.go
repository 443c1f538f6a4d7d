package invariant

// Rule identifies a promise to clients and servers that a step can break.
type Rule uint8

const (
	// NoViolation means that a step breaks no rule.
	NoViolation Rule = iota
	// SecondAnswer forbids another final answer or an attempt for a request that already has its final answer.
	SecondAnswer
	// Unanswered forbids ending the connection of a request without an answer once the request was read, unless the
	// client ends it.
	Unanswered
	// LateAnswer forbids a final answer that comes more than AnswerSlack after the request's deadline.
	LateAnswer
	// TooManyAttempts forbids an attempt beyond the number that the settings allow.
	TooManyAttempts
	// ConcurrentAttempt forbids an attempt while an earlier attempt of the request is in flight.
	ConcurrentAttempt
	// UnsafeRetry forbids an attempt that may repeat an effect in a way that the class does not allow.
	UnsafeRetry
	// UnsafeRejection forbids an answer that promises that a retry is harmless when it is not.
	UnsafeRejection
	// ClientGone forbids an attempt for a client that has left.
	ClientGone
	// ServerDraining forbids an attempt at a draining server after its grace period.
	ServerDraining
	// SlowStart forbids more calls to a server in slow start than the budget allows to all nodes together.
	SlowStart
	// ClosedWithoutMigration forbids the node to end an open connection without asking its client to reconnect.
	ClosedWithoutMigration

	ruleCount
)

// ruleNames holds the names in logs and metrics, which operators' tools depend on.
var ruleNames = [ruleCount]string{
	NoViolation:            "kept",
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

// String returns the rule's name in logs and metrics.
func (r Rule) String() string { return ruleNames[r] }

// Step is a point at which the program calls the monitor.
type Step uint8

const (
	// Start is the start of an attempt, before its server is dialled.
	Start Step = iota
	// Send is the first byte of an attempt.
	Send
	// Repeat is the Start or Send of an attempt that is not the request's first.
	Repeat
	// Close is a final answer, or the end of a client's connection.
	Close

	stepCount
)

var stepNames = [stepCount]string{Start: "start", Send: "send", Repeat: "repeat", Close: "close"}

// String returns the step's name in logs and metrics.
func (s Step) String() string { return stepNames[s] }
