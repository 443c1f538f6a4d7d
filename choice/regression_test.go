package choice

import (
	"fmt"
	"testing"
	"time"
)

// One small test for each failure found on the bench; docs/incidents says where.

// place sends one request with all health checks answered, and returns where it went ("" if rejected).
func (f *referee) place(id string, group uint64, load func(ServerID) float64) ServerID {
	f.t.Helper()
	f.now += ms(1)
	f.step(Request{ID: RequestID(id), TimeLeft: ms(1800), Tenant: -1, Group: group})
	f.answerHealthChecks(load)
	if got := f.sends(); len(got) == 1 {
		return got[0]
	}
	return ""
}

func TestFirstRequestsAreNotRejected(t *testing.T) {
	f := newReferee(t, plain(), 1)
	f.step(fleet(10))
	for i := range 10 { // all before the first tick
		if f.place(fmt.Sprint(i), 0, level(0.4)) == "" {
			t.Fatal("rejected on an idle fleet: the cost of a connection was guessed as a whole server")
		}
	}
}

func TestDelaysDoNotMoveTheAverage(t *testing.T) {
	referee := newReferee(t, plain(), 2)
	referee.step(fleet(10))
	to := referee.place("a", 0, level(0.5))
	referee.step(Established{ID: "a", Attempt: 0, Server: to})
	for i := range 60 {
		referee.run(time.Duration(i+1) * time.Second)
		referee.step(DelayObservation{ID: "a", Server: to, Took: ms(900)})
	}
	if referee.b.average.load > 0.51 {
		t.Fatalf("average %.2f, all reports said 0.5", referee.b.average.load)
	}
}

func TestPassRateFallsOnAFullFleetAndRecovers(t *testing.T) {
	referee := newReferee(t, plain(), 3)
	referee.step(fleet(10))
	placed := func(from, seconds int, load float64) (n int) {
		for i := range seconds * 20 {
			referee.run(time.Duration(from)*time.Second + ms(50*i))
			if referee.place(fmt.Sprint(from, "-", i), 0, level(load)) != "" {
				n++
			}
		}
		return n
	}
	placed(0, 10, 1.3)
	if checks := len(referee.b.actions); checks > 3 {
		t.Errorf("%d actions for one rejection", checks)
	}
	if g := referee.b.admission.passRate; g > 0.1 {
		t.Errorf("pass rate at %.2f after 10 s at load 1.3", g)
	}
	placed(10, 20, 0.5)
	if n := placed(30, 5, 0.5); n < 95 {
		t.Errorf("only %d of 100 placed 20 s after the load has gone", n)
	}
}

func TestAFewSlowServersDoNotStopAdmission(t *testing.T) {
	referee := newReferee(t, plain(), 4)
	referee.step(fleet(12))
	slow := func(id ServerID) float64 {
		if id == "s000" || id == "s001" || id == "s002" {
			return 9
		}
		return 0.6
	}
	count := 0
	for i := range 400 {
		referee.run(ms(50 * i))
		if to := referee.place(fmt.Sprint(i), 0, slow); to != "" {
			count++
			if i > 200 && slow(to) > 1 {
				t.Fatalf("request %d went to slow %s", i, to)
			}
		}
	}
	if count < 390 {
		t.Errorf("%d of 400 placed with nine of twelve servers at 0.6", count)
	}
}

func TestNodesAgreeOnAGroupsServerAndOverflow(t *testing.T) {
	s := plain()
	s.GroupAffinity = true
	homes := map[uint64]ServerID{}
	for node := range 6 {
		referee := newReferee(t, s, uint64(50+node))
		referee.step(fleet(40))
		for g := uint64(1); g < 30; g++ {
			to := referee.place(fmt.Sprint(g), g, level(0.4))
			if homes[g] == "" {
				homes[g] = to
			}
			if to != homes[g] {
				t.Fatalf("node %d sends group %d to %s, others to %s", node, g, to, homes[g])
			}
		}
		// one home is crowded: the group goes on to its next server, others stay
		crowd := func(id ServerID) float64 {
			if id == homes[7] {
				return 0.9
			}
			return 0.4
		}
		referee.run(referee.now + time.Second)
		if to := referee.place("7 again", 7, crowd); to == homes[7] || to == "" {
			t.Fatalf("group 7 went to %q with its home at 0.9", to)
		}
	}
}

func TestMigrationIsConfirmedByAHealthCheck(t *testing.T) {
	moves := func(load float64, outcome Outcome) (n int) {
		referee := newReferee(t, plain(), 6)
		referee.step(fleet(10))
		to := referee.place("a", 0, level(0.5))
		referee.step(Established{ID: "a", Attempt: 0, Server: to})
		for range 40 {
			referee.now += ms(100)
			referee.step(DelayObservation{ID: "a", Server: to, Took: ms(500)})
			if len(referee.last) > 0 {
				referee.step(HealthCheckResult{Server: to, Outcome: outcome, Report: []float64{load, 5}})
				for _, a := range referee.last {
					if _, ok := a.(Migrate); ok {
						n++
					}
				}
			}
		}
		return n
	}
	if n := moves(0.6, Served); n != 0 {
		t.Errorf("%d moves off a server that reports 0.6", n)
	}
	if n := moves(5, Served); n == 0 {
		t.Error("no move off a server that reports 5")
	}
	if n := moves(0, TimedOut); n == 0 {
		t.Error("no move off a server that does not answer")
	}
}

// Tokens for a server in slow start must not be saved up at many idle nodes and spent at once.
func TestSlowStartCreditLapses(t *testing.T) {
	worst, total := growth(t, 6)
	t.Log(worst, total)
	if worst > 3 {
		t.Errorf("after six idle seconds a server in slow start got %.1f times what it could do", worst)
	}
}

