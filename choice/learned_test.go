package choice

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestLearnedStateIsInherited has one process take over from another: with what that one found out, its forecasts of
// the servers' loads are as good at once; without, they are not in the first seconds.
func TestLearnedStateIsInherited(t *testing.T) {
	list := ServerList{Kind: ListFull}
	for i := range 12 {
		list.Servers = append(list.Servers, Server{
			ID: ServerID(fmt.Sprintf("s%02d", i)), Kind: fmt.Sprint("k", i%2),
			Size: 1,
		})
	}
	const seeds = 8
	errors := map[string]float64{}
	for _, how := range []string{"stays", "learned", "empty"} {
		for seed := uint64(1); seed <= seeds; seed++ {
			start := 1000 * time.Hour
			b, err := New(knows(), seed, start)
			if err != nil {
				t.Fatal(err)
			}
			fleet := &fleetOf{
				b: b, rng: rand.New(rand.NewPCG(seed, 9)), now: start, cost: map[ServerID]float64{},
				on: map[RequestID]ServerID{}, ends: map[RequestID]time.Duration{}, timer: map[time.Duration][]string{},
			}
			for i, s := range list.Servers {
				fleet.cost[s.ID] = 0.03 + 0.03*float64(i%2) + 0.004*float64(i%5)
			}
			fleet.step(list)
			fleet.run(start+90*time.Second, 500*time.Millisecond)
			if how != "stays" {
				fleet.takeOver(t, seed+100, list, how == "learned")
			}
			for _, span := range []time.Duration{time.Second, 4 * time.Second} {
				fleet.off, fleet.n = 0, 0
				fleet.run(fleet.now+span, 500*time.Millisecond)
				errors[fmt.Sprint(how, span)] += fleet.off / float64(fleet.n) / seeds
			}
		}
	}
	for _, span := range []time.Duration{time.Second, 4 * time.Second} {
		t.Logf("mean error of a predicted load in the next %v: "+
			"the same process %.3f, with what was learned %.3f, without %.3f",
			span, errors[fmt.Sprint("stays", span)], errors[fmt.Sprint("learned", span)], errors[fmt.Sprint("empty",
				span)])
	}
	if e := errors["learned1s"]; e > 1.2*errors["stays1s"] || e > 0.8*errors["empty1s"] {
		t.Error("what was learned is of no use")
	}
}

// TestLearnedStateIsChecked has another process send what can't be, or what is older than what this one knows.
func TestLearnedStateIsChecked(t *testing.T) {
	now := time.Hour
	balancer, err := New(knows(), 1, now)
	if err != nil {
		t.Fatal(err)
	}
	balancer.Step(now, []Event{
		ServerList{Kind: ListFull, Servers: []Server{{ID: "a", Kind: "k", Size: 1, Started: 5}, {
			ID: "b", Kind: "k",
			Size: 1,
		}}},
		HealthCheckResult{Server: "b", Report: []float64{0.5}},
	})
	good := LearnedState{
		Version: LearnedStateVersion, Meaning: balancer.settings.meaning(), Unit: 1, PassRate: 1, MeanPriority: 1,
		LoadSum: 1, WeightSum: 2, ReportedAt: now - time.Second,
		Servers: []LearnedServer{
			{ID: "a", Started: 5, Known: true, Report: 0.9, ReportAt: now - time.Second, EjectedUntil: now +
				time.Hour, ReportedLoad: 9, ConnectionLoad: 90, Reports: 9},
			{ID: "b", Known: true, Report: 0.1, ReportAt: now - time.Second},
			{ID: "nobody"},
		},
	}
	for i, spoil := range []func(*LearnedState){
		func(l *LearnedState) { l.Version = 9 }, func(l *LearnedState) { l.Meaning = "" },
		func(l *LearnedState) { l.Unit = 0 }, func(l *LearnedState) { l.Unit = math.NaN() },
		func(l *LearnedState) { l.PassRate = math.Inf(1) }, func(l *LearnedState) { l.WeightSum = 0 },
		func(l *LearnedState) { l.Arrivals = -1 },
		func(l *LearnedState) { l.Servers = []LearnedServer{{ID: "a", Report: math.NaN()}} },
		func(l *LearnedState) { l.Servers = []LearnedServer{{ID: "a", PIDCorrection: math.Inf(-1)}} },
		func(l *LearnedState) { l.Kinds = []LearnedKind{{"k", 1, math.NaN(), 1}} },
	} {
		bad := good
		spoil(&bad)
		balancer.Step(now, []Event{LearnedStateReceived{bad}})
		if a := balancer.findServer("a"); a.report.known || a.outlier.until != 0 {
			t.Errorf("spoilt value %d was taken", i)
		}
	}
	later := good
	later.Servers = []LearnedServer{
		{ID: "a", Started: 4, Known: true, Report: 0.9, ReportAt: now},
		{ID: "b", Known: true, Report: 0.1, ReportAt: now + time.Hour},
	}
	balancer.Step(now, []Event{LearnedStateReceived{later}})
	if balancer.findServer("a").report.known || balancer.findServer("b").report.load != 0.5 {
		t.Error("taken: a report of an earlier start, or one of the future")
	}
	balancer.Step(now, []Event{LearnedStateReceived{good}})
	a, other := balancer.findServer("a"), balancer.findServer("b")
	if a.report.load != 0.9 || a.report.at != now-time.Second || a.outlier.until != now+firstEjection<<3 ||
		a.costs.reports != 9 {
		t.Errorf("not taken: %+v", a)
	}
	if other.report.load != 0.5 {
		t.Error("an older report was taken for a newer one")
	}
}

