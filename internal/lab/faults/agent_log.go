package faults

import "strings"

// LogFields gives access to the fields of a log line of a node's agent by name. A missing field is empty, zero or
// false.
type LogFields interface {
	Text(name string) string
	Number(name string) uint64
	Float(name string) float64
	Bool(name string) bool
	Bytes(name string) []byte
}

// policyEventPrefix is the prefix of the names of log events on policies.
const policyEventPrefix = "fleet_policy_"

// EventOfLog converts a log line of an agent to an event of the history. ok is false for lines that the checker doesn't
// use.
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

// policyEventOfLog converts a log line on policies. event is the log event's name without policyEventPrefix.
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
