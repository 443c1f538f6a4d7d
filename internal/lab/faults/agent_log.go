package faults

import "strings"

// LogFields are the fields of a line that a node's agent logs, by name. A field that is not there is empty, zero or
// false.
type LogFields interface {
	Text(name string) string
	Number(name string) uint64
	Float(name string) float64
	Bool(name string) bool
	Bytes(name string) []byte
}

// policyEventPrefix begins the log events of policies.
const policyEventPrefix = "fleet_policy_"

// EventOfLog returns the event that a line of an agent's log stands for. ok is false for lines that say nothing to the
// checker.
func EventOfLog(event string, fields LogFields) (e Event, ok bool) {
	if strings.HasPrefix(event, policyEventPrefix) {
		return policyEventOfLog(strings.TrimPrefix(event, policyEventPrefix), fields)
	}
	switch event {
	case "fleet_plan_taken":
		return Event{
			Kind: KindPlan, Number: fields.Number("number"), Digest: fields.Text("digest"), Plan: fields.Bytes("plan"),
		}, true
	case "fleet_mode":
		return Event{Kind: KindMode, Mode: fields.Text("mode"), Number: fields.Number("plan")}, true
	case "fleet_loan":
		return Event{Kind: KindLease, To: fields.Text("zone"), Value: fields.Float("load")}, true
	case "fleet_leads":
		return Event{Kind: KindLeader, Number: fields.Number("term")}, true
	case "fleet_decided":
		return Event{Kind: KindProposalEnd, ID: fields.Text("id"), Number: fields.Number("number")}, true
	}
	return Event{}, false
}

// policyEventOfLog is EventOfLog for the events of policies.
func policyEventOfLog(event string, fields LogFields) (e Event, ok bool) {
	e = Event{ID: fields.Text("id"), Number: fields.Number("number")}
	switch event {
	case policyCommitted, policyDecided:
		return Event{Kind: KindPolicy, Number: e.Number, Digest: fields.Text("digest"), Detail: event}, true
	case "change":
		e.Kind = KindVerdict
		e.Result = ResultYes
		if strings.HasPrefix(fields.Text("verdict"), "no") {
			e.Result = ResultNo
		}
		return e, true
	case "trial":
		e.Kind = KindCanary
		return e, true
	case "ended":
		e.Kind = KindChangeEnd
		e.Detail = fields.Text("why")
		e.Result = ResultAbandoned
		if fields.Bool("taken") {
			e.Result = ResultAccepted
		}
		return e, true
	}
	return Event{}, false
}
