package soak

import (
	"encoding/json"
	"time"
)

type repeat string

const (
	safe   repeat = "safe"
	keyed  repeat = "keyed"
	unsafe repeat = "unsafe"
)

// class is a class of the laboratory's clients.
type class struct {
	name     string
	repeat   repeat
	scope    string
	patience time.Duration
	window   time.Duration // keyed
	part     float64       // of the requests
}

var classes = []class{
	{"read", safe, "all", 2500 * time.Millisecond, 0, 0.4},
	{"post", keyed, "zone", 2 * time.Second, 1200 * time.Millisecond, 0.3},
	{"pay", unsafe, "all", 3 * time.Second, 0, 0.3},
}

const (
	longestPatience = 3 * time.Second
	drainGrace      = 3 * time.Second
	coldShare       = 0.15
	warmUp          = 10 * time.Second
	fallMultiple    = 4
	fallTime        = 2 * time.Second
	bears           = 20                 // connections that fill a host
	firstCost       = 1 / float64(bears) // of one, as the quotas of the settings tell it
)

// deployment is what differs from one deployment to another.
type deployment struct {
	reports string // on_probe, inline or off
	pushed  bool   // lists are pushed to an agent beside each node
	peers   bool   // nodes may speak to one another
}

// drawDeployment gives seeds of all kinds.
func drawDeployment(seed uint64) deployment {
	return deployment{reports: []string{"on_probe", "on_probe", "inline", "off"}[seed%4], pushed: seed%3 == 2, peers: seed%5 != 4}
}

func (d deployment) membership() string {
	if d.pushed {
		return "pushed"
	}
	return "on_request"
}

// settingsJSON is what a node is told, as the platform tells it.
func settingsJSON(d deployment, nodes, index, hosts int, zone string) json.RawMessage {
	type m = map[string]any
	profiles, aims := []m{}, []float64{}
	for _, c := range classes {
		profiles = append(profiles, m{"name": c.name, "aimS": 0.5, "giveUpS": c.patience.Seconds(), "idempotency": c.repeat, "dedupScope": c.scope,
			"dedupWindowS": c.window.Seconds(), "value": 1})
		aims = append(aims, 0.15)
	}
	raw, err := json.Marshal(m{
		"az": zone, "groupSize": nodes, "index": index, "membershipMode": d.membership(), "roundS": 0.005, "worthBy": "request",
		"weightSource": "off", "overShareWorth": 0.05, "customers": []m{{"name": "all", "quotaRps": 0, "fraction": 1}}, "profiles": profiles,
		"domain": m{"groups": false, "messageAimS": aims, "mode": "proxy", "tellsDelay": false, "parkS": 0,
			"tenantQuotaConnections": []float64{float64(hosts * bears)}},
		"invariants": m{"answerSlackS": 0.02, "askWithinS": 10, "coldShare": coldShare, "fallMultiple": fallMultiple, "fallS": fallTime.Seconds(),
			"rampTimeS": warmUp.Seconds(), "stopSendingWithinS": drainGrace.Seconds()},
		"loadReport": m{"via": d.reports, "fields": []string{"recent_ms", "utilization", "x0"}},
		"policyLimits": m{"connectTimeoutS": 0.3, "mayCancel": true, "mayProbe": true, "mayTell": d.peers, "retryAfter": true, "maxRetryAfterS": 1,
			"secondCopies": false, "sendCap": mostAttempts},
		"tariffs": m{"probe": 0.0019, "moves": 0.01, "crossZone": 0.03, "lateFail": 0.049, "peer": 0.01, "waste": 0.017},
	})
	if err != nil {
		panic(err) // numbers and names only
	}
	return raw
}
