package faults

import "strings"

// LogFields are the fields of a line that a node's agent logs, by name. A field that is not there is empty, zero or false.
type LogFields interface {
	Text(name string) string
	Number(name string) uint64
	Float(name string) float64
	Bool(name string) bool
	Bytes(name string) []byte
}

// EventFromLog makes an event of what an agent logs. ok is false for lines that say nothing to the checker.
func EventOfLog(event string, fields LogFields) (e Event, ok bool) {
	switch event {
	case "fleet_plan_taken":
		e = Event{Kind: KindPlan, Number: fields.Number("number"), Digest: fields.Text("digest"), Plan: fields.Bytes("plan")}
	case "fleet_mode":
		e = Event{Kind: KindMode, Mode: fields.Text("mode"), Number: fields.Number("plan")}
	case "fleet_loan":
		e = Event{Kind: KindLease, To: fields.Text("zone"), Value: fields.Float("load")}
	case "fleet_policy_committed", "fleet_policy_decided":
		e = Event{Kind: KindPolicy, Number: fields.Number("number"), Digest: fields.Text("digest"), Detail: strings.TrimPrefix(event, "fleet_policy_")}
	case "fleet_policy_change":
		e = Event{Kind: KindVerdict, ID: fields.Text("id"), Number: fields.Number("number"), Result: "yes"}
		if strings.HasPrefix(fields.Text("verdict"), "no") {
			e.Result = "no"
		}
	case "fleet_policy_trial":
		e = Event{Kind: KindCanary, ID: fields.Text("id"), Number: fields.Number("number")}
	case "fleet_policy_ended":
		e = Event{Kind: KindChangeEnd, ID: fields.Text("id"), Number: fields.Number("number"), Result: "given up", Detail: fields.Text("why")}
		if fields.Bool("taken") {
			e.Result = "taken"
		}
	case "fleet_leads":
		e = Event{Kind: KindLeads, Number: fields.Number("term")}
	case "fleet_decided":
		e = Event{Kind: KindProposalEnd, ID: fields.Text("id"), Number: fields.Number("number")}
	default:
		return Event{}, false
	}
	return e, true
}