// TestOtherMeaningResetsEstimates has settings come under which reports say something else: what they said before is
// another deployment's, for the balancer that takes them and for one that inherits from another process. Settings that
// change nothing in that change nothing in what was learned.
func TestOtherMeaningResetsEstimates(t *testing.T) {
	now := time.Hour
	learned := func() *Balancer {
		balancer, err := New(knows(), 1, now)
		if err != nil {
			t.Fatal(err)
		}
		balancer.Step(now, []Event{
			ServerList{Kind: ListFull, Servers: []Server{{ID: "a", Kind: "k", Size: 1}, {ID: "b", Kind: "k", Size: 1}}},
			HealthCheckResult{Server: "a", Report: []float64{0.9}},
			HealthCheckResult{Server: "b", Report: []float64{0.7}},
		})
		return balancer
	}
	same := knows()
	same.Limits.MaxAttempts, same.Classes = 2, append(same.Classes, Class{
		Name: "d", Priority: 9,
		Deadline: time.Second,
	})
	b := learned()
	b.Step(now, []Event{SettingsChanged{same}})
	if !b.findServer("a").report.known || b.average.load == 0 || len(b.LearnedState().Kinds) != 1 {
		t.Error("forgotten with settings under which reports say the same")
	}
	for i, change := range []func(*Settings){
		func(s *Settings) { s.ReportFields = []ReportField{InFlight} }, func(s *Settings) { s.Reports = AllReports },
		func(s *Settings) { s.Sizes = LiveSize }, func(s *Settings) { s.PriorityPerWork = true },
	} {
		other := knows()
		change(&other)
		balancer := learned()
		inherited := balancer.LearnedState()
		balancer.Step(now, []Event{SettingsChanged{other}})
		fresh, err := New(other, 1, now)
		if err != nil {
			t.Fatal(err)
		}
		list := ServerList{Kind: ListFull, Servers: []Server{{ID: "a", Kind: "k", Size: 1}, {
			ID: "b", Kind: "k",
			Size: 1,
		}}}
		fresh.Step(now, []Event{list})
		for _, inherits := range []bool{false, true} {
			if inherits {
				balancer = fresh
				balancer.Step(now, []Event{LearnedStateReceived{inherited}})
			}
			for _, id := range []ServerID{"a", "b"} {
				s, clean := balancer.findServer(id), fresh.findServer(id)
				if s.report.known || s.costs.reports != 0 || balancer.kinds["k"].costs.reports != 0 ||
					s.cost != clean.cost || balancer.predictedLoad(s) != fresh.predictedLoad(clean) ||
					balancer.average.load != fresh.average.load {
					t.Errorf("settings %d, inherits %v: of %s it knows %+v, average %v", i, inherits, id, s,
						balancer.average.load)
				}
			}
		}
	}
}

