package policy

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func sound() *Document {
	return &Document{Attempts: 3, RetryAfter: time.Second, Classes: []Class{{Name: "a", SetupObjective: time.Second, Deadline: 4 * time.Second, Priority: 1, ServedByBase: true},
		{Name: "b", SetupObjective: time.Second, Deadline: 3 * time.Second}}, Base: BasePolicy{Attempts: 1, Deadline: 2 * time.Second}}
}

// TestCheck holds which documents no fleet can go by, and that the fault names the key.
func TestCheck(t *testing.T) {
	if f := sound().Check(); len(f) > 0 {
		t.Fatalf("a sound one: %v", f)
	}
	for key, spoil := range map[string]func(d *Document){
		"attempts":         func(d *Document) { d.Attempts = 5 },
		"come_again":       func(d *Document) { d.RetryAfter = -1 },
		"over_share_worth": func(d *Document) { d.OverQuotaPriority = 2 },
		"class":            func(d *Document) { d.Classes = nil },
		"class.1.name":     func(d *Document) { d.Classes[1].Name = "a" },
		"class.0.patience": func(d *Document) { d.Classes[0].Deadline = 0 },
		"class.1.aim":      func(d *Document) { d.Classes[1].SetupObjective = time.Hour },
		"class.0.worth":    func(d *Document) { d.Classes[0].Priority = -1 },
		"tenant.0.name":    func(d *Document) { d.Tenants = []Tenant{{}} },
		"ground":           func(d *Document) { d.Base = BasePolicy{} },
		"ground.attempts":  func(d *Document) { d.Base.Attempts = 4 },
		"ground.patience":  func(d *Document) { d.Base.Deadline = 5 * time.Second },
		"needs":            func(d *Document) { d.Requirements.MemoryMB = -1 },
		"plan.limit":       func(d *Document) { d.Failover = &FailoverRules{Limit: 2, Ramp: 0.2, Hold: time.Second} },
		"plan.stay": func(d *Document) {
			d.Failover = &FailoverRules{Limit: 0.8, Ramp: 0.2, Hold: time.Second, RegionalClasses: []string{"x"}}
		},
		"far.0": func(d *Document) {
			d.Failover = &FailoverRules{Limit: 0.8, Ramp: 0.2, Hold: time.Second, Far: []RegionDistance{{"r", "s", 0}}}
		},
	} {
		d := sound()
		spoil(d)
		if f := d.Check(); len(f) == 0 || f[0].Key != key {
			t.Errorf("%s: %v", key, f)
		}
	}
}

// TestGround holds that a ground that may still be in use bars documents that forbid it, until every member goes by a later one.
func TestGround(t *testing.T) {
	s := &State{}
	propose := func(d *Document) error {
		n, err := s.Propose(fmt.Sprint("c", s.LastNumber), s.Number, []byte("x"), d, Canary{})
		if err == nil {
			s = n
		}
		return err
	}
	if err := propose(sound()); err != nil {
		t.Fatal(err)
	}
	s = s.Commit(sound().Base, 0)
	strict := sound()
	strict.Classes[1].Deadline, strict.Base.Deadline = 1500*time.Millisecond, time.Second
	if err := propose(strict); err == nil || !strings.Contains(err.Error(), "patience of 2s may still be in use") {
		t.Errorf("a stricter document beside a looser ground: %v", err)
	}
	tight := sound()
	tight.Base.Deadline = time.Second
	if err := propose(tight); err != nil {
		t.Fatal(err)
	}
	s = s.Commit(tight.Base, 1) // somebody may still have number 1
	if err := propose(strict); err == nil {
		t.Error("a member that was not heard since may serve by the old ground")
	}
	if err := propose(tight); err != nil {
		t.Fatal(err)
	}
	s = s.Commit(tight.Base, 2) // all have number 2 at least
	if err := propose(strict); err != nil {
		t.Errorf("all go by the tighter ground: %v", err)
	}
}

// TestDriver holds what ends a check, as cases.
func TestDriver(t *testing.T) {
	yes := MemberStatus{Entry: 7, Verdict: VerdictAccept, KnownNumber: 4, ServedNumber: 4, MayServe: true}
	for _, c := range []struct {
		name  string
		part  Canary
		words []MemberStatus
		dead  []int
		after time.Duration
		want  string // of the end, or the step
	}{
		{"all say yes", Canary{}, []MemberStatus{yes, yes, yes}, nil, 0, "taken"},
		{"one says no", Canary{}, []MemberStatus{yes, {Entry: 7, Verdict: VerdictReject, Reason: "room"}, yes}, nil, 0, "m1: room"},
		{"one is silent", Canary{}, []MemberStatus{yes, {}, yes}, nil, 0, "waits"},
		{"for too long", Canary{}, []MemberStatus{yes, {}, yes}, nil, 11 * time.Second, "m1 did not answer within 10s"},
		{"a silent one is out of the view", Canary{}, []MemberStatus{yes, {}, yes}, []int{1}, 0, "taken"},
		{"one answered an older entry", Canary{}, []MemberStatus{yes, {Entry: 6, Verdict: VerdictAccept}, yes}, nil, 0, "waits"},
		{"a part first", Canary{OneIn: 2, Seconds: 3}, []MemberStatus{yes, yes, yes}, nil, 0, "trial"},
	} {
		s := &State{Number: 4, LastNumber: 4, Documents: []VersionedDocument{{Number: 4}}}
		s, err := s.Propose("c", 4, []byte("x"), sound(), c.part)
		if err != nil {
			t.Fatal(err)
		}
		var all []Member
		for i, w := range c.words {
			all = append(all, Member{Name: fmt.Sprint("m", i), Node: i, Live: true, Heard: w != MemberStatus{}, Status: w})
		}
		for _, i := range c.dead {
			all[i].Live = false
		}
		d := NewRollout(Rules{Window: 5 * time.Second, AnswerTimeout: 10 * time.Second})
		next := d.Step(time.Minute, 7, s, sound(), all)
		if c.after > 0 {
			next = d.Step(time.Minute+c.after, 7, s, sound(), all)
		}
		got := "waits"
		switch {
		case next == nil:
		case next.Change != nil:
			got = next.Change.Stage.String()
		case next.Ended[0].Accepted:
			got = "taken"
		default:
			got = next.Ended[0].Reason
		}
		if got != c.want {
			t.Errorf("%s: %s, wanted %s", c.name, got, c.want)
		}
		if c.want == "taken" && (next.Number != 5 || string(next.Documents[1].Text) != "x") {
			t.Errorf("%s: %+v", c.name, next)
		}
	}
}