// On a full fleet what has a higher priority for its load is admitted more often, and a tenant over its quota less.
func TestAdmissionByPriorityAndQuota(t *testing.T) {
	s := plain()
	s.PriorityPerWork, s.OverQuotaPriority = true, 0.05
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[0].Priority, s.Classes[1].Priority = 1, 5
	s.Tenants = []Tenant{{Name: "in", Connections: 1e6}, {Name: "over", Connections: 1}}
	referee := newReferee(t, s, 8)
	referee.step(fleet(10))
	for i := range 100 { // learn the mean priority, and put the second tenant over its quota
		id := RequestID(fmt.Sprint("warm", i))
		referee.now += ms(10)
		referee.step(Request{ID: id, TimeLeft: ms(1800), Class: i % 2, Tenant: i % 4 / 2})
		referee.answerHealthChecks(level(0.5))
		if to := referee.sends(); len(to) == 1 {
			referee.step(Established{ID: id, Attempt: 0, Server: to[0]})
		}
	}
	pass := map[[2]int]int{}
	for i := range 4000 {
		referee.b.admission.passRate = 0.3
		class, tenant := i%2, i%4/2
		id := RequestID(fmt.Sprint(i))
		referee.step(Request{ID: id, TimeLeft: ms(1800), Class: class, Tenant: tenant})
		if !referee.reqs[id].done {
			pass[[2]int{class, tenant}]++
		}
		referee.step(ClientGone{ID: id})
	}
	if low, high := pass[[2]int{0, 0}], pass[[2]int{1, 0}]; high < 3*low || high == 0 {
		t.Errorf("priority 5 was admitted %d times, priority 1 %d times", high, low)
	}
	if over, in := pass[[2]int{1, 1}], pass[[2]int{1, 0}]; 2*over > in {
		t.Errorf("over its quota a tenant passed %d times, inside %d times", over, in)
	}
}

// Health checks go to servers that look well: the pass rate must also heed that this node's own clients sit on full
// ones.
func TestPassRateSeesOwnClientsOnFullServers(t *testing.T) {
	referee := newReferee(t, plain(), 12)
	referee.step(fleet(20))
	var open []DelayObservation
	for i := range 20 {
		id := RequestID(fmt.Sprint("c", i))
		if to := referee.place(string(id), 0, level(0.6)); to != "" {
			referee.step(Established{ID: id, Attempt: 0, Server: to})
			open = append(open, DelayObservation{ID: id, Server: to, Took: ms(900)})
		}
	}
	for range 8 {
		referee.run(referee.now + time.Second)
		for _, n := range open {
			referee.step(n)
		}
		referee.run(referee.now + ms(500))
		referee.step(HealthCheckResult{Server: "s019", Report: []float64{0.4, 10}})
	}
	if referee.b.admission.passRate > 0.3 {
		t.Errorf("pass rate at %.2f with all own clients on servers that answer in 900 ms, and reports of 0.4",
			referee.b.admission.passRate)
	}
}

// An open connection whose packets come to another node is no new load: it is admitted, to the same server.
func TestMidFlowGoesWhereOtherNodesSendIt(t *testing.T) {
	s := plain()
	s.PacketPassThrough = true
	for key := uint64(1); key < 20; key++ {
		homes := map[ServerID]bool{}
		for node := range 4 {
			f := newReferee(t, s, uint64(node))
			f.step(fleet(12))
			f.b.admission.passRate = 0.01
			f.step(Request{ID: "r", TimeLeft: ms(1800), Tenant: -1, Key: key, MidFlow: true})
			f.answerHealthChecks(level(0.4))
			for _, to := range f.sends() {
				homes[to] = true
			}
		}
		if len(homes) != 1 {
			t.Errorf("key %d went to %d servers", key, len(homes))
		}
	}
}

// TestDroppedConnections has a server reset a connection that stood. Where servers report no load, it is left out for
// a time: what it drops is all that shows a full one, and its clients come again at once. Where they report, the
// report decides; and an end that the server announced, or one that its client made, says nothing anywhere.
func TestDroppedConnections(t *testing.T) {
	for _, reports := range []ReportSource{NoReports, HealthCheckReports} {
		for _, outcome := range []Outcome{Reset, Served, Cancelled} {
			balancer, err := New(Settings{
				Nodes: 1, Reports: reports, ReportFields: []ReportField{Load}, Limits: Limits{MaxAttempts: 4},
				Classes: []Class{{SetupObjective: time.Second, Deadline: 4 * time.Second, Priority: 1}},
			}, 1, time.Hour)
			if err != nil {
				t.Fatal(err)
			}
			acts := balancer.Step(time.Hour, []Event{
				ServerList{Kind: ListFull, Servers: []Server{
					{ID: "a", Size: 1},
					{ID: "b", Size: 1},
					{ID: "c", Size: 1},
				}},
				Request{ID: "1", Tenant: -1, TimeLeft: 4 * time.Second},
			})
			var target ServerID
			for _, a := range acts {
				if s, ok := a.(StartAttempt); ok {
					target = s.Server
				}
			}
			balancer.Step(time.Hour, []Event{Established{ID: "1", Server: target}})
			balancer.Step(time.Hour+250*time.Millisecond, []Event{AttemptEnded{
				ID: "1", Server: target,
				Outcome: outcome, Final: true,
			}})
			out := balancer.findServer(target).outlier.until > balancer.now
			if want := reports == NoReports && outcome == Reset; target == "" || out != want {
				t.Errorf("reports %v, outcome %v: %s is left out: %v", reports, outcome, target, out)
			}
		}
	}
}
