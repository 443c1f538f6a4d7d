package simwire

import (
	"fmt"
	"reflect"

	"spurwinch/choice"
)

// setup is the simulator's settings object. The tags are the simulator's names; the fields use the terms of package
// choice. Times and durations are in seconds.
type setup struct {
	Zone              string      `json:"az"`
	Tenants           []tenant    `json:"customers"`
	Domain            domain      `json:"domain"`
	Nodes             int         `json:"groupSize"`
	Node              int         `json:"index"`
	Rules             rules       `json:"invariants"`
	LoadReports       loadReports `json:"loadReport"`
	ListMode          string      `json:"membershipMode"`
	OverQuotaPriority float64     `json:"overShareWorth"`
	Limits            limits      `json:"policyLimits"`
	Classes           []class     `json:"profiles"`
	RoundTrip         float64     `json:"roundS"`
	Costs             costs       `json:"tariffs"`
	Sizes             string      `json:"weightSource"`
	PriorityPer       string      `json:"worthBy"`
}

type tenant struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"quotaRps"` // requests per second
	Share float64 `json:"fraction"`
}

type domain struct {
	GroupAffinity     bool      `json:"groups"`
	MessageObjectives []float64 `json:"messageAimS"` // by class
	Mode              string    `json:"mode"`
	Park              float64   `json:"parkS"`
	DelaysObserved    bool      `json:"tellsDelay"`
	TenantConnections []float64 `json:"tenantQuotaConnections"` // by tenant
}

type rules struct {
	AnswerSlack       float64 `json:"answerSlackS"`
	MaxPollInterval   float64 `json:"askWithinS"`
	SlowStartFraction float64 `json:"coldShare"`
	OverloadMultiple  float64 `json:"fallMultiple"`
	OverloadTime      float64 `json:"fallS"`
	WarmUp            float64 `json:"rampTimeS"`
	DrainGrace        float64 `json:"stopSendingWithinS"`
}

type loadReports struct {
	Fields []string `json:"fields"`
	Source string   `json:"via"`
}

type limits struct {
	ConnectTimeout float64 `json:"connectTimeoutS"`
	MaxRetryAfter  float64 `json:"maxRetryAfterS"`
	Cancellation   bool    `json:"mayCancel"`
	HealthChecks   bool    `json:"mayProbe"`
	PeerMessages   bool    `json:"mayTell"`
	RetryAfter     bool    `json:"retryAfter"`
	HedgedRequests bool    `json:"secondCopies"`
	MaxAttempts    int     `json:"sendCap"`
}

type class struct {
	SetupObjective    float64 `json:"aimS"`
	IdempotencyScope  string  `json:"dedupScope"`
	IdempotencyWindow float64 `json:"dedupWindowS"`
	Deadline          float64 `json:"giveUpS"`
	Idempotency       string  `json:"idempotency"`
	Name              string  `json:"name"`
	Priority          float64 `json:"value"`
}

type costs struct {
	CrossZone   float64 `json:"crossZone"`
	LateFailure float64 `json:"lateFail"`
	Migration   float64 `json:"moves"`
	PeerMessage float64 `json:"peer"`
	HealthCheck float64 `json:"probe"`
	Waste       float64 `json:"waste"`
}

// Names that the setup object uses for values of package choice.
const (
	modePassThrough = "pass"       // domain.mode
	listOnRequest   = "on_request" // membershipMode
	priorityPerWork = "work"       // worthBy
)

var (
	idempotencyByName = map[string]choice.Idempotency{
		"safe":   choice.Idempotent,
		"keyed":  choice.IdempotentByKey,
		"unsafe": choice.NotIdempotent,
	}
	scopeByName = map[string]choice.Scope{
		"":     choice.ScopeAll,
		"all":  choice.ScopeAll,
		"zone": choice.ScopeZone,
		"cell": choice.ScopeCell,
	}
	reportSourceByName = map[string]choice.ReportSource{
		"":         choice.NoReports,
		"off":      choice.NoReports,
		"on_probe": choice.HealthCheckReports,
		"inline":   choice.AllReports,
	}
	sizeKindByName = map[string]choice.SizeKind{ // any other name means NoSize
		"":        choice.NoSize,
		"off":     choice.NoSize,
		"nominal": choice.NominalSize,
		"rough":   choice.NominalSize,
		"live":    choice.LiveSize,
	}
	reportFieldByName = map[string]choice.ReportField{ // any other name means OtherField
		"x0":           choice.Load,
		"x1":           choice.Backlog,
		"outstanding":  choice.InFlight,
		"backlog":      choice.Queue,
		"utilization":  choice.Utilization,
		"recent_ms":    choice.Latency,
		"throughput":   choice.Throughput,
		"errors_per_s": choice.ErrorRate,
	}
)

// usedKeys lists the keys of the settings object that this program uses. All of them are required.
var usedKeys = keyTableOf(reflect.TypeFor[setup]())

// keyTableOf returns the keys of a struct type with json tags.
func keyTableOf(structure reflect.Type) KeyTable {
	table := KeyTable{}
	for i := range structure.NumField() {
		field := structure.Field(i)
		name := field.Tag.Get("json")
		kind := field.Type.Kind()
		switch {
		case kind == reflect.Struct:
			table[name] = Key{Object: keyTableOf(field.Type)}
		case kind == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct:
			table[name] = Key{List: keyTableOf(field.Type.Elem())}
		default:
			table[name] = Key{}
		}
	}
	return table
}

// check rejects values with which a node can't serve.
func (s *setup) check() error {
	switch {
	case len(s.Classes) == 0:
		return setupErrorf("profiles", "profiles is empty: at least one request class is required")
	case s.Limits.MaxAttempts <= 0:
		return setupErrorf("policyLimits.sendCap",
			"policyLimits.sendCap must be at least 1, got %d", s.Limits.MaxAttempts)
	case s.Nodes < 1 || s.Node < 0 || s.Node >= s.Nodes:
		return setupErrorf("groupSize", "groupSize must be at least 1 and index from 0 to groupSize-1, got %d and %d",
			s.Nodes, s.Node)
	}
	if err := s.checkClasses(); err != nil {
		return err
	}
	return s.checkTenants()
}

func (s *setup) checkClasses() error {
	seen := map[string]bool{}
	for i, class := range s.Classes {
		key := fmt.Sprintf("profiles[%d]", i)
		path := fmt.Sprintf("%s (%q)", key, class.Name)
		switch {
		case class.Name == "" || seen[class.Name]:
			return setupErrorf(key+".name", "%s: the name must be unique and not empty", path)
		case class.Deadline <= 0:
			return setupErrorf(key+".giveUpS",
				"%s: giveUpS (the deadline) must be over 0, got %v", path, class.Deadline)
		case class.SetupObjective <= 0:
			return setupErrorf(key+".aimS",
				"%s: aimS (the set-up objective) must be over 0, got %v", path, class.SetupObjective)
		case class.Priority < 0:
			return setupErrorf(key+".value", "%s: value (the priority) must be 0 or more, got %v", path, class.Priority)
		}
		seen[class.Name] = true
	}
	return nil
}

func (s *setup) checkTenants() error {
	seen := map[string]bool{}
	for i, tenant := range s.Tenants {
		if tenant.Name == "" || seen[tenant.Name] {
			key := fmt.Sprintf("customers[%d]", i)
			return setupErrorf(key+".name", "%s (%q): the name must be unique and not empty", key, tenant.Name)
		}
		seen[tenant.Name] = true
	}
	return nil
}
