// Package faults is the laboratory of many processes: it starts the built program many times on loopback with every link through a
// relay, puts faults between and into the processes, writes down all that happens, and checks what was written against rules.
package faults

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

// Event is one line of a history. What happened is told by Kind; the other fields are there where the kind has them.
type Event struct {
	At     float64 `json:"at"` // seconds since the begin
	Kind   string  `json:"kind"`
	Node   string  `json:"node,omitempty"`
	Zone   string  `json:"zone,omitempty"` // of the client, of the node that speaks, or where a host stands
	To     string  `json:"to,omitempty"`   // a zone, or a host
	Class  string  `json:"class,omitempty"`
	ID     string  `json:"id,omitempty"`
	Number uint64  `json:"number,omitempty"`
	Digest string  `json:"digest,omitempty"`
	Mode   string  `json:"mode,omitempty"`
	Plan   []byte  `json:"plan,omitempty"` // a failover.Plan as it stands on the log
	Result string  `json:"result,omitempty"`
	Took   float64 `json:"took,omitempty"` // seconds
	Value  float64 `json:"value,omitempty"`
	Detail string  `json:"detail,omitempty"`
}

// Kinds of events.
const (
	KindBegin   = "begin"   // Detail: the scenario; Value: seconds of the run
	KindZone    = "zone"    // Zone, Detail its region, Value its hosts' connections in all
	KindNode    = "node"    // Node, Zone; Value 1: a voter
	KindFault   = "fault"   // Detail: what was done
	KindHealed  = "healed"  // the last fault is over
	KindStart   = "start"   // Node; Detail: its files: new, kept, lost, cut, spoilt
	KindCrash   = "crash"   // Node
	KindPlan    = "plan"    // Node takes plan Number with Digest; Plan
	KindMode    = "mode"    // Node goes by Mode, with plan Number
	KindLeads   = "leads"   // Node leads in term Number
	KindDecided = "decided" // Node tells that the proposal ID has ended at Number; Result: taken or given up
	KindAnswer  = "answer"  // ID, Node, Zone, Class, To the host's zone; Result: up, refused, failed, none; Took
	KindTry     = "try"     // a host took the line of ID; To the host; Node
	KindTried   = "tried"   // and has answered it, or seen its end
	KindGuard   = "guard"   // a node's own guard kept it from a step that breaks a rule: detail has its name
	KindDrain   = "drain"   // To a host, told to Node
	KindLoan    = "loan"    // Node has been lent Value in zone To, from now on
	KindPolicy  = "policy"  // Node has learned that policy Number with Digest is in force; Detail committed: a voter, as it was decided
	KindVerdict = "verdict" // Node has checked the change ID with Number; Result: yes or no
	KindTrial   = "trial"   // a part may serve by policy Number from now on
	KindEnded   = "ended"   // the change ID with Number has ended; Result: taken or given up
	KindAdmit   = "admit"   // Node took a request, ID where it is told, under Number; Detail: lease, ground, or none: turned away for want of a lease
	KindOp      = "op"      // an operator's command ID (Node: whose) has ended; Detail: its verb; Result, Number; Value: when it began
	KindHeld    = "held"    // Zone's hosts hold Value connections
	KindLate    = "late"    // the laboratory itself was late by Value seconds
	KindCount   = "count"   // Detail: of what; Value: how many
)

// Write writes a history, an event a line.
func Write(w io.Writer, events []Event) error {
	out := bufio.NewWriter(w)
	enc := json.NewEncoder(out)
	for _, e := range events {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return out.Flush()
}

// Read reads a history.
func Read(r io.Reader) (events []Event, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, 4<<20)
	for line := 1; in.Scan(); line++ {
		var e Event
		if err := json.Unmarshal(in.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		events = append(events, e)
	}
	return events, in.Err()
}
