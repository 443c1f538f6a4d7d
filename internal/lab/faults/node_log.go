package faults

import (
	"encoding/base64"
	"encoding/json"
	"strconv"
	"strings"
)

// jsonFields are the fields of a JSON line of a process's log. The type implements LogFields.
type jsonFields map[string]json.RawMessage

// raw returns the encoded value of a field.
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

// readLogLine records the event, if any, that a line of the process's log describes.
func (n *node) readLogLine(line []byte) {
	var fields jsonFields
	if json.Unmarshal(line, &fields) != nil {
		return // not JSON: a line of the Go runtime, such as of a panic
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

// nodeEvent converts a log line that EventOfLog does not know to an event of the history. It handles the lines on
// addresses and admissions itself and returns false for them.
func (n *node) nodeEvent(name string, fields jsonFields) (event Event, ok bool) {
	switch name {
	case "listening":
		n.publishAddress(fields)
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

// publishAddress sends the address on which the process listens for the platform's clients to n.listening.
func (n *node) publishAddress(fields jsonFields) {
	if fields.Text("protocol") != "platform" {
		return
	}
	select {
	case n.listening <- fields.Text("address"):
	default: // the channel is full, since no goroutine waits for the address
	}
}

// admission is a request's admission, as a node logs it.
type admission struct {
	id         string
	number     uint64 // of the policy
	admittedBy string
	at         int64 // µs, by the node's clock
}

// parseAdmission parses an admission of the form ID=NUMBER=ADMITTED_BY=MICROSECONDS.
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

// recordAdmissions records the admissions that a node logs in one line. now is the time of the line in µs by the node's
// clock.
func (n *node) recordAdmissions(list string, now int64) {
	const earliest = 1e-6 // record takes zero as the current time
	logged := n.harness.seconds()
	for _, text := range strings.Fields(list) {
		admitted, ok := parseAdmission(text)
		if !ok {
			continue
		}
		age := float64(now-admitted.at) / microsecondsPerSecond
		n.harness.record(Event{
			At: max(earliest, logged-age), Kind: KindAdmission, ID: admitted.id, Node: n.name, Zone: n.zone,
			Number: admitted.number, Detail: admitted.admittedBy,
		})
	}
}
