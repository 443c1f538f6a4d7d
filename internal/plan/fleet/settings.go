package fleet

import (
	"encoding/json"

	"spurwinch/internal/simwire"
)

// SettingsJSON is what a node of the fleet is told, in the form of the platform's configuration: the settings of node
// number index of all, in a centre.
func (f *Fleet) SettingsJSON(index, nodes int, centre string) json.RawMessage {
	type m = map[string]any
	customers, profiles := []m{}, []m{}
	aims, quotas := []float64{}, []float64{}
	sum := 0.0
	for _, e := range f.Editions {
		sum += e.Share
	}
	for i, e := range f.Editions {
		customers = append(customers, m{"name": e.Name, "fraction": e.Share / sum, "quotaRps": 0})
		quotas = append(quotas, f.Quota(i))
	}
	for _, c := range f.Classes {
		profiles = append(profiles, m{"name": c.Name, "aimS": c.SetupAim.Seconds(), "giveUpS": c.Patience.Seconds(),
			"idempotency": "safe", "dedupScope": "all", "dedupWindowS": 0, "value": c.Worth})
		aims = append(aims, c.MessageAim.Seconds())
	}
	raw, err := json.Marshal(m{
		"az": centre, "groupSize": nodes, "index": index, "membershipMode": "on_request", "roundS": 0.005, "worthBy": "request",
		"weightSource": "off", "overShareWorth": f.General.OverShareWorth, "customers": customers, "profiles": profiles,
		"domain": m{"groups": f.Group.Cost > 0, "messageAimS": aims, "mode": "proxy", "tellsDelay": false, "parkS": 0,
			"tenantQuotaConnections": quotas},
		"invariants": m{"answerSlackS": 0.02, "askWithinS": 10, "coldShare": f.Cold.Share, "fallMultiple": f.Cold.FallMultiple,
			"fallS": f.Cold.FallTime.Seconds(), "rampTimeS": f.Cold.WarmUp.Seconds(), "stopSendingWithinS": 3},
		"loadReport": m{"via": "on_probe", "fields": []string{"recent_ms", "utilization", "x0"}},
		"policyLimits": m{"connectTimeoutS": 0.1, "mayCancel": true, "mayProbe": true, "mayTell": false, "retryAfter": true, "maxRetryAfterS": 2,
			"secondCopies": false, "sendCap": 4},
		"tariffs": m{"probe": 0.0019, "moves": 0.01, "crossZone": 0.03, "lateFail": 0.049, "peer": 0, "waste": 0.017},
	})
	if err != nil {
		panic(err) // numbers and names only; the file was checked
	}
	return raw
}

// Settings is the same as the node's program reads it.
func (f *Fleet) Settings(index, nodes int, centre string) (simwire.Settings, error) {
	return simwire.DecodeSettings(f.SettingsJSON(index, nodes, centre))
}
