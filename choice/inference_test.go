package choice

import (
	"fmt"
	"testing"
	"time"
)

// silentSettings are those of a deployment whose servers report nothing and whose nodes don't talk.
func silentSettings(nodes int) Settings {
	return Settings{
		Nodes: nodes, GroupAffinity: true, Sizes: NominalSize, DelaysObserved: true, RoundTrip: 4 * time.Millisecond,
		Classes: []Class{
			{
				Name: "watch", SetupObjective: time.Second, Deadline: 5 * time.Second,
				MessageObjective: 150 * time.Millisecond, Priority: 5,
			},
			{
				Name: "pay", SetupObjective: time.Second, Deadline: 5 * time.Second,
				MessageObjective: 250 * time.Millisecond, Priority: 15,
			},
		},
		Limits: Limits{MaxAttempts: 4, HealthChecks: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second},
		Rules: Rules{
			SlowStartFraction: 0.14, WarmUp: 20 * time.Second, OverloadMultiple: 2.5,
			OverloadTime: 1500 * time.Millisecond,
		},
	}
}

// silentNode is one node of it, with a fleet of equal warm servers.
func silentNode(t *testing.T, nodes, servers int) (*Balancer, time.Duration) {
	t.Helper()
	balancer, err := New(silentSettings(nodes), 1, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	list := ServerList{Kind: ListFull}
	for i := range servers {
		list.Servers = append(list.Servers, Server{ID: ServerID(fmt.Sprint("h", i)), Kind: "k", Size: 2})
	}
	balancer.Step(time.Hour, []Event{list})
	return balancer, time.Hour
}

// connect places a request and has its connection stand; it returns the server, or "" where the request was rejected.
func connect(balancer *Balancer, now time.Duration, id RequestID, class int, group uint64) ServerID {
	for _, a := range balancer.Step(now, []Event{Request{
		ID: id, Class: class, Tenant: -1, Group: group,
		TimeLeft: 5 * time.Second,
	}}) {
		if a, ok := a.(StartAttempt); ok {
			balancer.Step(now, []Event{Established{ID: id, Server: a.Server, Took: 20 * time.Millisecond}})
			return a.Server
		}
	}
	return ""
}

// A connection must not count 1 until its server reports its load, and a small part of that afterwards: no limit would
// ever bind.
func TestReportedConnectionLoadsGiveTheUnit(t *testing.T) {
	balancer, now := silentNode(t, 3, 8)
	servers := map[RequestID]ServerID{}
	for i := range 20 {
		id := RequestID(fmt.Sprint(i))
		servers[id] = connect(balancer, now, id, i%2, uint64(i+1))
	}
	before := 0.0
	for _, s := range balancer.servers {
		before += s.cost * s.own.load
	}
	for i := range 10 { // half of the connections report their load: those of the second class are nine times as heavy
		balancer.Step(now, []Event{LoadUpdate{ID: RequestID(fmt.Sprint(i)), Load: []float64{0.02, 0.18}[i%2]}})
	}
	sum := 0.0
	for _, s := range balancer.servers {
		sum += s.own.load
	}
	if sum < 1 || sum > 3 { // ten of 0.02 and ten of 0.18 are 2
		t.Errorf("20 connections count %.2f in all, reported and unreported ones together", sum)
	}
	if light, heavy := balancer.expectedLoad(0), balancer.expectedLoad(1); light < 0.019 || light > 0.021 ||
		heavy < 0.179 || heavy > 0.181 {
		t.Errorf("new connections are guessed at %.3f and %.3f", light, heavy)
	}
	balancer.updateCosts()
	if balancer.units.mean < 0.05 || balancer.units.mean > 0.15 {
		t.Errorf("the mean connection counts %.3f", balancer.units.mean)
	}
	if before <= 0 {
		t.Error("nothing stood before")
	}
}

// Where servers report, loads of connections don't change the unit: costs and reservations are learned in it.
func TestConnectionLoadsKeepTheUnitWhereServersReport(t *testing.T) {
	set := silentSettings(3)
	set.Reports, set.ReportFields = HealthCheckReports, []ReportField{Utilization, Load}
	b, err := New(set, 1, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	b.observeConnectionLoad(0, 0.02)
	if b.units.mean != 1 || b.expectedLoad(0) != 1 {
		t.Errorf("a connection counts %.3f, a new one %.3f", b.units.mean, b.expectedLoad(0))
	}
}

// Slow messages have to raise a server's predicted load where nothing reports it, and connections to be placed
// elsewhere.
func TestSlowMessagesCountWithoutReports(t *testing.T) {
	balancer, now := silentNode(t, 3, 8)
	const group = 7
	var home ServerID
	for i := range 6 {
		home = connect(balancer, now, RequestID(fmt.Sprint(i)), 0, group)
	}
	server, moved := balancer.findServer(home), 0
	for i := range 5 {
		now += time.Second
		for _, a := range balancer.Step(now, []Event{DelayObservation{
			ID: "0", Server: home,
			Took: 900 * time.Millisecond,
		}, TimerFired{Token: "tick"}}) {
			if a, ok := a.(Migrate); ok {
				moved++
				balancer.Step(now, []Event{AttemptEnded{ID: a.ID, Server: home, Outcome: Cancelled, Final: true}})
			}
		}
		if i == 0 && balancer.predictedLoad(server) < crowdedLoad {
			t.Errorf("a server whose messages take 900 ms is predicted at %.2f", balancer.predictedLoad(server))
		}
	}
	if moved == 0 {
		t.Error("nobody was moved off it")
	}
	if to := connect(balancer, now, "next", 0, group); to == home {
		t.Error("the group's next connection went there all the same")
	}
	quiet := balancer.predictedLoad(server)
	for range 20 { // it is over: once more when messages are quick again
		now += time.Second
		balancer.Step(now, []Event{
			DelayObservation{ID: "0", Server: home, Took: 5 * time.Millisecond},
			TimerFired{Token: "tick"},
		})
	}
	if balancer.predictedLoad(server) >= quiet || balancer.predictedLoad(server) > crowdedLoad {
		t.Errorf("with quick messages again it is predicted at %.2f, %.2f before", balancer.predictedLoad(server),
			quiet)
	}
}

// A setup that takes long shows an overload; one that is just as long as the others doesn't, however long they are.
func TestSlowSetupsCount(t *testing.T) {
	for _, test := range []struct {
		typical, last time.Duration
		slow          bool
	}{
		{20 * time.Millisecond, 400 * time.Millisecond, true},
		{20 * time.Millisecond, 60 * time.Millisecond, false},
		{300 * time.Millisecond, 400 * time.Millisecond, false},
	} {
		b, now := silentNode(t, 3, 8)
		s := b.servers[0]
		for range 40 {
			b.inferFromSetup(b.servers[1], test.typical)
		}
		b.now = now
		b.inferFromSetup(s, test.last)
		if slow := s.report.known && s.report.load > crowdedLoad-overflowMargin; slow != test.slow {
			t.Errorf("after set-ups of %v one of %v: taken for slow is %v", test.typical, test.last, slow)
		}
	}
}

// What one node sees of a server of a large fleet is next to nothing: its estimate has to lean on the average, and on
// its own connections where there are enough.
func TestEstimateLeansOnTheAverage(t *testing.T) {
	for _, test := range []struct {
		nodes, own int
		low, high  float64
	}{
		{300, 0, 0.3, 0.55}, {300, 1, 0.4, 0.75}, // 1 x 300 times the cost of one would be 3
		{2, 0, 0.05, 0.45}, {2, 40, 0.6, 2},
	} {
		b, _ := silentNode(t, test.nodes, 8)
		b.average.load = 0.5
		s := b.servers[0]
		s.own.add(b.now, float64(test.own)*b.units.mean)
		if e := b.estimateLoad(s); e < test.low || e > test.high {
			t.Errorf("%d own connections at one of %d nodes: estimated at %.2f, wanted %.2f to %.2f", test.own,
				test.nodes, e, test.low, test.high)
		}
	}
}

// A group has to go to the same few servers from each node, more of them large than small, and to none that is just
// starting more often than its warm-up allows: all nodes know sizes and starts alike.
func TestGroupsGoByRegisteredSize(t *testing.T) {
	first := map[ServerID]int{}
	for group := range uint64(600) {
		seen := map[ServerID]bool{}
		for node := range 3 {
			set := silentSettings(3)
			set.Node = node
			balancer, err := New(set, uint64(node), time.Hour)
			if err != nil {
				t.Fatal(err)
			}
			balancer.Step(time.Hour, []Event{ServerList{Kind: ListFull, Servers: []Server{
				{ID: "large", Size: 4},
				{ID: "small", Size: 1},
				{ID: "mid", Size: 2},
			}}})
			seen[connect(balancer, time.Hour, "r", 0, group+1)] = true
			if node == 0 {
				for id := range seen {
					first[id]++
				}
			}
		}
		if len(seen) != 1 {
			t.Fatalf("three nodes send group %d to %v", group, seen)
		}
	}
	if first["large"] < 300 || first["small"] > 130 || first["small"] == 0 {
		t.Errorf("of 600 groups go to sizes 4, 2 and 1: %v", first)
	}
}

// Connections that servers shed at once, only to come again at the next node, must stay a bounded part of all; what
// is rejected has a Retry-After, spread.
func TestDroppedConnectionsAreThrottled(t *testing.T) {
	balancer, now := silentNode(t, 300, 90)
	placed, rejected, advice := 0, 0, map[time.Duration]bool{}
	for i := range 300 { // a storm: each connection is dropped 200 ms after it came up
		now += 10 * time.Millisecond
		id := RequestID(fmt.Sprint(i))
		for _, a := range balancer.Step(now, []Event{Request{
			ID: id, Tenant: -1, Group: uint64(1 + i%5),
			TimeLeft: 5 * time.Second, Returned: true,
		}}) {
			switch action := a.(type) {
			case StartAttempt:
				placed++
				balancer.Step(now, []Event{Established{ID: id, Server: action.Server, Took: 20 * time.Millisecond}})
				balancer.Step(now+200*time.Millisecond, []Event{AttemptEnded{
					ID: id, Server: action.Server, Outcome: Reset,
					Final: true,
				}})
			case Reject:
				rejected++
				if advice[action.RetryAfter] = true; action.RetryAfter <= 0 || action.RetryAfter > 2*time.Second {
					t.Fatalf("advice of %v where clients heed 2 s", action.RetryAfter)
				}
			}
		}
	}
	if placed > 60 || placed == 0 {
		t.Errorf("%d of 300 connections were placed while servers shed each of them", placed)
	}
	if len(advice) < rejected/2 {
		t.Errorf("%d rejections have %d different advices: they come back as waves", rejected, len(advice))
	}
	now += time.Minute // servers hold again: what comes is let in, at once and all of it
	for i := range 50 {
		now += 200 * time.Millisecond
		balancer.Step(now, []Event{TimerFired{Token: "tick"}})
		if connect(balancer, now, RequestID(fmt.Sprint("calm", i)), 0, uint64(1+i%5)) == "" {
			rejected++
			if i > 10 {
				t.Errorf("request %d is rejected in a calm minute", i)
			}
		}
	}
}

// On a deployment that reports, none of this is in the way: no throttle, no advice of the balancer's own.
func TestThrottleOnlyWithoutReports(t *testing.T) {
	set := silentSettings(3)
	set.Reports, set.ReportFields = HealthCheckReports, []ReportField{Load}
	balancer, err := New(set, 1, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	balancer.Step(time.Hour, []Event{ServerList{Kind: ListFull, Servers: []Server{{ID: "a", Size: 1}}}})
	for range 50 {
		balancer.admission.throttle.add(balancer.now, 1, 0)
	}
	r := &requestEntry{class: &balancer.settings.Classes[0], load: balancer.units.mean}
	if part := balancer.admitRate(r); part < 1 {
		t.Errorf("%.2f of all requests are let in", part)
	}
}
