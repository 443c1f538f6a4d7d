package explore

import (
	"fmt"
	"strings"
	"time"

	"spurwinch/internal/lab/faults"
)

// log makes events of what the node would write to its log.
func (n *node) log(event string, fields ...any) {
	get := func(name string) any {
		for i := 0; i+1 < len(fields); i += 2 {
			if fields[i] == name {
				return fields[i+1]
			}
		}
		return nil
	}
	text := func(name string) string { s, _ := get(name).(string); return s }
	num := func(name string) uint64 { v, _ := get(name).(uint64); return v }
	e := faults.Event{Node: n.name, Zone: n.zone}
	switch event {
	case "fleet_plan_taken":
		e.Kind, e.Number, e.Digest = faults.KindPlan, num("number"), text("digest")
		e.Plan, _ = get("plan").([]byte)
	case "fleet_mode":
		e.Kind, e.Mode, e.Number = faults.KindMode, text("mode"), num("plan")
	case "fleet_loan":
		e.Kind, e.To = faults.KindLoan, text("zone")
		e.Value, _ = get("load").(float64)
	case "fleet_policy_committed", "fleet_policy_decided":
		e.Kind, e.Number, e.Digest, e.Detail = faults.KindPolicy, num("number"), text("digest"), strings.TrimPrefix(event, "fleet_policy_")
	case "fleet_policy_change":
		e.Kind, e.ID, e.Number, e.Result = faults.KindVerdict, text("id"), num("number"), "yes"
		if strings.HasPrefix(text("verdict"), "no") {
			e.Result = "no"
		}
	case "fleet_policy_trial":
		e.Kind, e.ID, e.Number = faults.KindTrial, text("id"), num("number")
	case "fleet_policy_ended":
		e.Kind, e.ID, e.Number, e.Result, e.Detail = faults.KindEnded, text("id"), num("number"), "given up", text("why")
		if taken, _ := get("taken").(bool); taken {
			e.Result = "taken"
		}
	case "fleet_leads":
		e.Kind, e.Number = faults.KindLeads, num("term")
	case "fleet_decided":
		e.Kind, e.ID, e.Number, e.Result = faults.KindDecided, text("id"), num("number"), "taken"
	default:
		e.Kind, e.Detail = "log", event+fmt.Sprint(fields...)
	}
	n.w.note(e)
	if w := n.w; w.crashy > 0 && strings.HasPrefix(event, "fleet_policy_") && w.now < w.o.Length-14*time.Second && w.rng.Float64() < w.crashy {
		born := n.born
		w.at(w.now, func() {
			if n.born == born {
				w.note(faults.Event{Kind: faults.KindFault, Detail: "killed at a step", Node: n.name})
				w.restart(n, "kept", time.Duration(100+w.rng.IntN(4000))*time.Millisecond)
			}
		})
	}
}
