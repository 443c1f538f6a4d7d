package faults

import (
	"encoding/base64"
	"encoding/json"
	"strconv"
	"strings"
)

// line makes events of what a process logs.
func (n *proc) line(b []byte) {
	var l struct {
		Event, Address, Digest, Mode, ID, Error, Plan string
		Protocol                                      string
		Time                                          string
		Number, Term                                  uint64
		Taken                                         bool
	}
	var raw map[string]json.RawMessage
	if json.Unmarshal(b, &raw) != nil {
		return
	}
	text := func(k string) string { var s string; json.Unmarshal(raw[k], &s); return s }
	num := func(k string) uint64 { v, _ := strconv.ParseUint(strings.TrimSpace(string(raw[k])), 10, 64); return v }
	l.Event = text("event")
	e := Event{Node: n.name, Zone: n.zone}
	switch l.Event {
	case "listening":
		if text("protocol") == "platform" {
			select {
			case n.addr <- text("address"):
			default:
			}
		}
		return
	case "fleet_plan_taken":
		e.Kind, e.Number, e.Digest = KindPlan, num("number"), text("digest")
		e.Plan, _ = base64.StdEncoding.DecodeString(text("plan"))
	case "fleet_mode":
		e.Kind, e.Mode, e.Number = KindMode, text("mode"), num("plan")
	case "fleet_loan":
		e.Kind, e.To = KindLoan, text("zone")
		e.Value, _ = strconv.ParseFloat(strings.TrimSpace(string(raw["load"])), 64)
	case "fleet_policy_committed", "fleet_policy_decided":
		e.Kind, e.Number, e.Digest, e.Detail = KindPolicy, num("number"), text("digest"), strings.TrimPrefix(l.Event, "fleet_policy_")
	case "fleet_policy_change":
		e.Kind, e.ID, e.Number, e.Result = KindVerdict, text("id"), num("number"), "yes"
		if strings.HasPrefix(text("verdict"), "no") {
			e.Result = "no"
		}
	case "fleet_policy_trial":
		e.Kind, e.ID, e.Number = KindTrial, text("id"), num("number")
	case "fleet_policy_ended":
		e.Kind, e.ID, e.Number, e.Result, e.Detail = KindEnded, text("id"), num("number"), "given up", text("why")
		if strings.TrimSpace(string(raw["taken"])) == "true" {
			e.Result = "taken"
		}
	case "fleet_admitted":
		n.admitted(text("requests"), int64(num("now")))
		return
	case "fleet_leads":
		e.Kind, e.Number = KindLeads, num("term")
	case "fleet_decided":
		e.Kind, e.ID, e.Number = KindDecided, text("id"), num("number")
	case "fleet_files_spoilt":
		e.Kind, e.Detail, e.Value = KindCount, "files spoilt", 1
	case "fleet_log_conflict", "fleet_voter_broken":
		e.Kind, e.Detail, e.Value = KindCount, l.Event, 1
	default:
		return
	}
	n.lab.note(e)
}
