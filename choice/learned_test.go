package choice

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestLearnedStateKeepsPredictionsAccurate checks the predicted loads after a successor process took over the
// connections. With the learned state of its parent its predictions are as good at once; without it they are worse in
// the first seconds.
func TestLearnedStateKeepsPredictionsAccurate(t *testing.T) {
	list := ServerList{Kind: ListFull}
	for i := range 12 {
		list.Servers = append(list.Servers, Server{
			ID: ServerID(fmt.Sprintf("s%02d", i)), Kind: fmt.Sprint("k", i%2),
			Size: 1,
		})
	}
	const seeds = 8
	meanErrors := map[string]float64{}
	for _, successor := range []string{"none", "learned", "empty"} {
		for seed := uint64(1); seed <= seeds; seed++ {
			start := 1000 * time.Hour
			balancer, err := New(learnedStateSettings(), seed, start)
			if err != nil {
				t.Fatal(err)
			}
			fleet := &fleetSimulation{
				balancer: balancer, rng: rand.New(rand.NewPCG(seed, 9)), now: start,
				connectionCost: map[ServerID]float64{}, connections: map[RequestID]ServerID{},
				endTimes: map[RequestID]time.Duration{}, timers: map[time.Duration][]string{},
			}
			for i, server := range list.Servers {
				fleet.connectionCost[server.ID] = 0.03 + 0.03*float64(i%2) + 0.004*float64(i%5)
			}
			fleet.processEvents(list)
			fleet.runUntil(start+90*time.Second, 500*time.Millisecond)
			if successor != "none" {
				fleet.replaceBalancer(t, seed+100, list, successor == "learned")
			}
			for _, span := range []time.Duration{time.Second, 4 * time.Second} {
				fleet.errorSum, fleet.predictionCount = 0, 0
				fleet.runUntil(fleet.now+span, 500*time.Millisecond)
				meanErrors[fmt.Sprint(successor, span)] += fleet.errorSum / float64(fleet.predictionCount) / seeds
			}
		}
	}
	for _, span := range []time.Duration{time.Second, 4 * time.Second} {
		t.Logf("mean error of predicted loads in the next %v: "+
			"same process %.3f, successor with learned state %.3f, successor without %.3f",
			span, meanErrors[fmt.Sprint("none", span)], meanErrors[fmt.Sprint("learned", span)],
			meanErrors[fmt.Sprint("empty", span)])
	}
	if e := meanErrors["learned1s"]; e > 1.2*meanErrors["none1s"] || e > 0.8*meanErrors["empty1s"] {
		t.Error("error with learned state: got over 1.2 times the same process's or 0.8 times that without, want less")
	}
}

// TestInvalidOrOldLearnedStateIsIgnored checks that a balancer ignores learned state with invalid values, and reports
// that are older than its own, from an earlier start of the server, or from the future.
func TestInvalidOrOldLearnedStateIsIgnored(t *testing.T) {
	now := time.Hour
	balancer, err := New(learnedStateSettings(), 1, now)
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
			{ID: "unknown"},
		},
	}
	for i, invalidate := range []func(*LearnedState){
		func(l *LearnedState) { l.Version = 9 }, func(l *LearnedState) { l.Meaning = "" },
		func(l *LearnedState) { l.Unit = 0 }, func(l *LearnedState) { l.Unit = math.NaN() },
		func(l *LearnedState) { l.PassRate = math.Inf(1) }, func(l *LearnedState) { l.WeightSum = 0 },
		func(l *LearnedState) { l.Arrivals = -1 },
		func(l *LearnedState) { l.Servers = []LearnedServer{{ID: "a", Report: math.NaN()}} },
		func(l *LearnedState) { l.Servers = []LearnedServer{{ID: "a", PIDCorrection: math.Inf(-1)}} },
		func(l *LearnedState) { l.Kinds = []LearnedKind{{"k", 1, math.NaN(), 1}} },
	} {
		bad := good
		invalidate(&bad)
		balancer.Step(now, []Event{LearnedStateReceived{bad}})
		if a := balancer.findServer("a"); a.report.known || a.outlier.until != 0 {
			t.Errorf("learned state with invalid value %d: got it applied, want it ignored", i)
		}
	}
	mistimed := good
	mistimed.Servers = []LearnedServer{
		{ID: "a", Started: 4, Known: true, Report: 0.9, ReportAt: now},
		{ID: "b", Known: true, Report: 0.1, ReportAt: now + time.Hour},
	}
	balancer.Step(now, []Event{LearnedStateReceived{mistimed}})
	if balancer.findServer("a").report.known || balancer.findServer("b").report.load != 0.5 {
		t.Error("learned reports of an earlier start and of the future: got one applied, want both ignored")
	}
	balancer.Step(now, []Event{LearnedStateReceived{good}})
	a, other := balancer.findServer("a"), balancer.findServer("b")
	if a.report.load != 0.9 || a.report.at != now-time.Second || a.outlier.until != now+firstEjection<<3 ||
		a.costs.reports != 9 {
		t.Errorf("valid learned state: got server %+v, want its values applied", a)
	}
	if other.report.load != 0.5 {
		t.Error("learned report older than the balancer's own: got it applied, want the newer one kept")
	}
}

