package faults

import (
	"time"

	"spurwinch/internal/config/tomlfile"
)

// Duration is written as in "1.5s".
type Duration = tomlfile.Duration

// Scenario is a scenario's file.
type Scenario struct {
	Name        string        `toml:"name"`
	Description string        `toml:"what"`
	Run         RunLength     `toml:"run"`
	Fleet       Fleet         `toml:"fleet,omitempty"`
	Steps       []Step        `toml:"fault"`
	Wants       []Expectation `toml:"want"`
	Limits      *Limits       `toml:"limits,omitempty"` // nil: UsualLimits
}

// RunLength is the table [run].
type RunLength struct {
	Length Duration `toml:"length"`
}

// Fleet is the fleet that a scenario is made for.
type Fleet struct {
	Nodes              int      `toml:"nodes,omitzero"`
	Zones              int      `toml:"zones,omitzero"`
	Regions            int      `toml:"regions,omitzero"`
	Voters             int      `toml:"voters,omitzero"`
	ServersPerZone     int      `toml:"hosts,omitzero"`
	ServerCapacity     int      `toml:"bears,omitzero"`   // connections; 0: by the number of nodes
	Utilization        float64  `toml:"use,omitzero"`     // part of the capacity that clients ask for
	ConnectionLifetime Duration `toml:"life,omitzero"`    // mean
	Policy             bool     `toml:"policy,omitempty"` // the policy is on the log
	OlderNodes         int      `toml:"older,omitzero"`   // the last ones, which know older policies only
	SmallNodes         int      `toml:"small,omitzero"`   // the last ones, which have few descriptors
}

// Action is what a step does. The words are those of the files.
type Action string

// The actions.
const (
	ActionFailZone    Action = "lose"
	ActionRecoverZone Action = "back"
	ActionKill        Action = "kill"
	ActionPause       Action = "stall"
	ActionCutLinks    Action = "cut"
	ActionImpairLinks Action = "links"
	ActionRandom      Action = "draw"
	ActionDrain       Action = "drain"
	ActionUndrain     Action = "undrain"
	ActionHeal        Action = "heal"
	ActionPropose     Action = "propose"
	ActionRollback    Action = "rollback"
	ActionStatus      Action = "status"
)

// isCommand reports whether an action is a command of an operator.
func (a Action) isCommand() bool {
	return a == ActionPropose || a == ActionRollback || a == ActionStatus
}

// Failure is the way in which a zone's servers fail. The words are those of the files.
type Failure string

// The failures.
const (
	FailureNone    Failure = ""
	FailureRefuses Failure = "refuses" // connections are refused, and those that stand are reset
	FailureSilent  Failure = "silent"  // nothing is answered
	FailureSlow    Failure = "slow"    // more load is reported than there is
)

// DocumentKind is the kind of policy document that a step proposes. The words are those of the files.
type DocumentKind string

// The kinds of documents.
const (
	DocumentDefault     DocumentKind = ""
	DocumentPlain       DocumentKind = "plain"
	DocumentNewer       DocumentKind = "newer" // with a key that older nodes don't know
	DocumentDescriptors DocumentKind = "room"  // that needs more descriptors than small nodes have
	DocumentInvalid     DocumentKind = "bad"
)

// Step is one fault, or one command of an operator. The history has it as JSON, by the names in the json tags.
type Step struct {
	At        Duration     `toml:"at"              json:"At"`
	Action    Action       `toml:"do"              json:"Do"`
	Zone      string       `toml:"zone,omitempty"  json:"Zone"`
	Node      string       `toml:"node,omitempty"  json:"Node"` // as selectNodes reads it
	From      string       `toml:"from,omitempty"  json:"From"` // of links: a party, a group, or *
	To        string       `toml:"to,omitempty"    json:"To"`
	Both      bool         `toml:"both,omitempty"  json:"Both"`  // both directions
	Failure   Failure      `toml:"how,omitempty"   json:"How"`   // of lose
	Files     string       `toml:"files,omitempty" json:"Files"` // of kill: what is left of them at the start
	For       Duration     `toml:"for,omitzero"    json:"For"`   // until it is taken back, or the node starts again
	Drop      float64      `toml:"drop,omitzero"   json:"Drop"`
	Delay     Duration     `toml:"delay,omitzero"  json:"Delay"`
	Spread    Duration     `toml:"spread,omitzero" json:"Spread"`
	Repeat    float64      `toml:"repeat,omitzero" json:"Repeat"`
	Times     int          `toml:"times,omitzero"  json:"Times"` // of draw; of commands, one after another
	Document  DocumentKind `toml:"doc,omitempty"   json:"Doc"`   // of propose
	Canary    string       `toml:"part,omitempty"  json:"Part"`  // of propose
	KillAfter Duration     `toml:"dies,omitzero"   json:"Dies"`  // of propose: after its start the command is killed
	Dead      bool         `toml:"dead,omitempty"  json:"Dead"`  // read for older files; nothing goes by it
}

// Expectation is what must have happened, or the run shows nothing.
type Expectation struct {
	Seen  string `toml:"seen"`  // a key of Verdict.Seen
	Least int    `toml:"least"` // how often at least
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

// ReadScenario reads and checks a scenario's file. path is for messages.
func ReadScenario(path string, text []byte) (*Scenario, error) {
	scenario := &Scenario{}
	file := tomlfile.Decode(path, text, scenario)
	if !file.Broken() {
		scenario.Fleet.setDefaults()
		scenario.check(file)
	}
	return scenario, file.Err()
}

// setDefaults gives what the file left out its defaults.
func (f *Fleet) setDefaults() {
	tomlfile.Fill(&f.Nodes, defaultNodes)
	tomlfile.Fill(&f.Zones, defaultZones)
	tomlfile.Fill(&f.Regions, defaultRegions)
	tomlfile.Fill(&f.Voters, defaultVoters)
	tomlfile.Fill(&f.ServersPerZone, defaultServersPerZone)
	tomlfile.Fill(&f.Utilization, defaultUtilization)
	tomlfile.Fill(&f.ConnectionLifetime, Duration(defaultLifetime))
}

// EffectiveLimits are the limits that the scenario's history is checked against.
func (s *Scenario) EffectiveLimits() Limits {
	if s.Limits != nil {
		return *s.Limits
	}
	return DefaultLimits
}

// CheckExercised adds a violation for each thing that the scenario is made for and that did not happen.
func (s *Scenario) CheckExercised(verdict *Verdict) {
	expected := map[string]int{}
	for _, want := range s.Wants {
		expected[want.Seen] = want.Least
	}
	verdict.Want(expected)
}
