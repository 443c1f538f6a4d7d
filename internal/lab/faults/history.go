// Package faults is a fault-injection harness for real processes. It starts the built program many times on loopback
// with each link through a relay, injects faults into links and processes, records all that happens as a history of
// events, and checks a history against the rules of docs/faults.md.
package faults

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

// Kind says what happened in an event.
type Kind string

// Result says how a request, a check or a command ended.
type Result string

// Event is one line of a history. Kind says what happened; the other fields are set where the kind has them.
type Event struct {
	At     float64 `json:"at"` // seconds since the run began
	Kind   Kind    `json:"kind"`
	Node   string  `json:"node,omitempty"`
	Zone   string  `json:"zone,omitempty"` // of the client, of the node, or of a server
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

// Kinds of events. The words are those of the files of histories.
const (
	KindBegin        Kind = "begin"   // Detail: the scenario; Value: seconds of the run
	KindZone         Kind = "zone"    // Zone; Detail: its region; Value: connections that its servers bear in all
	KindNode         Kind = "node"    // Node, Zone; Value 1: a voter
	KindFault        Kind = "fault"   // Detail: what was done
	KindHealed       Kind = "healed"  // the last fault is over
	KindStart        Kind = "start"   // Node; Detail: its files, such as FilesIntact
	KindCrash        Kind = "crash"   // Node
	KindPlan         Kind = "plan"    // Node adopts plan Number with Digest; Plan
	KindMode         Kind = "mode"    // Node is in Mode, with plan Number
	KindLeader       Kind = "leads"   // Node is the leader of term Number
	KindProposalEnd  Kind = "decided" // Node reports that the proposal ID has ended at Number; Result
	KindAnswer       Kind = "answer"  // ID, Node, Zone, Class; To: the server's zone; Result; Took
	KindAttempt      Kind = "try"     // a server received the request ID; To: the server; Node
	KindAttemptEnd   Kind = "tried"   // the server has answered it, or its connection has ended
	KindGuard        Kind = "guard"   // a node's invariant monitor prevented a step; Detail: the rule
	KindDrain        Kind = "drain"   // Node was notified that the server To drains
	KindLease        Kind = "loan"    // Node has leased Value in zone To, from now on
	KindPolicy       Kind = "policy"  // Node has learned that policy Number with Digest is in force; Detail
	KindVerdict      Kind = "verdict" // Node has checked the change ID with Number; Result: yes or no
	KindCanary       Kind = "trial"   // canaries may serve by policy Number from now on
	KindChangeEnd    Kind = "ended"   // the change ID with Number has ended; Result
	KindAdmission    Kind = "admit"   // Node got a request (ID, if known) under Number; Detail, as AdmittedByLease
	KindCommand      Kind = "op"      // Node, an operator, has ended the command ID; Detail: its verb; Value: its start
	KindConnections  Kind = "held"    // Zone's servers have Value connections
	KindHarnessDelay Kind = "late"    // the test harness itself was late by Value seconds
	KindCount        Kind = "count"   // Detail: of what; Value: how many
	KindLog          Kind = "log"     // Detail: a log line that the checker doesn't judge
)

// Results of requests, checks and commands. The words are those of the files of histories.
const (
	ResultServed    Result = "up"        // a request got its connection
	ResultRejected  Result = "refused"   // a request, or a command, was rejected
	ResultFailed    Result = "failed"    // a request failed
	ResultNone      Result = "none"      // a request got no answer
	ResultNodeGone  Result = "node gone" // a request's node ended before its answer
	ResultAccepted  Result = "taken"     // a proposal or a change is in force
	ResultAbandoned Result = "given up"  // a proposal or a change was abandoned
	ResultYes       Result = "yes"       // a node can serve by a proposed policy
	ResultNo        Result = "no"        // a node can't serve by a proposed policy
	ResultOK        Result = "ok"        // a query was answered
	ResultUnknown   Result = "unknown"   // a command's end is not known
)

// What a node finds of its files at its start: Detail of KindStart.
const (
	FilesNew     = "new"
	FilesIntact  = "kept"
	FilesLost    = "lost"
	FilesCut     = "cut"    // truncated
	FilesSpoiled = "spoilt" // altered
)

// What a node admitted a request by: Detail of KindAdmission.
const (
	AdmittedByLease      = "lease"  // a policy whose lease is valid
	AdmittedByBasePolicy = "ground" // the base policy of a node without a lease
	NotAdmitted          = "none"   // rejected for want of a lease
)

// Detail of KindPolicy.
const (
	policyCommitted = "committed" // a voter, as it was decided
	policyDecided   = "decided"   // a node has it on its disk
)

// maxHistoryLine bounds a line of a history, in bytes.
const maxHistoryLine = 4 << 20

// Write writes a history as lines of JSON, one event each.
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

// Read reads a history that Write has written.
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