// TestInitialCost has far more connections come than the guess of a connection's load allows for, before reports can
// tell better: where the settings know the load, all are placed.
func TestInitialCost(t *testing.T) {
	for _, known := range []float64{1e-5, 0} {
		s := knows()
		s.Nodes, s.InitialCost = 1, known
		balancer, err := New(s, 1, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		placed, rejected := map[ServerID]int{}, 0
		events := []Event{ServerList{Kind: ListFull, Servers: []Server{
			{ID: "a", Kind: "k", Size: 1},
			{ID: "b", Kind: "k", Size: 1},
		}}}
		for i := range 2000 {
			events = append(events, Request{ID: RequestID(fmt.Sprint(i)), Tenant: -1, TimeLeft: 4 * time.Second})
			for len(events) > 0 {
				acts := balancer.Step(time.Hour+time.Duration(i)*time.Millisecond, events)
				events = nil
				for _, a := range acts {
					switch action := a.(type) {
					case StartAttempt:
						placed[action.Server]++
						events = append(events, Established{ID: action.ID, Server: action.Server})
					case Reject:
						rejected++
					case HealthCheck:
						events = append(events, HealthCheckResult{
							Server: action.Server,
							Report: []float64{float64(placed[action.Server]) * 1e-5},
						})
					}
				}
			}
		}
		if rejected > 0 == (known > 0) {
			t.Errorf("known cost %v: %d rejected, %v placed", known, rejected, placed)
		}
	}
}

// TestLearnedStateByAnotherClock has a process begin on a clock that is an hour off the one before it: what that one
// learned keeps its age, and what it spent at a server in slow start stays spent.
func TestLearnedStateByAnotherClock(t *testing.T) {
	for _, off := range []time.Duration{time.Hour, -time.Hour} {
		list := fleet(3)
		list.Servers[1].Started = 2*time.Hour - time.Second
		before, err := New(plain(), 1, 2*time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		before.Step(2*time.Hour, []Event{list, HealthCheckResult{
			Server: "s000", Outcome: Served,
			Report: []float64{0.5, 0.5},
		}})
		before.findServer("s001").slowStart = tokenBucket{0, 2 * time.Hour}
		before.findServer("s002").outlier.eject(before.now)
		learned := before.LearnedState()
		now := 2*time.Hour + off
		after, err := New(plain(), 2, now)
		if err != nil {
			t.Fatal(err)
		}
		list.Servers[1].SlowStartSince = now - time.Second
		after.Step(now, []Event{list, LearnedStateReceived{learned}})
		if s := after.findServer("s000"); !s.report.known || s.report.at != now {
			t.Errorf("%v off: a report of now is %v old, known %v", off, now-s.report.at, s.report.known)
		}
		if s := after.findServer("s001"); s.slowStart.tokens != 0 || s.slowStart.refilledAt != now {
			t.Errorf("%v off: a server in slow start whose budget is spent has %v tokens, since %v", off,
				s.slowStart.tokens, now-s.slowStart.refilledAt)
		}
		if s := after.findServer("s002"); s.outlier.until != now+firstEjection {
			t.Errorf("%v off: a server that failed is left out for %v", off, s.outlier.until-now)
		}
	}
}

// TestLearnedStateOfAnOverdrawnBudget has a server in slow start get one connection of more load than its budget had:
// the next process takes all that was learned, the debt included.
func TestLearnedStateOfAnOverdrawnBudget(t *testing.T) {
	const now = 2 * time.Hour
	list := fleet(2)
	list.Servers[1].Started = now - time.Second
	before, err := New(plain(), 1, now)
	if err != nil {
		t.Fatal(err)
	}
	before.Step(now, []Event{list, HealthCheckResult{Server: "s000", Outcome: Served, Report: []float64{0.5, 0.5}}})
	before.findServer("s001").slowStart.tokens = 1
	before.spendSlowStart(before.findServer("s001"), 3)
	learned := before.LearnedState()
	if got := learned.Servers[1].SlowStartCredit; got != -2 {
		t.Fatalf("budget %v after a connection of load 3, wanted -2", got)
	}
	after, err := New(plain(), 2, now)
	if err != nil {
		t.Fatal(err)
	}
	after.Step(now, []Event{list, LearnedStateReceived{learned}})
	if got := after.findServer("s001").slowStart.tokens; got != -2 {
		t.Errorf("the next process has a budget of %v, wanted -2", got)
	}
	if !after.findServer("s000").report.known {
		t.Error("the next process has no report of another server, wanted the one that was learned")
	}
}
