package faults

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"spurwinch/internal/config/tomlfile"
)

// requiredKeys maps each action to the key that its steps require. The key is empty if the action requires none. "from"
// means both from and to.
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

// check reports the errors in a scenario.
func (s *Scenario) check(file *tomlfile.File) {
	if s.Name == "" || s.Description == "" {
		file.Fault("name", "name and what must not be empty")
	}
	length := time.Duration(s.Run.Length)
	if length < minRunLength || length > maxRunLength {
		file.Fault("run.length", "[run] length must be between 1s and 10m")
	}
	if !s.Fleet.isValid() {
		file.Fault("fleet",
			"[fleet]: zones must be 1 to 16, regions 1 to zones, nodes and hosts at least 1, bears at least 0")
	}
	for i := range s.Steps {
		s.checkStep(file, fmt.Sprintf("fault.%d", i), &s.Steps[i])
	}
	for i, want := range s.Wants {
		if want.Seen == "" || want.Least < 1 {
			file.Fault(fmt.Sprintf("want.%d", i), "[[want]]: seen must not be empty, and least must be at least 1")
		}
	}
	if len(s.Wants) == 0 {
		file.Fault("", "no [[want]]: at least one is required, since a run without expectations tests nothing")
	}
}

// isValid reports whether the harness can run such a fleet.
func (f *Fleet) isValid() bool {
	return f.Nodes >= 1 && f.Zones >= 1 && f.Zones <= maxZones && f.Regions >= 1 && f.Regions <= f.Zones &&
		f.ServersPerZone >= 1 && f.ServerCapacity >= 0
}

// checkStep reports the first error in a step. place is the step's path in the file.
func (s *Scenario) checkStep(file *tomlfile.File, place string, step *Step) {
	required, known := requiredKeys[step.Action]
	switch {
	case !known:
		file.Fault(place+".do", "do = %q: must be lose, back, kill, stall, cut, links, draw, drain, undrain, heal, "+
			"propose, rollback or status", step.Action)
	case step.Action.isCommand() && !s.Fleet.Policy:
		file.Fault(place+".do", "do = %q: requires policy = true in [fleet]", step.Action)
	case !slices.Contains(documentKinds, step.Document):
		file.Fault(place+".doc", "doc = %q: must be plain, newer, room or bad", step.Document)
	case !step.has(required):
		keys := strings.Replace(required, "from", "from and to", 1)
		file.Fault(place, "do = %q: requires the key %s", step.Action, keys)
	case step.Action == ActionFailZone && !slices.Contains(zoneFailures, step.Failure):
		file.Fault(place+".how", "how = %q: must be refuses, silent or slow", step.Failure)
	case !slices.Contains(fileStates, step.Files):
		file.Fault(place+".files", "files = %q: must be kept, lost, cut or spoilt", step.Files)
	case step.At >= s.Run.Length:
		file.Fault(place+".at", "at = %q: must be before the end of the run", time.Duration(step.At))
	}
}

// has reports whether a step has the required key.
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
