package faults

import (
	"encoding/json"

	"spurwinch/internal/lab/fakeserver"
)

// Class is a class of clients.
type Class struct {
	Name           string
	Priority       float64
	Fraction       float64 // fraction of the requests
	StayInRegion   bool
	SetupObjective float64 // seconds
	Deadline       float64 // seconds
}

// Classes are the classes of the harness and of internal/lab/simulation.
var Classes = []Class{
	{Name: "gold", Priority: 3, Fraction: 0.25, SetupObjective: 0.5, Deadline: 3},
	{Name: "plain", Priority: 1, Fraction: 0.5, SetupObjective: 0.8, Deadline: 4},
	{Name: "local", Priority: 1.5, Fraction: 0.25, StayInRegion: true, SetupObjective: 0.8, Deadline: 4},
}

// messageObjective is the latency objective of messages, in seconds.
const messageObjective = 0.15

// NodeSettings returns the settings that the platform sends to a node.
func NodeSettings(nodes, index int, zone string) json.RawMessage {
	type object = map[string]any
	profiles := []object{}
	messageObjectives := []float64{}
	for _, class := range Classes {
		profiles = append(profiles, object{
			"name": class.Name, "aimS": class.SetupObjective, "giveUpS": class.Deadline, "idempotency": "safe",
			"dedupScope": "all", "dedupWindowS": 0, "value": class.Priority,
		})
		messageObjectives = append(messageObjectives, messageObjective)
	}
	return fakeserver.EncodeSettings(object{
		"az": zone, "groupSize": nodes, "index": index, "membershipMode": "on_request", "roundS": 0.005,
		"worthBy": "request", "weightSource": "off", "overShareWorth": 0.05, "customers": []object{},
		"profiles": profiles,
		"domain": object{
			"groups": false, "messageAimS": messageObjectives, "mode": "proxy", "tellsDelay": false, "parkS": 0,
			"tenantQuotaConnections": []float64{},
		},
		"invariants": object{
			"answerSlackS": 0.02, "askWithinS": 10, "coldShare": 0.15, "fallMultiple": 4, "fallS": 2,
			"rampTimeS": 20, "stopSendingWithinS": 3,
		},
		"loadReport": object{"via": "on_probe", "fields": []string{"recent_ms", "utilization", "x0"}},
		"policyLimits": object{
			"connectTimeoutS": 0.1, "mayCancel": true, "mayProbe": true, "mayTell": false, "retryAfter": true,
			"maxRetryAfterS": 3, "secondCopies": false, "sendCap": 4,
		},
		"tariffs": object{
			"probe": 0.0019, "moves": 0.01, "crossZone": 0.03, "lateFail": 0.049, "peer": 0, "waste": 0.017,
		},
	})
}