// TestOtherMeaningResetsEstimates checks that settings which change the meaning of reports discard the estimates
// learned from earlier reports, both in the balancer that gets the settings and in one that gets learned state from
// another process. Settings that keep the meaning keep the learned state.
func TestOtherMeaningResetsEstimates(t *testing.T) {
	now := time.Hour
	newLearnedBalancer := func() *Balancer {
		balancer, err := New(learnedStateSettings(), 1, now)
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
	same := learnedStateSettings()
	same.Limits.MaxAttempts, same.Classes = 2, append(same.Classes, Class{
		Name: "d", Priority: 9,
		Deadline: time.Second,
	})
	unchanged := newLearnedBalancer()
	unchanged.Step(now, []Event{SettingsChanged{same}})
	if !unchanged.findServer("a").report.known || unchanged.average.load == 0 ||
		len(unchanged.LearnedState().Kinds) != 1 {
		t.Error("settings with the same meaning of reports: got estimates discarded, want them kept")
	}
	for i, change := range []func(*Settings){
		func(s *Settings) { s.ReportFields = []ReportField{InFlight} }, func(s *Settings) { s.Reports = AllReports },
		func(s *Settings) { s.Sizes = LiveSize }, func(s *Settings) { s.PriorityPerWork = true },
	} {
		other := learnedStateSettings()
		change(&other)
		balancer := newLearnedBalancer()
		inherited := balancer.LearnedState()
		balancer.Step(now, []Event{SettingsChanged{other}})
		fresh, err := New(other, 1, now)
		if err != nil {
			t.Fatal(err)
		}
		list := ServerList{Kind: ListFull, Servers: []Server{
			{ID: "a", Kind: "k", Size: 1},
			{ID: "b", Kind: "k", Size: 1},
		}}
		fresh.Step(now, []Event{list})
		for _, inherits := range []bool{false, true} {
			if inherits {
				balancer = fresh
				balancer.Step(now, []Event{LearnedStateReceived{inherited}})
			}
			for _, id := range []ServerID{"a", "b"} {
				server, clean := balancer.findServer(id), fresh.findServer(id)
				if server.report.known || server.costs.reports != 0 || balancer.kinds["k"].costs.reports != 0 ||
					server.cost != clean.cost || balancer.predictedLoad(server) != fresh.predictedLoad(clean) ||
					balancer.average.load != fresh.average.load {
					t.Errorf("settings %d, inherits %v: got server %s %+v, average %v, want no estimates", i, inherits,
						id, server, balancer.average.load)
				}
			}
		}
	}
}

// TestInitialCost guards against rejections on an idle fleet whose connections cost far less than the default initial
// cost. It sends more connections than that cost allows, before reports can correct it. With the actual cost in the
// settings, all requests are placed.
func TestInitialCost(t *testing.T) {
	for _, initialCost := range []float64{1e-5, 0} {
		settings := learnedStateSettings()
		settings.Nodes, settings.InitialCost = 1, initialCost
		balancer, err := New(settings, 1, time.Hour)
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
				actions := balancer.Step(time.Hour+time.Duration(i)*time.Millisecond, events)
				events = nil
				for _, a := range actions {
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
		if rejected > 0 == (initialCost > 0) {
			t.Errorf("initial cost %v: got %d rejected, %v placed, want rejections only for cost 0", initialCost,
				rejected, placed)
		}
	}
}

// TestLearnedStateByAnotherClock checks that learned state keeps its age, and spent slow-start budgets stay spent, if
// the clock of the next process is an hour ahead or behind.
func TestLearnedStateByAnotherClock(t *testing.T) {
	for _, offset := range []time.Duration{time.Hour, -time.Hour} {
		list := newServerList(3)
		list.Servers[1].Started = 2*time.Hour - time.Second
		before, err := New(defaultTestSettings(), 1, 2*time.Hour)
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
		now := 2*time.Hour + offset
		after, err := New(defaultTestSettings(), 2, now)
		if err != nil {
			t.Fatal(err)
		}
		list.Servers[1].SlowStartSince = now - time.Second
		after.Step(now, []Event{list, LearnedStateReceived{learned}})
		if s := after.findServer("s000"); !s.report.known || s.report.at != now {
			t.Errorf("clock offset %v: got a report of age %v, known %v, want age 0, known", offset, now-s.report.at,
				s.report.known)
		}
		if s := after.findServer("s001"); s.slowStart.tokens != 0 || s.slowStart.refilledAt != now {
			t.Errorf("clock offset %v: got %v tokens refilled %v ago, want a spent budget of age 0", offset,
				s.slowStart.tokens, now-s.slowStart.refilledAt)
		}
		if s := after.findServer("s002"); s.outlier.until != now+firstEjection {
			t.Errorf("clock offset %v: got a remaining ejection of %v, want firstEjection, 2 s", offset,
				s.outlier.until-now)
		}
	}
}

// TestLearnedStateOfAnOverdrawnBudget checks that the next process applies the whole learned state, including the
// negative budget, after a connection overdrew the budget of a server in slow start.
func TestLearnedStateOfAnOverdrawnBudget(t *testing.T) {
	const now = 2 * time.Hour
	list := newServerList(2)
	list.Servers[1].Started = now - time.Second
	before, err := New(defaultTestSettings(), 1, now)
	if err != nil {
		t.Fatal(err)
	}
	before.Step(now, []Event{list, HealthCheckResult{Server: "s000", Outcome: Served, Report: []float64{0.5, 0.5}}})
	before.findServer("s001").slowStart.tokens = 1
	before.spendSlowStart(before.findServer("s001"), 3)
	learned := before.LearnedState()
	if got := learned.Servers[1].SlowStartCredit; got != -2 {
		t.Fatalf("budget after a connection of load 3: got %v, want -2", got)
	}
	after, err := New(defaultTestSettings(), 2, now)
	if err != nil {
		t.Fatal(err)
	}
	after.Step(now, []Event{list, LearnedStateReceived{learned}})
	if got := after.findServer("s001").slowStart.tokens; got != -2 {
		t.Errorf("budget in the next process: got %v, want -2", got)
	}
	if !after.findServer("s000").report.known {
		t.Error("report of another server in the next process: got none, want the learned one")
	}
}
