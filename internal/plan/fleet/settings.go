package fleet

import (
	"encoding/json"

	"spurwinch/internal/simwire"
)

// nodeSettings is a node's configuration in the platform's format, which internal/simwire decodes. The fields are in
// the order of their keys.
type nodeSettings struct {
	Zone              string             `json:"az"`
	Customers         []customerSettings `json:"customers"`
	Domain            domainSettings     `json:"domain"`
	GroupSize         int                `json:"groupSize"`
	Index             int                `json:"index"`
	Invariants        invariantSettings  `json:"invariants"`
	LoadReport        reportSettings     `json:"loadReport"`
	MembershipMode    string             `json:"membershipMode"`
	OverQuotaPriority float64            `json:"overShareWorth"`
	Limits            limitSettings      `json:"policyLimits"`
	Profiles          []profileSettings  `json:"profiles"`
	RoundS            float64            `json:"roundS"`
	Costs             costSettings       `json:"tariffs"`
	WeightSource      string             `json:"weightSource"`
	PriorityBy        string             `json:"worthBy"`
}

type customerSettings struct {
	Fraction float64 `json:"fraction"`
	Name     string  `json:"name"`
	QuotaRPS float64 `json:"quotaRps"`
}

type domainSettings struct {
	GroupAffinity     bool      `json:"groups"`
	MessageObjectiveS []float64 `json:"messageAimS"` // by class
	Mode              string    `json:"mode"`
	ParkS             float64   `json:"parkS"`
	DelaysObserved    bool      `json:"tellsDelay"`
	TenantQuotas      []float64 `json:"tenantQuotaConnections"` // by tenant
}

type invariantSettings struct {
	AnswerSlackS       float64 `json:"answerSlackS"`
	MaxPollIntervalS   float64 `json:"askWithinS"`
	SlowStartFraction  float64 `json:"coldShare"`
	OverloadMultiple   float64 `json:"fallMultiple"`
	OverloadTimeS      float64 `json:"fallS"`
	WarmUpS            float64 `json:"rampTimeS"`
	StopSendingWithinS float64 `json:"stopSendingWithinS"`
}

type reportSettings struct {
	Fields []string `json:"fields"`
	Source string   `json:"via"` // how the node receives load reports
}

type limitSettings struct {
	ConnectTimeoutS float64 `json:"connectTimeoutS"`
	MaxRetryAfterS  float64 `json:"maxRetryAfterS"`
	MayCancel       bool    `json:"mayCancel"`
	HealthChecks    bool    `json:"mayProbe"`
	PeerMessages    bool    `json:"mayTell"`
	RetryAfter      bool    `json:"retryAfter"`
	HedgedRequests  bool    `json:"secondCopies"`
	MaxAttempts     int     `json:"sendCap"`
}

type profileSettings struct {
	SetupObjectiveS    float64 `json:"aimS"`
	IdempotencyScope   string  `json:"dedupScope"`
	IdempotencyWindowS float64 `json:"dedupWindowS"`
	DeadlineS          float64 `json:"giveUpS"`
	Idempotency        string  `json:"idempotency"`
	Name               string  `json:"name"`
	Priority           float64 `json:"value"`
}

type costSettings struct {
	CrossZone   float64 `json:"crossZone"`
	LateFailure float64 `json:"lateFail"`
	Migration   float64 `json:"moves"`
	PeerMessage float64 `json:"peer"`
	HealthCheck float64 `json:"probe"`
	Waste       float64 `json:"waste"`
}

// SettingsJSON returns the settings of one node in the format of the platform's configuration. The node is given by its
// index, the total number of nodes and its zone.
func (f *Fleet) SettingsJSON(index, nodes int, zone string) json.RawMessage {
	raw, err := json.Marshal(nodeSettings{
		Zone:      zone,
		Customers: f.customerSettings(),
		Domain:    f.domainSettings(),
		GroupSize: nodes,
		Index:     index,
		Invariants: invariantSettings{
			AnswerSlackS:       0.02,
			MaxPollIntervalS:   10,
			SlowStartFraction:  f.SlowStart.Fraction,
			OverloadMultiple:   f.SlowStart.OverloadMultiple,
			OverloadTimeS:      f.SlowStart.OverloadTime.Seconds(),
			WarmUpS:            f.SlowStart.WarmUp.Seconds(),
			StopSendingWithinS: 3,
		},
		LoadReport:        reportSettings{Fields: []string{"recent_ms", "utilization", "x0"}, Source: "on_probe"},
		MembershipMode:    "on_request",
		OverQuotaPriority: f.General.OverQuotaPriority,
		Limits: limitSettings{
			ConnectTimeoutS: 0.1,
			MaxRetryAfterS:  2,
			MayCancel:       true,
			HealthChecks:    true,
			RetryAfter:      true,
			MaxAttempts:     4,
		},
		Profiles: f.profileSettings(),
		RoundS:   0.005,
		Costs: costSettings{
			CrossZone:   0.03,
			LateFailure: 0.049,
			Migration:   0.01,
			HealthCheck: 0.0019,
			Waste:       0.017,
		},
		WeightSource: "off",
		PriorityBy:   "request",
	})
	if err != nil {
		panic(err) // can't happen: the settings consist of names and numbers of a validated file
	}
	return raw
}

func (f *Fleet) customerSettings() []customerSettings {
	customers := []customerSettings{}
	shares := f.tenantShares()
	for _, tenant := range f.Tenants {
		customers = append(customers, customerSettings{Name: tenant.Name, Fraction: tenant.Share / shares})
	}
	return customers
}

func (f *Fleet) profileSettings() []profileSettings {
	profiles := []profileSettings{}
	for _, class := range f.Classes {
		profiles = append(profiles, profileSettings{
			Name:             class.Name,
			SetupObjectiveS:  class.SetupObjective.Seconds(),
			DeadlineS:        class.Deadline.Seconds(),
			Idempotency:      "safe",
			IdempotencyScope: "all",
			Priority:         class.Priority,
		})
	}
	return profiles
}

func (f *Fleet) domainSettings() domainSettings {
	settings := domainSettings{
		GroupAffinity:     f.Group.Cost > 0,
		MessageObjectiveS: []float64{},
		Mode:              "proxy",
		TenantQuotas:      []float64{},
	}
	for _, class := range f.Classes {
		settings.MessageObjectiveS = append(settings.MessageObjectiveS, class.MessageObjective.Seconds())
	}
	for i := range f.Tenants {
		settings.TenantQuotas = append(settings.TenantQuotas, f.Quota(i))
	}
	return settings
}

// Settings returns the settings of SettingsJSON, decoded as the node decodes them.
func (f *Fleet) Settings(index, nodes int, zone string) (simwire.Settings, error) {
	return simwire.DecodeSettings(f.SettingsJSON(index, nodes, zone))
}
