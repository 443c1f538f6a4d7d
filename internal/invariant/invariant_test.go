package invariant

import (
	"testing"
	"time"

	"spurwinch/choice"
)

var begin = time.Unix(1e9, 0)

func class(repeat choice.Idempotency, scope choice.Scope) choice.Class {
	return choice.Class{Name: "c", Idempotency: repeat, IdempotencyScope: scope, IdempotencyWindow: 2 * time.Second}
}

// TestRules has each rule broken by the shortest history that breaks it, and checks that the same history without its last cause breaks none.
func TestRules(t *testing.T) {
	host, other := Server{ID: "h", Zone: "a", Grace: 3 * time.Second}, Server{ID: "i", Zone: "b", Grace: 3 * time.Second}
	leaving := host
	leaving.Leaving = begin
	ran := func(r *Request) {
		r.Start(host, begin)
		r.Send(host, begin)
		r.Ended(true)
	}
	unsent := func(r *Request) {
		r.Start(host, begin)
		r.Ended(true)
	}
	nothing := func(*Request) {}
	for name, c := range map[string]struct {
		class  choice.Class
		before func(r *Request)
		step   func(r *Request) Rule
		want   Rule
	}{
		"first attempt":                       {class(choice.NotIdempotent, 0), nothing, func(r *Request) Rule { return r.Start(host, begin) }, Holds},
		"after the answer":                    {class(choice.Idempotent, 0), func(r *Request) { r.Answer(true, begin) }, func(r *Request) Rule { return r.Start(host, begin) }, SecondAnswer},
		"answered twice":                      {class(choice.Idempotent, 0), func(r *Request) { r.Served(true, begin) }, func(r *Request) Rule { return r.Answer(true, begin) }, SecondAnswer},
		"after its client":                    {class(choice.Idempotent, 0), (*Request).Gone, func(r *Request) Rule { return r.Start(host, begin) }, ClientGone},
		"sent after its client":               {class(choice.Idempotent, 0), func(r *Request) { r.Start(host, begin); r.Gone() }, func(r *Request) Rule { return r.Send(host, begin) }, ClientGone},
		"two at once":                         {class(choice.Idempotent, 0), func(r *Request) { r.Start(host, begin) }, func(r *Request) Rule { return r.Start(other, begin) }, SecondCopy},
		"a third of two":                      {class(choice.Idempotent, 0), func(r *Request) { ran(r); ran(r) }, func(r *Request) Rule { return r.Start(host, begin) }, TooManyAttempts},
		"unsafe repeat":                       {class(choice.NotIdempotent, 0), ran, func(r *Request) Rule { return r.Start(other, begin) }, UnsafeRepeat},
		"unsafe, never written":               {class(choice.NotIdempotent, 0), unsent, func(r *Request) Rule { return r.Start(other, begin) }, Holds},
		"keyed, in the window":                {class(choice.IdempotentByKey, choice.ScopeAll), ran, func(r *Request) Rule { return r.Start(other, begin.Add(2*time.Second)) }, Holds},
		"keyed, past the window":              {class(choice.IdempotentByKey, choice.ScopeAll), ran, func(r *Request) Rule { return r.Start(other, begin.Add(2*time.Second+1)) }, UnsafeRepeat},
		"keyed, another zone":                 {class(choice.IdempotentByKey, choice.ScopeZone), ran, func(r *Request) Rule { return r.Start(other, begin) }, UnsafeRepeat},
		"keyed, the same zone":                {class(choice.IdempotentByKey, choice.ScopeZone), ran, func(r *Request) Rule { return r.Start(host, begin) }, Holds},
		"keyed, another cell":                 {class(choice.IdempotentByKey, choice.ScopeCell), ran, func(r *Request) Rule { h := host; h.Cell = 1; return r.Start(h, begin) }, UnsafeRepeat},
		"in the grace":                        {class(choice.Idempotent, 0), nothing, func(r *Request) Rule { return r.Start(leaving, begin.Add(3*time.Second)) }, Holds},
		"past the grace":                      {class(choice.Idempotent, 0), nothing, func(r *Request) Rule { return r.Start(leaving, begin.Add(3*time.Second+1)) }, HostLeaving},
		"sent past the grace":                 {class(choice.Idempotent, 0), func(r *Request) { r.Start(host, begin) }, func(r *Request) Rule { return r.Send(leaving, begin.Add(4*time.Second)) }, HostLeaving},
		"refused, nothing ran":                {class(choice.NotIdempotent, 0), unsent, func(r *Request) Rule { return r.Answer(true, begin) }, Holds},
		"refused, may have run":               {class(choice.NotIdempotent, 0), ran, func(r *Request) Rule { return r.Answer(true, begin) }, UnsafeRefusal},
		"refused, may run yet":                {class(choice.NotIdempotent, 0), func(r *Request) { r.Start(host, begin); r.Send(host, begin) }, func(r *Request) Rule { return r.Answer(true, begin) }, UnsafeRefusal},
		"keyed in all, refused":               {class(choice.IdempotentByKey, choice.ScopeAll), ran, func(r *Request) Rule { return r.Answer(true, begin) }, Holds},
		"keyed in a zone, refused":            {class(choice.IdempotentByKey, choice.ScopeZone), ran, func(r *Request) Rule { return r.Answer(true, begin) }, UnsafeRefusal},
		"failed":                              {class(choice.NotIdempotent, 0), ran, func(r *Request) Rule { return r.Answer(false, begin) }, Holds},
		"late":                                {class(choice.Idempotent, 0), nothing, func(r *Request) Rule { return r.Answer(true, begin.Add(10*time.Second+AnswerSlack+1)) }, LateAnswer},
		"just in time":                        {class(choice.Idempotent, 0), nothing, func(r *Request) Rule { return r.Answer(true, begin.Add(10*time.Second+AnswerSlack)) }, Holds},
		"closed without an answer":            {class(choice.Idempotent, 0), nothing, func(r *Request) Rule { return r.Close(ByNode, false) }, Unanswered},
		"closed by its client":                {class(choice.Idempotent, 0), nothing, func(r *Request) Rule { return r.Close(ByClient, false) }, Holds},
		"closed with its host, no answer":     {class(choice.Idempotent, 0), nothing, func(r *Request) Rule { return r.Close(ByHost, false) }, Unanswered},
		"closed after the answer":             {class(choice.Idempotent, 0), func(r *Request) { r.Answer(true, begin) }, func(r *Request) Rule { return r.Close(ByNode, false) }, Holds},
		"an open connection, cut off":         {class(choice.Idempotent, 0), func(r *Request) { r.Served(true, begin) }, func(r *Request) Rule { return r.Close(ByNode, false) }, CutOff},
		"an open connection, moved":           {class(choice.Idempotent, 0), func(r *Request) { r.Served(true, begin) }, func(r *Request) Rule { return r.Close(ByNode, true) }, Holds},
		"an open connection, ended by a host": {class(choice.Idempotent, 0), func(r *Request) { r.Served(true, begin) }, func(r *Request) Rule { return r.Close(ByHost, false) }, Holds},
	} {
		m := &Monitor{}
		var heard []Violation
		m.Broken = func(v Violation) { heard = append(heard, v) }
		r := m.NewRequest(RequestFacts{ID: "q", Class: c.class, Deadline: begin.Add(10 * time.Second), Attempts: 2})
		if c.before(r); len(heard) > 0 {
			t.Errorf("%s: broken before the step: %v", name, heard)
		}
		got := c.step(r)
		if got != c.want || (got == Holds) != (len(heard) == 0) || m.Violations() != uint64(len(heard)) {
			t.Errorf("%s: %v, heard %v, counted %d; %v is wanted", name, got, heard, m.Violations(), c.want)
		}
	}
}

