package faults

import (
	"fmt"
	"strings"
	"time"

	"spurwinch/internal/config/tomlfile"
)

// Duration is written as in "1.5s".
type Duration = tomlfile.Duration

// Scenario is a scenario's file.
type Scenario struct {
	Name   string  `toml:"name"`
	What   string  `toml:"what"`
	Length Length  `toml:"run"`
	Fleet  Fleet   `toml:"fleet,omitempty"`
	Steps  []Step  `toml:"fault"`
	Wants  []Want  `toml:"want"`
	Limits *Limits `toml:"limits,omitempty"`
}

// Length is how long a scenario runs.
type Length struct {
	Length Duration `toml:"length"`
}

// Fleet is the fleet that a scenario is made for; what a call says beats it.
type Fleet struct {
	Nodes   int      `toml:"nodes,omitzero"`
	Zones   int      `toml:"zones,omitzero"`
	Regions int      `toml:"regions,omitzero"`
	Voters  int      `toml:"voters,omitzero"`
	Hosts   int      `toml:"hosts,omitzero"`   // in each zone
	Bears   int      `toml:"bears,omitzero"`   // connections, a host; 0: by the number of nodes
	Use     float64  `toml:"use,omitzero"`     // part of what all hosts bear that clients ask for
	Life    Duration `toml:"life,omitzero"`    // of a connection, in the mean
	Policy  bool     `toml:"policy,omitempty"` // on the log
	Older   int      `toml:"older,omitzero"`   // of the last nodes, that know older policies only
	Small   int      `toml:"small,omitzero"`   // of the last nodes, that have few descriptors
}

// Step is one fault.
type Step struct {
	At     Duration `toml:"at"`
	Do     string   `toml:"do"`
	Zone   string   `toml:"zone,omitempty"`
	Node   string   `toml:"node,omitempty"` // leader, voter:N, node:N, zone:Z, third, all
	From   string   `toml:"from,omitempty"`
	To     string   `toml:"to,omitempty"`
	Both   bool     `toml:"both,omitempty"`
	How    string   `toml:"how,omitempty"`   // of lose: refuses, silent, slow
	Files  string   `toml:"files,omitempty"` // of start: kept, lost, cut, spoilt
	For    Duration `toml:"for,omitzero"`    // until it is taken back, or the node is started again
	Drop   float64  `toml:"drop,omitzero"`
	Delay  Duration `toml:"delay,omitzero"`
	Spread Duration `toml:"spread,omitzero"`
	Repeat float64  `toml:"repeat,omitzero"`
	Times  int      `toml:"times,omitzero"` // of draw; of propose, one after another
	Doc    string   `toml:"doc,omitempty"`  // of propose: plain, newer, room, bad
	Part   string   `toml:"part,omitempty"` // of propose
	Dies   Duration `toml:"dies,omitzero"`  // of propose: the command is killed so long after its start
	Dead   bool     `toml:"dead,omitempty"` // of a proposal: abort it at once
}

// Want is what must have happened, or the run shows nothing.
type Want struct {
	Seen  string `toml:"seen"`
	Least int    `toml:"least"`
}

var does = map[string]string{"lose": "zone", "back": "zone", "kill": "node", "stall": "node", "cut": "from", "links": "from", "draw": "", "drain": "zone", "undrain": "zone", "heal": "", "propose": "", "rollback": "", "status": ""}

// ReadScenario reads and checks a scenario's file.
func ReadScenario(path string, src []byte) (*Scenario, error) {
	s := &Scenario{}
	f := tomlfile.Decode(path, src, s)
	if !f.Broken() {
		s.check(f)
	}
	return s, f.Err()
}

func (s *Scenario) check(f *tomlfile.File) {
	fill := tomlfile.Fill[int]
	fill(&s.Fleet.Nodes, 12)
	fill(&s.Fleet.Zones, 3)
	fill(&s.Fleet.Regions, 1)
	fill(&s.Fleet.Voters, 3)
	fill(&s.Fleet.Hosts, 4)
	tomlfile.Fill(&s.Fleet.Use, 0.45)
	tomlfile.Fill(&s.Fleet.Life, Duration(12*time.Second))
	if s.Name == "" || s.What == "" {
		f.Fault("name", "a name and a line in what are wanted")
	}
	if l := time.Duration(s.Length.Length); l < time.Second || l > 10*time.Minute {
		f.Fault("run.length", "[run] length: 1s to 10m are possible")
	}
	if s.Fleet.Nodes < 1 || s.Fleet.Zones < 1 || s.Fleet.Zones > 16 || s.Fleet.Regions < 1 || s.Fleet.Regions > s.Fleet.Zones || s.Fleet.Hosts < 1 || s.Fleet.Bears < 0 {
		f.Fault("fleet", "[fleet]: 1 to 16 zones, as many regions at most, a host or more in each")
	}
	for i, x := range s.Steps {
		at := fmt.Sprintf("fault.%d", i)
		needs, ok := does[x.Do]
		switch {
		case !ok:
			f.Fault(at+".do", "do = %q: one of lose, back, kill, stall, cut, links, draw, drain, undrain, heal, propose, rollback and status is wanted", x.Do)
		case (x.Do == "propose" || x.Do == "rollback" || x.Do == "status") && !s.Fleet.Policy:
			f.Fault(at+".do", "do = %q: [fleet] policy = true is wanted", x.Do)
		case x.Doc != "" && x.Doc != "plain" && x.Doc != "newer" && x.Doc != "room" && x.Doc != "bad":
			f.Fault(at+".doc", "doc = %q: plain, newer, room or bad is wanted", x.Doc)
		case needs == "zone" && x.Zone == "", needs == "node" && x.Node == "", needs == "from" && (x.From == "" || x.To == ""):
			f.Fault(at, "do = %q: %s is wanted", x.Do, strings.Replace(needs, "from", "from and to", 1))
		case x.Do == "lose" && x.How != "refuses" && x.How != "silent" && x.How != "slow":
			f.Fault(at+".how", "how = %q: refuses, silent or slow is wanted", x.How)
		case x.Files != "" && x.Files != "kept" && x.Files != "lost" && x.Files != "cut" && x.Files != "spoilt":
			f.Fault(at+".files", "files = %q: kept, lost, cut or spoilt is wanted", x.Files)
		case time.Duration(x.At) >= time.Duration(s.Length.Length):
			f.Fault(at+".at", "at = %q is behind the end of the run", time.Duration(x.At))
		}
	}
	for i, w := range s.Wants {
		if w.Seen == "" || w.Least < 1 {
			f.Fault(fmt.Sprintf("want.%d", i), "[[want]]: what is to be seen, and least, 1 or more, are wanted")
		}
	}
	if len(s.Wants) == 0 {
		f.Fault("", "no [[want]]: a run in which nothing has to happen shows nothing")
	}
}

// Rules are the limits that the scenario's history is held to.
func (s *Scenario) Rules() Limits {
	if s.Limits != nil {
		return *s.Limits
	}
	return UsualLimits
}

// Exercised holds that what the scenario is made for has happened.
func (s *Scenario) Exercised(v *Verdict) {
	want := map[string]int{}
	for _, w := range s.Wants {
		want[w.Seen] = w.Least
	}
	v.Want(want)
}
