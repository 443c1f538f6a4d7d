package faults

import (
	"time"

	"spurwinch/internal/config/tomlfile"
)

// Duration is a duration in the notation of time.Duration, such as "1.5s".
type Duration = tomlfile.Duration

// Scenario is the content of a scenario file.
type Scenario struct {
	Name        string        `toml:"name"`
	Description string        `toml:"what"`
	Run         RunLength     `toml:"run"`
	Fleet       Fleet         `toml:"fleet,omitempty"`
	Steps       []Step        `toml:"fault"`
	Wants       []Expectation `toml:"want"`
	Limits      *Limits       `toml:"limits,omitempty"` // nil: DefaultLimits
}

// RunLength is the table [run] of a scenario file.
type RunLength struct {
	Length Duration `toml:"length"`
}

// Fleet describes the fleet of a scenario.
type Fleet struct {
	Nodes              int      `toml:"nodes,omitzero"`
	Zones              int      `toml:"zones,omitzero"`
	Regions            int      `toml:"regions,omitzero"`
	Voters             int      `toml:"voters,omitzero"`
	ServersPerZone     int      `toml:"hosts,omitzero"`
	ServerCapacity     int      `toml:"bears,omitzero"`   // connections; 0: derived from the number of nodes
	Utilization        float64  `toml:"use,omitzero"`     // fraction of the capacity that clients use
	ConnectionLifetime Duration `toml:"life,omitzero"`    // mean
	Policy             bool     `toml:"policy,omitempty"` // the fleet keeps its policy on the log
	OlderNodes         int      `toml:"older,omitzero"`   // number of the last nodes, which know older policies only
	SmallNodes         int      `toml:"small,omitzero"`   // number of the last nodes, which have few descriptors
}

// Action is what a step does. Scenario files contain its values.
type Action string

// Actions of steps.
const (
	ActionFailZone    Action = "lose"     // makes a zone's servers fail
	ActionRecoverZone Action = "back"     // ends the failure of a zone's servers
	ActionKill        Action = "kill"     // kills the processes of nodes
	ActionPause       Action = "stall"    // suspends the processes of nodes
	ActionCutLinks    Action = "cut"      // lets nothing pass on links
	ActionImpairLinks Action = "links"    // drops, delays or duplicates datagrams, and delays streams
	ActionRandom      Action = "draw"     // replaced by steps that are drawn at random
	ActionDrain       Action = "drain"    // drains a zone
	ActionUndrain     Action = "undrain"  // ends the drain of a zone
	ActionHeal        Action = "heal"     // ends all faults of links and servers
	ActionPropose     Action = "propose"  // an operator proposes a policy document
	ActionRollback    Action = "rollback" // an operator returns to an earlier policy
	ActionStatus      Action = "status"   // an operator queries the policy in force
)

// isCommand reports whether an action is an operator's command.
func (a Action) isCommand() bool {
	return a == ActionPropose || a == ActionRollback || a == ActionStatus
}

// Failure is the way in which a zone's servers fail. Scenario files contain its values.
type Failure string

// Failures of servers.
const (
	FailureNone    Failure = ""
	FailureRefuses Failure = "refuses" // servers refuse new connections and reset established ones
	FailureSilent  Failure = "silent"  // servers answer nothing
	FailureSlow    Failure = "slow"    // servers report more load than they have
)

// DocumentKind is the kind of policy document that a step proposes. Scenario files contain its values.
type DocumentKind string

// Kinds of policy documents.
const (
	DocumentDefault     DocumentKind = ""
	DocumentPlain       DocumentKind = "plain"
	DocumentNewer       DocumentKind = "newer" // contains a key that older nodes don't know
	DocumentDescriptors DocumentKind = "room"  // needs more descriptors than small nodes have
	DocumentInvalid     DocumentKind = "bad"   // contains an unknown table
)

// Step is one fault or one command of an operator. The history contains it as JSON with the names in the json tags.
type Step struct {
	At        Duration     `toml:"at"              json:"At"`
	Action    Action       `toml:"do"              json:"Do"`
	Zone      string       `toml:"zone,omitempty"  json:"Zone"`
	Node      string       `toml:"node,omitempty"  json:"Node"` // a selector of selectNodes
	From      string       `toml:"from,omitempty"  json:"From"` // source of the links: a party, a group or *
	To        string       `toml:"to,omitempty"    json:"To"`
	Both      bool         `toml:"both,omitempty"  json:"Both"`  // in both directions
	Failure   Failure      `toml:"how,omitempty"   json:"How"`   // for lose: how the servers fail
	Files     string       `toml:"files,omitempty" json:"Files"` // for kill: state of the files at the restart
	For       Duration     `toml:"for,omitzero"    json:"For"`   // duration of the fault, or time until the restart
	Drop      float64      `toml:"drop,omitzero"   json:"Drop"`
	Delay     Duration     `toml:"delay,omitzero"  json:"Delay"`
	Spread    Duration     `toml:"spread,omitzero" json:"Spread"`
	Repeat    float64      `toml:"repeat,omitzero" json:"Repeat"`
	Times     int          `toml:"times,omitzero"  json:"Times"` // number of drawn steps, or of successive commands
	Document  DocumentKind `toml:"doc,omitempty"   json:"Doc"`   // for propose: the policy document
	Canary    string       `toml:"part,omitempty"  json:"Part"`  // for propose: value of the flag --part
	KillAfter Duration     `toml:"dies,omitzero"   json:"Dies"`  // for propose: time until the command is killed
	Dead      bool         `toml:"dead,omitempty"  json:"Dead"`  // ignored; accepted for older files
}

// Expectation is what must happen in a run; otherwise the run does not test what the scenario is made for.
type Expectation struct {
	Seen  string `toml:"seen"`  // a key of Verdict.Seen
	Least int    `toml:"least"` // minimum number of occurrences
}

const (
	defaultNodes          = 12
	defaultZones          = 3
	defaultRegions        = 1
	defaultVoters         = 3
	defaultServersPerZone = 4
	defaultUtilization    = 0.45
	defaultLifetime       = 12 * time.Second
	minRunLength          = time.Second
	maxRunLength          = 10 * time.Minute
	maxZones              = 16
)

// ReadScenario decodes and checks a scenario file. The path is used in error messages only.
func ReadScenario(path string, text []byte) (*Scenario, error) {
	scenario := &Scenario{}
	file := tomlfile.Decode(path, text, scenario)
	if !file.HasFaults() {
		scenario.Fleet.setDefaults()
		scenario.check(file)
	}
	return scenario, file.Err()
}

// setDefaults sets the defaults of the keys that are missing in the file.
func (f *Fleet) setDefaults() {
	tomlfile.Fill(&f.Nodes, defaultNodes)
	tomlfile.Fill(&f.Zones, defaultZones)
	tomlfile.Fill(&f.Regions, defaultRegions)
	tomlfile.Fill(&f.Voters, defaultVoters)
	tomlfile.Fill(&f.ServersPerZone, defaultServersPerZone)
	tomlfile.Fill(&f.Utilization, defaultUtilization)
	tomlfile.Fill(&f.ConnectionLifetime, Duration(defaultLifetime))
}

// EffectiveLimits returns the limits for checking the scenario's history.
func (s *Scenario) EffectiveLimits() Limits {
	if s.Limits != nil {
		return *s.Limits
	}
	return DefaultLimits
}

// CheckExercised adds a violation for each expectation of the scenario that the run did not meet.
func (s *Scenario) CheckExercised(verdict *Verdict) {
	expected := map[string]int{}
	for _, want := range s.Wants {
		expected[want.Seen] = want.Least
	}
	verdict.Want(expected)
}
