package faults

import (
	"encoding/base64"
	"encoding/json"
	"strconv"
	"strings"
)

// jsonFields are the fields of a JSON line of a process's log.
type jsonFields map[string]json.RawMessage

func (f jsonFields) raw(name string) string { return strings.TrimSpace(string(f[name])) }

// Text, Number, Float, Bool and Bytes make it LogFields.
func (f jsonFields) Text(name string) (text string) {
	json.Unmarshal(f[name], &text)
	return text
}

func (f jsonFields) Number(name string) uint64 {
	n, _ := strconv.ParseUint(f.raw(name), 10, 64)
	return n
}

func (f jsonFields) Float(name string) float64 {
	v, _ := strconv.ParseFloat(f.raw(name), 64)
	return v
}

func (f jsonFields) Bool(name string) bool { return f.raw(name) == "true" }

func (f jsonFields) Bytes(name string) []byte {
	data, _ := base64.StdEncoding.DecodeString(f.Text(name))
	return data
}

// readLogLine makes events of a line that the process logs.
func (n *proc) readLogLine(line []byte) {
	var fields jsonFields
	if json.Unmarshal(line, &fields) != nil {
		return
	}
	event := fields.Text("event")
	e, ok := EventOfLog(event, fields)
	if !ok {
		switch event {
		case "listening":
			n.listens(fields)
			return
		case "fleet_admitted":
			n.admitted(fields.Text("requests"), int64(fields.Number("now")))
			return
		case "fleet_files_spoilt":
			e = Event{Kind: KindCount, Detail: "files spoilt", Value: 1}
		case "invariant_broken":
			e = Event{Kind: KindGuard, ID: fields.Text("request"), To: fields.Text("host"), Detail: fields.Text("rule")}
		case "fleet_log_conflict", "fleet_voter_broken":
			e = Event{Kind: KindCount, Detail: event, Value: 1}
		default:
			return
		}
	}
	e.Node, e.Zone = n.name, n.zone
	n.lab.note(e)
}

// listens passes on where the process listens for the platform's clients.
func (n *proc) listens(fields jsonFields) {
	if fields.Text("protocol") != "platform" {
		return
	}
	select {
	case n.addr <- fields.Text("address"):
	default:
	}
}
