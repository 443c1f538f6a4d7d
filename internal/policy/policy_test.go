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
	return &Document{Attempts: 3, ComeAgain: time.Second, Classes: []Class{{Name: "a", SetupObjective: time.Second, Patience: 4 * time.Second, Priority: 1, Ground: true},
		{Name: "b", SetupObjective: time.Second, Patience: 3 * time.Second}}, Ground: Ground{Attempts: 1, Patience: 2 * time.Second}}
}

// TestCheck holds which documents no fleet can go by, and that the fault names the key.
func TestCheck(t *testing.T) {
	if f := sound().Check(); len(f) > 0 {
		t.Fatalf("a sound one: %v", f)
	}
	for key, spoil := range map[string]func(d *Document){
		"attempts":         func(d *Document) { d.Attempts = 5 },
		"come_again":       func(d *Document) { d.ComeAgain = -1 },
		"over_share_worth": func(d *Document) { d.OverQuotaPriority = 2 },
		"class":            func(d *Document) { d.Classes = nil },
		"class.1.name":     func(d *Document) { d.Classes[1].Name = "a" },
		"class.0.patience": func(d *Document) { d.Classes[0].Patience = 0 },
		"class.1.aim":      func(d *Document) { d.Classes[1].SetupObjective = time.Hour },
		"class.0.worth":    func(d *Document) { d.Classes[0].Priority = -1 },
		"tenant.0.name":    func(d *Document) { d.Tenants = []Tenant{{}} },
		"ground":           func(d *Document) { d.Ground = Ground{} },
		"ground.attempts":  func(d *Document) { d.Ground.Attempts = 4 },
		"ground.patience":  func(d *Document) { d.Ground.Patience = 5 * time.Second },
		"needs":            func(d *Document) { d.Needs.MemoryMB = -1 },
		"plan.limit":       func(d *Document) { d.Plan = &Plan{Limit: 2, Ramp: 0.2, Hold: time.Second} },
		"plan.stay":        func(d *Document) { d.Plan = &Plan{Limit: 0.8, Ramp: 0.2, Hold: time.Second, Stay: []string{"x"}} },
		"far.0":            func(d *Document) { d.Plan = &Plan{Limit: 0.8, Ramp: 0.2, Hold: time.Second, Far: []Far{{"r", "s", 0}}} },
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
		n, err := s.Propose(fmt.Sprint("c", s.Last), s.Number, []byte("x"), d, Part{})
		if err == nil {
			s = n
		}
		return err
	}
	if err := propose(sound()); err != nil {
		t.Fatal(err)
	}
	s = s.Decide(sound().Ground, 0)
	strict := sound()
	strict.Classes[1].Patience, strict.Ground.Patience = 1500*time.Millisecond, time.Second
	if err := propose(strict); err == nil || !strings.Contains(err.Error(), "patience of 2s may still be in use") {
		t.Errorf("a stricter document beside a looser ground: %v", err)
	}
	tight := sound()
	tight.Ground.Patience = time.Second
	if err := propose(tight); err != nil {
		t.Fatal(err)
	}
	s = s.Decide(tight.Ground, 1) // somebody may still have number 1
	if err := propose(strict); err == nil {
		t.Error("a member that was not heard since may serve by the old ground")
	}
	if err := propose(tight); err != nil {
		t.Fatal(err)
	}
	s = s.Decide(tight.Ground, 2) // all have number 2 at least
	if err := propose(strict); err != nil {
		t.Errorf("all go by the tighter ground: %v", err)
	}
}

