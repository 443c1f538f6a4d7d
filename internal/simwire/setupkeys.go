package simwire

// SetupKeys lists the keys of the settings object, which the simulator sends and config.json contains. It includes the
// keys that this program doesn't use, because a settings object without one of them was cut short or is damaged.
var SetupKeys = KeyTable{
	"az":             {},
	"clients":        {Object: KeyTable{"marksRetry": {}}},
	"customers":      {List: KeyTable{"fraction": {}, "name": {}, "quotaRps": {}}},
	"dcs":            {},
	"domain":         {Object: domainKeys},
	"goal":           {Object: KeyTable{"whole": {}, "worstClass": {}, "worstTenant": {}, "worstWindow": {}}},
	"groupSize":      {},
	"index":          {},
	"invariants":     {Object: ruleKeys},
	"kinds":          {},
	"loadReport":     {Object: KeyTable{"fields": {}, "via": {}}},
	"membershipMode": {},
	"overShareWorth": {},
	"policyLimits":   {Object: limitKeys},
	"profiles":       {List: classKeys},
	"roundS":         {},
	"serviceType":    {},
	"stage":          {},
	"tariffs":        {Object: costKeys},
	"tiers":          {},
	"weightSource":   {},
	"worthBy":        {},
}

var domainKeys = KeyTable{
	"groups":                 {},
	"hint":                   {},
	"messageAimS":            {},
	"mode":                   {},
	"notes":                  {},
	"parkS":                  {},
	"reportX0":               {},
	"reportX1":               {},
	"tellsDelay":             {},
	"tellsLoad":              {},
	"tenantQuotaConnections": {},
}

var ruleKeys = KeyTable{
	"answerSlackS":       {},
	"askWithinS":         {},
	"coldShare":          {},
	"fallMultiple":       {},
	"fallS":              {},
	"rampTimeS":          {},
	"stopSendingWithinS": {},
}

var limitKeys = KeyTable{
	"connectTimeoutS": {},
	"cpuUsPerRequest": {},
	"cpuUsPerS":       {},
	"keepaliveS":      {},
	"maxOpen":         {},
	"maxRetryAfterS":  {},
	"mayCancel":       {},
	"mayProbe":        {},
	"mayTell":         {},
	"retryAfter":      {},
	"secondCopies":    {},
	"sendCap":         {},
	"streamsPerConn":  {},
}

var classKeys = KeyTable{
	"aimS":         {},
	"aimStretch":   {Optional: true},
	"dedupScope":   {},
	"dedupWindowS": {},
	"giveUpS":      {},
	"idempotency":  {},
	"lateShare":    {},
	"name":         {},
	"stream":       {},
	"value":        {},
}

var costKeys = KeyTable{
	"connection":     {},
	"crossZone":      {},
	"fleet":          {Optional: true},
	"handshake":      {},
	"lateFail":       {},
	"membershipMode": {},
	"moves":          {},
	"origin":         {},
	"peer":           {},
	"probe":          {},
	"waste":          {},
}