// TestTrial holds when a trial goes on, and when it ends by itself.
func TestTrial(t *testing.T) {
	for _, c := range []struct {
		name       string
		away, rest float64 // of 100 requests
		serves     uint64
		want       string
	}{
		{"as elsewhere", 2, 2, 5, "taken"},
		{"a little worse", 6, 2, 5, "taken"},
		{"worse", 30, 2, 5, "on trial 30.0% of 100 requests were turned away, elsewhere 2.0% of 100"},
		{"elsewhere as bad", 30, 28, 5, "taken"},
		{"the part doesn't go over", 0, 0, 4, "0 of the part's 1 members serve by it after 15s"},
	} {
		s, _ := (&State{Number: 4, LastNumber: 4, Documents: []VersionedDocument{{Number: 4}}}).Propose("c", 4, []byte("x"), sound(), Canary{Zone: "z", Seconds: 3, MaxExtraRejections: 0.05})
		s = s.StartCanary()
		d := NewRollout(Rules{Window: 5 * time.Second, AnswerTimeout: 10 * time.Second})
		words := []MemberStatus{{Entry: 8, Verdict: VerdictAccept, ServedNumber: c.serves, MayServe: true}, {Entry: 8, Verdict: VerdictAccept, ServedNumber: 4, MayServe: true}}
		end := "waits"
		for at := time.Minute; at < time.Minute+20*time.Second && end == "waits"; at += 500 * time.Millisecond {
			next := d.Step(at, 8, s, sound(), []Member{{Name: "a", Zone: "z", Live: true, Heard: true, Status: words[0]}, {Name: "b", Node: 1, Zone: "y", Live: true, Heard: true, Status: words[1]}})
			if next != nil {
				if end = next.Ended[0].Reason; next.Ended[0].Accepted {
					end = "taken"
				}
			}
			d.Observe(0, words[0])
			d.Observe(1, words[1])
			if words[0].Arrived == 0 && c.serves == 5 {
				words[0].Arrived, words[0].Rejected, words[1].Arrived, words[1].Rejected = 100, c.away, 100, c.rest
			}
		}
		if end != c.want {
			t.Errorf("%s: %s, wanted %s", c.name, end, c.want)
		}
	}
}

// TestStates plays changes as operators and the one that leads make them: a number is never given twice, an id ends once, and what is read back is
// what was written.
func TestStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &State{}
		numbers, ends := map[uint64]string{}, map[string]bool{}
		for step := range 60 {
			switch {
			case s.Change == nil:
				id, base := fmt.Sprintf("c%d", step), s.Number
				if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
					base++
				}
				n, err := s.Propose(id, base, []byte(id), sound(), Canary{})
				if (err != nil) != (base != s.Number) || err != nil && !errors.Is(err, ErrBaseMismatch) {
					t.Fatalf("number %d, to replace %d: %v", s.Number, base, err)
				}
				if err == nil {
					if who, ok := numbers[n.LastNumber]; ok {
						t.Fatalf("number %d was given to %s and to %s", n.LastNumber, who, id)
					}
					numbers[n.LastNumber] = id
					s = n
				}
			case rapid.Bool().Draw(t, "taken"):
				if _, err := s.Propose("x", s.Number, []byte("x"), sound(), Canary{}); !errors.Is(err, ErrChangeInProgress) {
					t.Fatalf("two at once: %v", err)
				}
				id := s.Change.ID
				s = s.Commit(sound().Base, s.Number)
				if text, ok := s.Text(s.Number); !ok || string(text) != id || ends[id] {
					t.Fatalf("in force is %q, wanted %q", text, id)
				}
				ends[id] = true
			default:
				if ends[s.Change.ID] {
					t.Fatal("it ended before")
				}
				ends[s.Change.ID] = true
				s = s.Abort(strings.Repeat("w", 300))
			}
			back, err := Decode(s.Encode())
			if err != nil || fmt.Sprint(back.Number, back.LastNumber, back.Ended) != fmt.Sprint(s.Number, s.LastNumber, s.Ended) {
				t.Fatalf("read back: %v", err)
			}
		}
	})
}
