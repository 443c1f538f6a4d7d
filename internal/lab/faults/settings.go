package faults

import "encoding/json"

// Class is a class of the laboratory's clients.
type Class struct {
	Name           string
	Priority       float64
	Fraction       float64 // of the requests
	StayInRegion   bool    // not out of its region
	SetupObjective float64 // seconds
	Deadline       float64
}

// Classes are the laboratory's.
var Classes = []Class{
	{"gold", 3, 0.25, false, 0.5, 3},
	{"plain", 1, 0.5, false, 0.8, 4},
	{"local", 1.5, 0.25, true, 0.8, 4},
}

// SettingsJSON is what a node of the laboratory is told, as the platform tells it.
func NodeSettings(nodes, index int, zone string) json.RawMessage {
	type m = map[string]any
	profiles, aims := []m{}, []float64{}
	for _, c := range Classes {
		profiles = append(profiles, m{"name": c.Name, "aimS": c.SetupObjective, "giveUpS": c.Deadline, "idempotency": "safe", "dedupScope": "all",
			"dedupWindowS": 0, "value": c.Priority})
		aims = append(aims, 0.15)
	}
	raw, err := json.Marshal(m{
		"az": zone, "groupSize": nodes, "index": index, "membershipMode": "on_request", "roundS": 0.005, "worthBy": "request",
		"weightSource": "off", "overShareWorth": 0.05, "customers": []m{}, "profiles": profiles,
		"domain":     m{"groups": false, "messageAimS": aims, "mode": "proxy", "tellsDelay": false, "parkS": 0, "tenantQuotaConnections": []float64{}},
		"invariants": m{"answerSlackS": 0.02, "askWithinS": 10, "coldShare": 0.15, "fallMultiple": 4, "fallS": 2, "rampTimeS": 20, "stopSendingWithinS": 3},
		"loadReport": m{"via": "on_probe", "fields": []string{"recent_ms", "utilization", "x0"}},
		"policyLimits": m{"connectTimeoutS": 0.1, "mayCancel": true, "mayProbe": true, "mayTell": false, "retryAfter": true, "maxRetryAfterS": 3,
			"secondCopies": false, "sendCap": 4},
		"tariffs": m{"probe": 0.0019, "moves": 0.01, "crossZone": 0.03, "lateFail": 0.049, "peer": 0, "waste": 0.017},
	})
	if err != nil {
		panic(err) // numbers and names only
	}
	return raw
}
