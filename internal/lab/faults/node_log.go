package faults

import (
	"encoding/base64"
	"encoding/json"
	"strconv"
	"strings"
)

// jsonFields are the fields of a JSON line of a process's log. They implement LogFields.
type jsonFields map[string]json.RawMessage

// raw is the text of a field's value.
func (f jsonFields) raw(name string) string { return strings.TrimSpace(string(f[name])) }

func (f jsonFields) Text(name string) string {
	var text string
	if json.Unmarshal(f[name], &text) != nil {
		return ""
	}
	return text
}

func (f jsonFields) Number(name string) uint64 {
	number, err := strconv.ParseUint(f.raw(name), 10, 64)
	if err != nil {
		return 0
	}
	return number
}

func (f jsonFields) Float(name string) float64 {
	number, err := strconv.ParseFloat(f.raw(name), 64)
	if err != nil {
		return 0
	}
	return number
}

func (f jsonFields) Bool(name string) bool { return f.raw(name) == "true" }

func (f jsonFields) Bytes(name string) []byte {
	data, err := base64.StdEncoding.DecodeString(f.Text(name))
	if err != nil {
		return nil
	}
	return data
}

// readLogLine records what a line of the process's log stands for.
func (n *node) readLogLine(line []byte) {
	var fields jsonFields
	if json.Unmarshal(line, &fields) != nil {
		return // a line of the runtime, as of a panic
	}
	name := fields.Text("event")
	event, ok := EventOfLog(name, fields)
	if !ok {
		event, ok = n.nodeEvent(name, fields)
	}
	if !ok {
		return
	}
	event.Node = n.name
	event.Zone = n.zone
	n.harness.record(event)
}

// nodeEvent returns the event that a line stands for that isn't one of the agent.
func (n *node) nodeEvent(name string, fields jsonFields) (event Event, ok bool) {
	switch name {
	case "listening":
		n.noteAddress(fields)
	case "fleet_admitted":
		n.recordAdmissions(fields.Text("requests"), int64(fields.Number("now")))
	case "fleet_files_spoilt":
		return Event{Kind: KindCount, Detail: "files spoilt", Value: 1}, true
	case "invariant_broken":
		return Event{
			Kind: KindGuard, ID: fields.Text("request"), To: fields.Text("host"), Detail: fields.Text("rule"),
		}, true
	case "fleet_log_conflict", "fleet_voter_broken":
		return Event{Kind: KindCount, Detail: name, Value: 1}, true
	}
	return Event{}, false
}

// noteAddress passes on where the process listens for the platform's clients.
func (n *node) noteAddress(fields jsonFields) {
	if fields.Text("protocol") != "platform" {
		return
	}
	select {
	case n.listening <- fields.Text("address"):
	default: // nobody waits for it
	}
}

// admission is a request as a node logs its admission.
type admission struct {
	id         string
	number     uint64 // of the policy
	admittedBy string
	at         int64 // µs, by the node's clock
}

// parseAdmission reads ID=NUMBER=ADMITTED_BY=MICROSECONDS.
func parseAdmission(text string) (parsed admission, ok bool) {
	parts := strings.Split(text, "=")
	if len(parts) != 4 {
		return admission{}, false
	}
	number, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return admission{}, false
	}
	at, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil {
		return admission{}, false
	}
	return admission{id: parts[0], number: number, admittedBy: parts[2], at: at}, true
}

// recordAdmissions records the requests that a node logs together. now is the time by the node's clock.
func (n *node) recordAdmissions(list string, now int64) {
	const earliest = 1e-6 // zero stands for the current time
	logged := n.harness.seconds()
	for _, text := range strings.Fields(list) {
		admitted, ok := parseAdmission(text)
		if !ok {
			continue
		}
		age := float64(now-admitted.at) / microseconds
		n.harness.record(Event{
			At: max(earliest, logged-age), Kind: KindAdmission, ID: admitted.id, Node: n.name, Zone: n.zone,
			Number: admitted.number, Detail: admitted.admittedBy,
		})
	}
}
