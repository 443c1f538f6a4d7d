package edge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"spurwinch/choice"
)

// asker is a client that keeps its answer.
type asker struct {
	reply *LocalReply
	tried bool
}

func (a *asker) Attempt(*Attempt) UpstreamRequest { a.tried = true; return alone{} }
func (a *asker) LocalReply(r LocalReply)          { a.reply = &r }
func (a *asker) Migrate(time.Time)                {}

type alone struct{}

func (alone) GiveUp() {}

// TestLease holds who is taken by a lease, by the clock as it is when the request is: a process that was stopped takes nothing of what waited.
func TestLease(t *testing.T) {
	w := &world{t: t, rng: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1e9, 0)}
	classes := []choice.Class{{Name: "a", SetupObjective: time.Second, Deadline: 4 * time.Second, Priority: 1}, {Name: "b", SetupObjective: time.Second, Deadline: 4 * time.Second, Priority: 1}}
	core, err := New(Options{Clock: w, Settings: choice.Settings{Nodes: 1, Classes: classes, Limits: choice.Limits{MaxAttempts: 3}}, Seed: 1, HealthChecker: w})
	if err != nil {
		t.Fatal(err)
	}
	w.core = core
	core.Start([]ServerEntry{{Server: choice.Server{ID: "h", Size: 1}}})
	var told []string
	lapses, n := 0, 0
	ask := func(class int, at choice.ServerID) (*asker, *Request) {
		n++
		a := &asker{}
		r := core.Open(Spec{ID: choice.RequestID(fmt.Sprint("q", n)), Class: class, Tenant: -1, Deadline: w.now.Add(10 * time.Second), OpenAt: at}, a)
		core.Flush()
		w.run(w.now.Add(time.Millisecond))
		return a, r
	}
	lease := Lease{Number: 7, Known: true, Expires: w.now.Add(5 * time.Second), RetryAfter: time.Second, BasePolicy: func(class int) bool { return class == 0 },
		OnExpiry: func() { lapses++ }, OnDecision: func(id choice.RequestID, number uint64, how string) { told = append(told, fmt.Sprint(id, number, how)) }}
	core.UseLease(lease)
	if a, r := ask(1, ""); a.reply != nil || r.Deadline.After(w.now.Add(4*time.Second)) || lapses != 0 {
		t.Errorf("by a lease: %+v, deadline %v, %d lapses; the patience of its class is 4 s", a.reply, r.Deadline.Sub(w.now), lapses)
	}
	w.now = w.now.Add(30 * time.Second) // the process was stopped: no timer has run
	if a, _ := ask(1, ""); a.reply == nil || !a.reply.Rejected || a.reply.RetryAfter < time.Second/2 || a.reply.RetryAfter > 3*time.Second/2 || a.tried {
		t.Errorf("after the lease: %+v; a refusal at once with advice is wanted", a.reply)
	}
	if a, _ := ask(0, ""); a.reply != nil {
		t.Errorf("a class with a ground after the lease: %+v", a.reply)
	}
	if a, _ := ask(1, "h"); a.reply != nil {
		t.Errorf("a connection that stood before the run: %+v", a.reply)
	}
	if lapses != 1 {
		t.Errorf("the ground's settings were called for %d times, wanted once", lapses)
	}
	core.UseLease(lease) // word that is no newer
	if ask(0, ""); lapses != 1 {
		t.Errorf("called for again by word that is no newer: %d times", lapses)
	}
	lease.Expires, lease.Known = w.now.Add(5*time.Second), false
	core.UseLease(lease)
	if a, _ := ask(1, ""); a.reply == nil {
		t.Error("taken under a number whose document isn't here")
	}
	lease.Known, lease.Number = true, 8
	core.UseLease(lease)
	if a, _ := ask(1, ""); a.reply != nil {
		t.Errorf("by a new lease: %+v", a.reply)
	}
	if got, want := fmt.Sprint(told), "[q17lease q27none q37ground q57ground q67none q78lease]"; got != want {
		t.Errorf("told %s, wanted %s", got, want)
	}
}
