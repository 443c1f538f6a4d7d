package agent

import (
	"slices"
	"time"

	"spurwinch/internal/agree"
)

type saving struct {
	rec     agree.Record
	whole   bool
	ofVoter bool
}

// advance carries out what the voter has to do, as far as the disk allows.
func (a *Agent) advance(now time.Duration) {
	for range mostSteps {
		if a.saving != nil {
			return
		}
		if a.voter != nil && a.advanceVoter(now) {
			continue
		}
		if a.unsaved {
			a.unsaved = false
			a.saving = &saving{rec: agree.Record{Log: a.follower.Log(), Newest: a.follower.Entries()}}
		}
		return
	}
}

// advanceVoter has the voter's next record saved, or goes on where there is nothing to save. It says whether there may be more to do.
func (a *Agent) advanceVoter(now time.Duration) (more bool) {
	if rec, ok := a.voter.Fold(); ok {
		rec.Newest = a.follower.Entries()
		a.saving = &saving{rec: rec, whole: true}
		return true
	}
	if rec, _, ok := a.voter.Ready(); ok {
		if rec.Empty() {
			a.voterPersisted(now)
		} else {
			a.saving = &saving{rec: rec, ofVoter: true}
		}
		return true
	}
	if err := a.voter.Broken(); err != nil {
		a.options.Log("fleet_voter_broken", "error", err.Error())
		a.voter = nil
	}
	return false
}

// Save gives the record that must be on disk next; whole says that it replaces all others. Kept is to be called when it is there.
func (a *Agent) Save() (rec agree.Record, whole, ok bool) {
	if a.saving == nil {
		return rec, false, false
	}
	return a.saving.rec, a.saving.whole, true
}

// Persisted says that the record of Save is on disk.
func (a *Agent) Persisted(now time.Duration) {
	if s := a.saving; s != nil {
		a.saving = nil
		a.adoptPlans(s.rec.Newest, now)
		if s.ofVoter && a.voter != nil {
			a.voterPersisted(now)
		}
	}
	a.advance(now)
}

func (a *Agent) voterPersisted(now time.Duration) {
	out, decided := a.voter.Kept()
	for _, m := range out {
		if m.To >= 0 && m.To < len(a.options.List.Voters()) {
			a.send(a.options.List.Voters()[m.To], raftWord, m.Data, now)
		}
	}
	if s := a.voter.State(); s.Log != 0 {
		for _, k := range sortedKinds(s.Newest) {
			if e := s.Newest[k]; e.Number > a.follower.Newest(k).Number {
				a.acceptEntry(s.Log, e, -1, now)
			}
		}
	}
	a.committed()
	for _, d := range decided {
		if a.planner != nil {
			a.options.Log("fleet_decided", "id", d.ID, "number", d.Number, "taken", d.Accepted)
		}
	}
	if a.planner != nil {
		a.acknowledge(now)
	}
}

func sortedKinds(m map[agree.Kind]agree.Entry) (all []agree.Kind) {
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}
