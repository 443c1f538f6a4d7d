package soak

import (
	"encoding/json"
	"time"

	"spurwinch/internal/lab/fakeserver"
)

// idempotency states whether a node may repeat a request of a class. The values appear in the settings.
type idempotency string

const (
	idempotent      idempotency = "safe"
	idempotentByKey idempotency = "keyed"
	notIdempotent   idempotency = "unsafe"
)

// class is a class of client requests.
type class struct {
	name              string
	idempotency       idempotency
	scope             string // where servers recognize repeats of one key: zone (one zone) or all (all zones)
	deadline          time.Duration
	idempotencyWindow time.Duration // how long servers recognize repeats of one key
	fraction          float64       // of all requests
}

var classes = []class{
	{name: "read", idempotency: idempotent, scope: "all", deadline: 2500 * time.Millisecond, fraction: 0.4},
	{
		name: "post", idempotency: idempotentByKey, scope: "zone", deadline: 2 * time.Second,
		idempotencyWindow: 1200 * time.Millisecond, fraction: 0.3,
	},
	{name: "pay", idempotency: notIdempotent, scope: "all", deadline: maxDeadline, fraction: 0.3},
}

const (
	maxDeadline       = 3 * time.Second
	drainGrace        = 3 * time.Second
	initialCapacity   = 0.15 // fraction of its capacity that a server has right after its start
	warmUpTime        = 10 * time.Second
	slowStartMultiple = 4
	slowStartWindow   = 2 * time.Second
	serverCapacity    = 20                          // connections
	maxConnections    = serverCapacity * 6 / 5      // a server with this many connections is full
	firstRequestCost  = 1 / float64(serverCapacity) // cost of one request in the settings' quotas
	maxAttempts       = 4
	messageObjective  = 0.15 // s
	setupObjective    = 0.5  // s
)

// deployment holds the properties in which the deployments of different runs differ.
type deployment struct {
	reports string // on_probe, inline or off
	pushed  bool   // endpoint lists are pushed to an agent beside each node, not requested
	peers   bool   // nodes may exchange observations by gossip
}

// drawDeployment returns the deployment of a seed. Neighboring seeds have different deployments.
func drawDeployment(seed uint64) deployment {
	return deployment{
		reports: []string{"on_probe", "on_probe", "inline", "off"}[seed%4],
		pushed:  seed%3 == 2,
		peers:   seed%5 != 4,
	}
}

// membershipMode returns the value of the settings for how a node gets its endpoint lists.
func (d deployment) membershipMode() string {
	if d.pushed {
		return "pushed"
	}
	return "on_request"
}

// settings returns the settings that the platform gives a node.
func (d deployment) settings(nodes, index, servers int, zone string) json.RawMessage {
	type object = map[string]any
	profiles := []object{}
	messageObjectives := []float64{}
	for _, class := range classes {
		profiles = append(profiles, object{
			"name": class.name, "aimS": setupObjective, "giveUpS": class.deadline.Seconds(),
			"idempotency": class.idempotency, "dedupScope": class.scope,
			"dedupWindowS": class.idempotencyWindow.Seconds(), "value": 1,
		})
		messageObjectives = append(messageObjectives, messageObjective)
	}
	return fakeserver.EncodeSettings(object{
		"az": zone, "groupSize": nodes, "index": index, "membershipMode": d.membershipMode(), "roundS": 0.005,
		"worthBy": "request", "weightSource": "off", "overShareWorth": 0.05,
		"customers": []object{{"name": "all", "quotaRps": 0, "fraction": 1}}, "profiles": profiles,
		"domain": object{
			"groups": false, "messageAimS": messageObjectives, "mode": "proxy", "tellsDelay": false, "parkS": 0,
			"tenantQuotaConnections": []float64{float64(servers * serverCapacity)},
		},
		"invariants": object{
			"answerSlackS": 0.02, "askWithinS": 10, "coldShare": initialCapacity, "fallMultiple": slowStartMultiple,
			"fallS": slowStartWindow.Seconds(), "rampTimeS": warmUpTime.Seconds(),
			"stopSendingWithinS": drainGrace.Seconds(),
		},
		"loadReport": object{"via": d.reports, "fields": []string{"recent_ms", "utilization", "x0"}},
		"policyLimits": object{
			"connectTimeoutS": 0.3, "mayCancel": true, "mayProbe": true, "mayTell": d.peers, "retryAfter": true,
			"maxRetryAfterS": 1, "secondCopies": false, "sendCap": maxAttempts,
		},
		"tariffs": object{
			"probe": 0.0019, "moves": 0.01, "crossZone": 0.03, "lateFail": 0.049, "peer": 0.01, "waste": 0.017,
		},
	})
}