// TestDriver holds what ends a check, as cases.
func TestDriver(t *testing.T) {
	yes := Word{Entry: 7, Verdict: Yes, Has: 4, Serves: 4, May: true}
	for _, c := range []struct {
		name  string
		part  Part
		words []Word
		dead  []int
		after time.Duration
		want  string // of the end, or the step
	}{
		{"all say yes", Part{}, []Word{yes, yes, yes}, nil, 0, "taken"},
		{"one says no", Part{}, []Word{yes, {Entry: 7, Verdict: No, Why: "room"}, yes}, nil, 0, "m1: room"},
		{"one is silent", Part{}, []Word{yes, {}, yes}, nil, 0, "waits"},
		{"for too long", Part{}, []Word{yes, {}, yes}, nil, 11 * time.Second, "m1 did not answer within 10s"},
		{"a silent one is out of the view", Part{}, []Word{yes, {}, yes}, []int{1}, 0, "taken"},
		{"one answered an older entry", Part{}, []Word{yes, {Entry: 6, Verdict: Yes}, yes}, nil, 0, "waits"},
		{"a part first", Part{OneIn: 2, Seconds: 3}, []Word{yes, yes, yes}, nil, 0, "trial"},
	} {
		s := &State{Number: 4, Last: 4, Docs: []Numbered{{Number: 4}}}
		s, err := s.Propose("c", 4, []byte("x"), sound(), c.part)
		if err != nil {
			t.Fatal(err)
		}
		var all []Member
		for i, w := range c.words {
			all = append(all, Member{Name: fmt.Sprint("m", i), Node: i, Live: true, Heard: w != Word{}, Word: w})
		}
		for _, i := range c.dead {
			all[i].Live = false
		}
		d := NewDriver(Rules{Window: 5 * time.Second, Answer: 10 * time.Second})
		next := d.Step(time.Minute, 7, s, sound(), all)
		if c.after > 0 {
			next = d.Step(time.Minute+c.after, 7, s, sound(), all)
		}
		got := "waits"
		switch {
		case next == nil:
		case next.Change != nil:
			got = next.Change.Step.String()
		case next.Ended[0].Taken:
			got = "taken"
		default:
			got = next.Ended[0].Why
		}
		if got != c.want {
			t.Errorf("%s: %s, wanted %s", c.name, got, c.want)
		}
		if c.want == "taken" && (next.Number != 5 || string(next.Docs[1].Text) != "x") {
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
		s, _ := (&State{Number: 4, Last: 4, Docs: []Numbered{{Number: 4}}}).Propose("c", 4, []byte("x"), sound(), Part{Zone: "z", Seconds: 3, Worse: 0.05})
		s = s.Try()
		d := NewDriver(Rules{Window: 5 * time.Second, Answer: 10 * time.Second})
		words := []Word{{Entry: 8, Verdict: Yes, Serves: c.serves, May: true}, {Entry: 8, Verdict: Yes, Serves: 4, May: true}}
		end := "waits"
		for at := time.Minute; at < time.Minute+20*time.Second && end == "waits"; at += 500 * time.Millisecond {
			next := d.Step(at, 8, s, sound(), []Member{{Name: "a", Zone: "z", Live: true, Heard: true, Word: words[0]}, {Name: "b", Node: 1, Zone: "y", Live: true, Heard: true, Word: words[1]}})
			if next != nil {
				if end = next.Ended[0].Why; next.Ended[0].Taken {
					end = "taken"
				}
			}
			d.Hear(0, words[0])
			d.Hear(1, words[1])
			if words[0].Arrived == 0 && c.serves == 5 {
				words[0].Arrived, words[0].Away, words[1].Arrived, words[1].Away = 100, c.away, 100, c.rest
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
				n, err := s.Propose(id, base, []byte(id), sound(), Part{})
				if (err != nil) != (base != s.Number) || err != nil && !errors.Is(err, ErrBase) {
					t.Fatalf("number %d, to replace %d: %v", s.Number, base, err)
				}
				if err == nil {
					if who, ok := numbers[n.Last]; ok {
						t.Fatalf("number %d was given to %s and to %s", n.Last, who, id)
					}
					numbers[n.Last] = id
					s = n
				}
			case rapid.Bool().Draw(t, "taken"):
				if _, err := s.Propose("x", s.Number, []byte("x"), sound(), Part{}); !errors.Is(err, ErrBusy) {
					t.Fatalf("two at once: %v", err)
				}
				id := s.Change.ID
				s = s.Decide(sound().Ground, s.Number)
				if text, ok := s.Text(s.Number); !ok || string(text) != id || ends[id] {
					t.Fatalf("in force is %q, wanted %q", text, id)
				}
				ends[id] = true
			default:
				if ends[s.Change.ID] {
					t.Fatal("it ended before")
				}
				ends[s.Change.ID] = true
				s = s.GiveUp(strings.Repeat("w", 300))
			}
			back, err := Decode(s.Encode())
			if err != nil || fmt.Sprint(back.Number, back.Last, back.Ended) != fmt.Sprint(s.Number, s.Last, s.Ended) {
				t.Fatalf("read back: %v", err)
			}
		}
	})
}
