// Package faults is a fault-injection harness for real processes. It starts one process of the built program for each
// node on loopback and routes each link through a relay. It injects faults into links and processes, records a history
// of events, and checks a history against the rules of docs/faults.md.
package faults

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

// Kind is the kind of an event.
type Kind string

// Result is the result of a request, a check or a command.
type Result string

// Event is one line of a history. Which of the other fields are set depends on Kind.
type Event struct {
	At     float64 `json:"at"` // seconds since the run began
	Kind   Kind    `json:"kind"`
	Node   string  `json:"node,omitempty"`
	Zone   string  `json:"zone,omitempty"` // of the client, the node or the server
	To     string  `json:"to,omitempty"`   // a zone or a server
	Class  string  `json:"class,omitempty"`
	ID     string  `json:"id,omitempty"`
	Number uint64  `json:"number,omitempty"`
	Digest string  `json:"digest,omitempty"`
	Mode   string  `json:"mode,omitempty"`
	Plan   []byte  `json:"plan,omitempty"` // an encoded failover.Plan, as on the log
	Result Result  `json:"result,omitempty"`
	Took   float64 `json:"took,omitempty"` // seconds
	Value  float64 `json:"value,omitempty"`
	Detail string  `json:"detail,omitempty"`
}

// Kinds of events. History files contain these values.
const (
	KindBegin        Kind = "begin"   // Detail: the scenario's name; Value: length of the run in seconds
	KindZone         Kind = "zone"    // Zone; Detail: its region; Value: capacity of its servers in connections
	KindNode         Kind = "node"    // Node; Zone; Value: 1 for a voter, else 0
	KindFault        Kind = "fault"   // a fault was injected, or ended after its time; Detail: what was done
	KindHealed       Kind = "healed"  // the last fault has ended
	KindStart        Kind = "start"   // Node starts; Detail: the state of its files, such as FilesIntact
	KindCrash        Kind = "crash"   // Node's process was killed
	KindPlan         Kind = "plan"    // Node adopts the plan Number with Digest; Plan: its content
	KindMode         Kind = "mode"    // Node is in Mode, with plan Number
	KindLeader       Kind = "leads"   // Node is the leader of term Number
	KindProposalEnd  Kind = "decided" // Node reports that the proposal ID ended at log entry Number
	KindAnswer       Kind = "answer"  // the request ID ended; Node; Zone; Class; To: the server's zone; Result; Took
	KindAttempt      Kind = "try"     // the server To received the request ID; Node: its sender, if known
	KindAttemptEnd   Kind = "tried"   // the server To answered the request ID, or its connection ended
	KindGuard        Kind = "guard"   // a node's invariant monitor prevented a step; Detail: the rule
	KindDrain        Kind = "drain"   // Node was notified that the server To drains
	KindLease        Kind = "loan"    // Node has leased the capacity Value in the zone To from now on
	KindPolicy       Kind = "policy"  // Node has learned that the policy Number with Digest is in force; Detail
	KindVerdict      Kind = "verdict" // Node has checked the change ID with Number; Result: ResultYes or ResultNo
	KindCanary       Kind = "trial"   // canaries may use the policy Number from now on
	KindChangeEnd    Kind = "ended"   // the change ID with Number has ended; Result
	KindAdmission    Kind = "admit"   // Node decided on request ID, if known, under Number; Detail: as AdmittedByLease
	KindCommand      Kind = "op"      // the command ID of the operator Node ended; Detail: its verb; Value: its start
	KindConnections  Kind = "held"    // the servers of Zone have Value connections
	KindHarnessDelay Kind = "late"    // the harness itself was late by Value seconds
	KindCount        Kind = "count"   // Detail: what was counted; Value: the count
	KindLog          Kind = "log"     // Detail: a log line that the checker ignores
)

// Results of requests, checks and commands. History files contain these values.
const (
	ResultServed    Result = "up"        // a request got its connection
	ResultRejected  Result = "refused"   // a request, or a command, was rejected
	ResultFailed    Result = "failed"    // a request failed
	ResultNone      Result = "none"      // a request got no answer
	ResultNodeGone  Result = "node gone" // a request's node exited or paused before it answered
	ResultAccepted  Result = "taken"     // a proposal or a change is in force
	ResultAbandoned Result = "given up"  // a proposal or a change was abandoned
	ResultYes       Result = "yes"       // a node can use a proposed policy
	ResultNo        Result = "no"        // a node can't use a proposed policy
	ResultOK        Result = "ok"        // a query was answered
	ResultUnknown   Result = "unknown"   // a command's result is unknown
)

// States of a node's files at its start: Detail of KindStart.
const (
	FilesNew     = "new"
	FilesIntact  = "kept"
	FilesLost    = "lost"
	FilesCut     = "cut"    // truncated
	FilesSpoiled = "spoilt" // altered
)

// How a node admitted a request: Detail of KindAdmission.
const (
	AdmittedByLease      = "lease"  // the policy of a valid lease
	AdmittedByBasePolicy = "ground" // the base policy of a node without a lease
	NotAdmitted          = "none"   // rejected, since the node had no lease
)

// Detail of KindPolicy.
const (
	policyCommitted = "committed" // a voter has learned of the decision
	policyDecided   = "decided"   // a node has stored the policy on its disk
)

// maxHistoryLine is the maximum length of a line of a history in bytes.
const maxHistoryLine = 4 << 20

// Write writes a history as JSON lines, with one event per line.
func Write(w io.Writer, events []Event) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for _, event := range events {
		if err := encoder.Encode(event); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

// Read reads a history in the format of Write.
func Read(r io.Reader) (events []Event, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxHistoryLine)
	for line := 1; scanner.Scan(); line++ {
		var event Event
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		events = append(events, event)
	}
	return events, scanner.Err()
}
