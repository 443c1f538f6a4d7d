package choice

import (
	"fmt"
	"testing"
	"time"
)

// vast is a fleet of many nodes, each of which holds a connection or two or none.
func vast() Settings {
	s := plain()
	s.Nodes, s.Grouped, s.Subscribe = 80, true, false
	s.Fields = []Field{Load, Utilization}
	s.Tenants = []Tenant{{Name: "t", Connections: 165}}
	s.OverQuotaWorth = 1
	return s
}

// TestCostOnANodeThatHoldsNothing guards against reported load set against no connections of a node's own: that reads as
// hosts that one connection fills, and all requests are refused.
func TestCostOnANodeThatHoldsNothing(t *testing.T) {
	refused := 0
	for seed := range uint64(20) {
		f := newReferee(t, vast(), seed)
		f.step(fleet(13))
		for range 60 {
			for _, s := range fleet(13).Servers {
				f.step(ProbeResult{Server: s.ID, Outcome: Served, Report: []float64{0.6, 0.6}})
			}
			f.run(f.now + ms(200))
		}
		f.step(Request{ID: "r", Group: 7, Left: 2 * time.Second, Tenant: -1})
		f.answerProbes(func(ServerID) float64 { return 0.6 })
		if len(f.sends()) == 0 {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of 20 nodes refuse a connection while all hosts are at 0.6", refused)
	}
}

// TestManyNodesKeepAGroupTogether has 80 nodes that hold at most one connection of a group each place a further one.
func TestManyNodesKeepAGroupTogether(t *testing.T) {
	used := map[ServerID]int{}
	for node := range 80 {
		f := newReferee(t, vast(), uint64(node))
		f.step(fleet(13))
		var events []Event
		for i, s := range fleet(13).Servers { // each node's reports differ a little
			events = append(events, ProbeResult{Server: s.ID, Outcome: Served, Report: []float64{0.3 + 0.2*float64((node*7+i*5)%11)/10, 0.4}})
		}
		f.step(events...)
		if node%3 == 0 {
			f.step(OpenConnection{Request{ID: RequestID(fmt.Sprint("o", node)), Group: 7, Tenant: -1}, "s003"})
		}
		f.run(f.now + 2*time.Second)
		f.step(Request{ID: "r", Group: 7, Left: 2 * time.Second, Tenant: -1})
		f.answerProbes(func(ServerID) float64 { return 0.4 })
		for _, s := range f.sends() {
			used[s]++
		}
	}
	if len(used) > 2 {
		t.Errorf("a group of 80 nodes goes to %d of 13 hosts: %v", len(used), used)
	}
}
