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

// work carries out what the voter has to do, as far as the disk allows.
func (a *Agent) work(now time.Duration) {
	for range 64 {
		if a.saving != nil {
			return
		}
		if a.voter != nil {
			if rec, ok := a.voter.Fold(); ok {
				rec.Newest = a.follow.All()
				a.saving = &saving{rec: rec, whole: true}
				return
			}
			if rec, _, ok := a.voter.Ready(); ok {
				if !rec.Empty() {
					a.saving = &saving{rec: rec, ofVoter: true}
					return
				}
				a.kept(now)
				continue
			}
			if err := a.voter.Broken(); err != nil {
				a.o.Log("fleet_voter_broken", "error", err.Error())
				a.voter = nil
			}
		}
		if a.dirty {
			a.dirty = false
			a.saving = &saving{rec: agree.Record{Log: a.follow.Log(), Newest: a.follow.All()}}
		}
		return
	}
}

// Save gives the record that must be on disk next; whole says that it replaces all others. Kept is to be called when it is there.
func (a *Agent) Save() (rec agree.Record, whole, ok bool) {
	if a.saving == nil {
		return rec, false, false
	}
	return a.saving.rec, a.saving.whole, true
}

// Kept says that the record of Save is on disk.
func (a *Agent) Kept(now time.Duration) {
	if s := a.saving; s != nil {
		a.saving = nil
		a.adopt(s.rec.Newest, now)
		if s.ofVoter && a.voter != nil {
			a.kept(now)
		}
	}
	a.work(now)
}

func (a *Agent) kept(now time.Duration) {
	out, decided := a.voter.Kept()
	for _, m := range out {
		if m.To >= 0 && m.To < len(a.o.List.Voters()) {
			a.send(a.o.List.Voters()[m.To], raftWord, m.Data, now)
		}
	}
	if s := a.voter.State(); s.Log != 0 {
		for _, k := range sortedKinds(s.Newest) {
			if e := s.Newest[k]; e.Number > a.follow.Newest(k).Number {
				a.take(s.Log, e, -1, now)
			}
		}
	}
	a.committed()
	for _, d := range decided {
		if a.planner != nil {
			a.o.Log("fleet_decided", "id", d.ID, "number", d.Number, "taken", d.Taken)
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
