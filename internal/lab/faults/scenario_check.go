package faults

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"spurwinch/internal/config/tomlfile"
)

// requiredKeys are the actions, and the key of a step that each needs; empty: none. "from" stands for from and to.
var requiredKeys = map[Action]string{
	ActionFailZone:    "zone",
	ActionRecoverZone: "zone",
	ActionKill:        "node",
	ActionPause:       "node",
	ActionCutLinks:    "from",
	ActionImpairLinks: "from",
	ActionRandom:      "",
	ActionDrain:       "zone",
	ActionUndrain:     "zone",
	ActionHeal:        "",
	ActionPropose:     "",
	ActionRollback:    "",
	ActionStatus:      "",
}

var (
	documentKinds = []DocumentKind{
		DocumentDefault, DocumentPlain, DocumentNewer, DocumentDescriptors, DocumentInvalid,
	}
	zoneFailures = []Failure{FailureRefuses, FailureSilent, FailureSlow}
	fileStates   = []string{"", FilesIntact, FilesLost, FilesCut, FilesSpoiled}
)

// check reports what is wrong with a scenario.
func (s *Scenario) check(file *tomlfile.File) {
	if s.Name == "" || s.Description == "" {
		file.Fault("name", "a name and a line in what are wanted")
	}
	length := time.Duration(s.Run.Length)
	if length < minRunLength || length > maxRunLength {
		file.Fault("run.length", "[run] length: 1s to 10m are possible")
	}
	if !s.Fleet.isValid() {
		file.Fault("fleet", "[fleet]: 1 to 16 zones, as many regions at most, a host or more in each")
	}
	for i := range s.Steps {
		s.checkStep(file, fmt.Sprintf("fault.%d", i), &s.Steps[i])
	}
	for i, want := range s.Wants {
		if want.Seen == "" || want.Least < 1 {
			file.Fault(fmt.Sprintf("want.%d", i), "[[want]]: what is to be seen, and least, 1 or more, are wanted")
		}
	}
	if len(s.Wants) == 0 {
		file.Fault("", "no [[want]]: a run in which nothing has to happen shows nothing")
	}
}

// isValid reports whether a fleet can be played.
func (f *Fleet) isValid() bool {
	return f.Nodes >= 1 && f.Zones >= 1 && f.Zones <= maxZones && f.Regions >= 1 && f.Regions <= f.Zones &&
		f.ServersPerZone >= 1 && f.ServerCapacity >= 0
}

// checkStep reports the first thing that is wrong with a step, which stands at a place in the file.
func (s *Scenario) checkStep(file *tomlfile.File, place string, step *Step) {
	required, known := requiredKeys[step.Action]
	switch {
	case !known:
		file.Fault(place+".do", "do = %q: one of lose, back, kill, stall, cut, links, draw, drain, undrain, heal, "+
			"propose, rollback and status is wanted", step.Action)
	case step.Action.isCommand() && !s.Fleet.Policy:
		file.Fault(place+".do", "do = %q: [fleet] policy = true is wanted", step.Action)
	case !slices.Contains(documentKinds, step.Document):
		file.Fault(place+".doc", "doc = %q: plain, newer, room or bad is wanted", step.Document)
	case !step.has(required):
		wanted := strings.Replace(required, "from", "from and to", 1)
		file.Fault(place, "do = %q: %s is wanted", step.Action, wanted)
	case step.Action == ActionFailZone && !slices.Contains(zoneFailures, step.Failure):
		file.Fault(place+".how", "how = %q: refuses, silent or slow is wanted", step.Failure)
	case !slices.Contains(fileStates, step.Files):
		file.Fault(place+".files", "files = %q: kept, lost, cut or spoilt is wanted", step.Files)
	case step.At >= s.Run.Length:
		file.Fault(place+".at", "at = %q is behind the end of the run", time.Duration(step.At))
	}
}

// has reports whether a step has a key that its action needs.
func (s *Step) has(required string) bool {
	switch required {
	case "zone":
		return s.Zone != ""
	case "node":
		return s.Node != ""
	case "from":
		return s.From != "" && s.To != ""
	}
	return true
}