// TestStanding holds that a connection that stood before the run goes back to its host as often as it takes, but not for nobody.
func TestStanding(t *testing.T) {
	m := &Monitor{}
	r := m.NewRequest(RequestFacts{ID: "q", Attempts: 1, Standing: true, Deadline: begin})
	for range 5 {
		if rule := r.Start(Server{}, begin); rule != Holds {
			t.Fatal(rule)
		}
		r.Ended(false)
	}
	r.Gone()
	if rule := r.Start(Server{}, begin); rule != ClientGone {
		t.Error(rule)
	}
}

// TestSlowStart has one node send a cold host all that the budget of all nodes allows, and one call more.
func TestSlowStart(t *testing.T) {
	for _, budget := range []float64{0, 1, 9, 29, 30, 100} {
		w := &CallWindow{Window: 2 * time.Second}
		most := int(MostCalls(budget))
		for i := range most {
			if !w.allow(budget, begin.Add(time.Duration(i)*time.Millisecond)) {
				t.Fatalf("call %d of %d, budget %v", i+1, most, budget)
			}
		}
		if w.allow(budget, begin.Add(2*time.Second)) {
			t.Errorf("call %d of %d, budget %v", most+1, most, budget)
		}
		if !w.allow(budget, begin.Add(2*time.Second+time.Millisecond)) {
			t.Errorf("budget %v: the first call is out of the window", budget)
		}
	}
	r := (&Monitor{}).NewRequest(RequestFacts{ID: "q", Attempts: 1, Deadline: begin.Add(time.Second)})
	cold := Server{ID: "h", SlowStart: &CallWindow{Window: time.Second}, Budget: -1}
	if rule := r.Start(cold, begin); rule != Holds {
		t.Fatal(rule)
	}
	cold.SlowStart.calls = make([]call, 1000)
	for i := range cold.SlowStart.calls {
		cold.SlowStart.calls[i].at = begin
	}
	if rule := r.Send(cold, begin); rule != SlowStart {
		t.Error(rule)
	}
}

// TestFigures holds the names under which steps and rules are told, and that each rule has one.
func TestFigures(t *testing.T) {
	m := &Monitor{}
	m.NewRequest(RequestFacts{}).Close(ByNode, false)
	seen := map[string]uint64{}
	m.Each(func(kind, name string, count uint64) {
		if name == "" {
			t.Error("a figure without a name")
		}
		seen[kind+" "+name] = count
	})
	if seen["checked close"] != 1 || seen["broken unanswered"] != 1 || seen["broken cut_off"] != 0 || len(seen) != int(stepCount)+int(ruleCount)-1 {
		t.Error(seen)
	}
}
