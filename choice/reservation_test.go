package choice

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// largeFleetSettings returns the settings of a fleet of many nodes with zero to two connections each.
func largeFleetSettings() Settings {
	settings := defaultTestSettings()
	settings.Nodes, settings.GroupAffinity, settings.Subscribe = 80, true, false
	settings.ReportFields = []ReportField{Load, Utilization}
	settings.Tenants = []Tenant{{Name: "t", Connections: 165}}
	settings.OverQuotaPriority = 1
	return settings
}

// TestCostOnANodeWithoutConnections checks the learned cost on a node without connections of its own. If it related the
// reported load to zero connections, one connection would seem to fill a server, and all requests would be rejected.
func TestCostOnANodeWithoutConnections(t *testing.T) {
	rejected := 0
	for seed := range uint64(20) {
		checker := newBalancerChecker(t, largeFleetSettings(), seed)
		checker.stepAndCheck(newServerList(13))
		for range 60 {
			for _, server := range newServerList(13).Servers {
				checker.stepAndCheck(HealthCheckResult{Server: server.ID, Outcome: Served, Report: []float64{0.6, 0.6}})
			}
			checker.runUntil(checker.now + ms(200))
		}
		checker.stepAndCheck(Request{ID: "r", Group: 7, TimeLeft: 2 * time.Second, Tenant: -1})
		checker.answerHealthChecks(func(ServerID) float64 { return 0.6 })
		if len(checker.attemptedServers()) == 0 {
			rejected++
		}
	}
	if rejected > 0 {
		t.Errorf("request with all servers at load 0.6: got it rejected by %d of 20 nodes, want by none", rejected)
	}
}

// TestManyNodesKeepAGroupTogether checks that 80 nodes, with at most one connection of a group each, place a further
// connection of the group on at most two servers. Nodes whose estimates of the group's size differ would scatter it.
func TestManyNodesKeepAGroupTogether(t *testing.T) {
	used := map[ServerID]int{}
	for node := range 80 {
		checker := newBalancerChecker(t, largeFleetSettings(), uint64(node))
		checker.stepAndCheck(newServerList(13))
		var events []Event
		for i, server := range newServerList(13).Servers { // the reports differ a little between nodes
			events = append(events, HealthCheckResult{
				Server: server.ID, Outcome: Served,
				Report: []float64{0.3 + 0.2*float64((node*7+i*5)%11)/10, 0.4},
			})
		}
		checker.stepAndCheck(events...)
		if node%3 == 0 {
			checker.stepAndCheck(OpenConnection{
				Request: Request{ID: RequestID(fmt.Sprint("o", node)), Group: 7, Tenant: -1},
				Server:  "s003",
			})
		}
		checker.runUntil(checker.now + 2*time.Second)
		checker.stepAndCheck(Request{ID: "r", Group: 7, TimeLeft: 2 * time.Second, Tenant: -1})
		checker.answerHealthChecks(func(ServerID) float64 { return 0.4 })
		for _, server := range checker.attemptedServers() {
			used[server]++
		}
	}
	if len(used) > 2 {
		t.Errorf("group on 80 nodes: got %d of 13 servers, %v, want at most 2", len(used), used)
	}
}

// nodeSimulation simulates many nodes and a few servers. Messages between nodes take 20 ms, and reports are 200 ms old.
type nodeSimulation struct {
	nodes             []*Balancer
	now               time.Duration
	queue             []scheduledEvent // ordered by time
	load              func(server ServerID, connections int) float64
	connections       map[ServerID]int
	connectionHistory map[ServerID][]int           // connections of the server, every 10 ms
	attemptTimes      map[ServerID][]time.Duration // of starts of attempts
	messageCount      int
	outcomeCounts     map[string]int
	failedNodes       map[int]bool
}

// scheduledEvent is an event that a node will receive.
type scheduledEvent struct {
	at    time.Duration
	node  int
	event Event
}

func newNodeSimulation(
	tb testing.TB, settings Settings, seed uint64, list ServerList, load func(ServerID, int) float64,
) *nodeSimulation {
	tb.Helper()
	simulation := &nodeSimulation{
		now: time.Hour, load: load, connections: map[ServerID]int{}, connectionHistory: map[ServerID][]int{},
		attemptTimes: map[ServerID][]time.Duration{}, outcomeCounts: map[string]int{}, failedNodes: map[int]bool{},
	}
	for node := range settings.Nodes {
		settings.Node = node
		balancer, err := New(settings, seed*1000+uint64(node), simulation.now)
		if err != nil {
			tb.Fatal(err)
		}
		simulation.nodes = append(simulation.nodes, balancer)
		simulation.schedule(node, 0, list)
	}
	return simulation
}

// schedule inserts an event for a node into the queue, after the events of the same time.
func (s *nodeSimulation) schedule(node int, after time.Duration, event Event) {
	scheduled := scheduledEvent{s.now + after, node, event}
	i, _ := slices.BinarySearchFunc(s.queue, scheduled.at+1, func(queued scheduledEvent, at time.Duration) int {
		return int(queued.at - at)
	})
	s.queue = slices.Insert(s.queue, i, scheduled)
}

// runFor passes the events of a span of time to their nodes. It drops events of failed nodes.
func (s *nodeSimulation) runFor(span time.Duration) {
	for end := s.now + span; len(s.queue) > 0 && s.queue[0].at <= end; {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.now = next.at
		if s.failedNodes[next.node] {
			continue
		}
		for _, action := range s.nodes[next.node].Step(s.now, []Event{next.event}) {
			s.performAction(next.node, action)
		}
	}
}

// performAction carries out an action of a node.
func (s *nodeSimulation) performAction(node int, a Action) {
	switch action := a.(type) {
	case SetTimer:
		s.schedule(node, max(action.After, 1), TimerFired{action.Token})
	case SendPeerMessage:
		s.messageCount++
		s.schedule(action.To, ms(20), PeerMessage{node, action.Data})
	case HealthCheck:
		connections := 0
		if history := s.connectionHistory[action.Server]; len(history) > 0 {
			connections = history[max(0, len(history)-20)]
		}
		s.schedule(node, ms(10), HealthCheckResult{Server: action.Server, Report: []float64{
			s.load(action.Server, connections),
			0,
		}})
	case StartAttempt:
		s.connections[action.Server]++
		s.attemptTimes[action.Server] = append(s.attemptTimes[action.Server], s.now)
		s.schedule(node, ms(5), Established{ID: action.ID, Server: action.Server})
		s.outcomeCounts["sent"]++
	case Reject:
		s.outcomeCounts["rejected"]++
	case Fail:
		s.outcomeCounts["failed"]++
	}
}

// sendRequests sends n requests, evenly spread over the given time, to nodes chosen by hash. It then runs the
// simulation for 3 s.
func (s *nodeSimulation) sendRequests(n int, over time.Duration, group func(i int) uint64) {
	step := ms(10)
	sent := 0
	for t := time.Duration(0); t < over; t += step {
		for ; sent < int(int64(n)*int64(t+step)/int64(over)); sent++ {
			node := int(mix(uint64(sent)+99) % uint64(len(s.nodes)))
			s.schedule(node, 0, Request{
				ID: RequestID(fmt.Sprint("r", sent)), TimeLeft: 2 * time.Second, Tenant: -1,
				Group: group(sent),
			})
		}
		for id := range s.connections {
			s.connectionHistory[id] = append(s.connectionHistory[id], s.connections[id])
		}
		s.runFor(step)
	}
	s.runFor(3 * time.Second)
}

// reservationSettings returns the settings of a large fleet whose servers have owners.
func reservationSettings() Settings {
	settings := largeFleetSettings()
	settings.Limits.PeerMessages = true
	settings.Costs.PeerMessage = 0.01
	return settings
}

// TestManyNodesDoNotOverloadAServer checks that 80 nodes do not overload a server with a burst of requests while the
// servers are half full and the reports are 200 ms old. Without owners, nodes do not see each other's connections in
// these reports and overload a server.
func TestManyNodesDoNotOverloadAServer(t *testing.T) {
	run := func(settings Settings) (most, rejected int) {
		for seed := range uint64(3) {
			simulation := newNodeSimulation(t, settings, seed, newServerList(13),
				func(_ ServerID, connections int) float64 { return 0.5 + 0.06*float64(connections) })
			simulation.runFor(2 * time.Second)
			simulation.sendRequests(150, ms(500), func(i int) uint64 { return uint64(1 + i%20) })
			for _, n := range simulation.connections {
				most = max(most, n)
			}
			rejected += simulation.outcomeCounts["rejected"]
		}
		return most, rejected
	}
	// A server is full at 0.85, that is with 5 more connections. The limit allows half a connection for rounding in
	// messages and one for random variation.
	if most, rejected := run(reservationSettings()); most > 7 || rejected == 0 {
		t.Errorf("with owners: got %d connections on a server, %d rejected, want at most 7 and some rejected", most,
			rejected)
	}
	if most, _ := run(largeFleetSettings()); most <= 7 {
		t.Errorf("without owners: got %d connections on a server, want more than 7, or the test proves nothing", most)
	}
}

// TestSlowStartServerGetsItsBudgetAndNoMore checks that a server in slow start gets some connections, but no more than
// its budget, during a burst of requests at 80 nodes. All other servers are nearly full, so that every node prefers the
// server in slow start.
func TestSlowStartServerGetsItsBudgetAndNoMore(t *testing.T) {
	list := newServerList(13)
	list.Servers[4].Started = time.Hour - time.Second
	settings := reservationSettings()
	simulation := newNodeSimulation(t, settings, 5, list, func(id ServerID, connections int) float64 {
		if id == list.Servers[4].ID {
			return 0.1 * float64(connections)
		}
		return 0.84
	})
	simulation.runFor(2 * time.Second)
	simulation.sendRequests(600, 4*time.Second, func(int) uint64 { return 0 })
	started := list.Servers[4]
	if len(simulation.attemptTimes[started.ID]) < 5 {
		t.Errorf("server in slow start: got %d connections in a burst of 4 s, want at least 5",
			len(simulation.attemptTimes[started.ID]))
	}
	for i, from := range simulation.attemptTimes[started.ID] {
		count := 0
		for _, at := range simulation.attemptTimes[started.ID][i:] {
			if at < from+settings.Rules.OverloadTime {
				count++
			}
		}
		// The budget is the rate that fills the server within its warm-up, multiplied by OverloadMultiple and the
		// capacity fraction at the end of the window. The tenant's quota gives 165 connections to 13 servers. The first
		// connection is allowed in addition, since connections are not divisible.
		warm := 0.2 + 0.8*(from+settings.Rules.OverloadTime-started.Started).Seconds()/10
		budget := settings.Rules.OverloadMultiple * warm * 165.0 / 13 / 10 * settings.Rules.OverloadTime.Seconds()
		if float64(count) > budget+1 {
			t.Errorf("server in slow start: got %d connections in %v, want at most one more than its budget of %.1f",
				count, settings.Rules.OverloadTime, budget)
		}
	}
}

// TestRequestsAreServedAfterOwnersFail checks that after the failure of 7 of 10 nodes the other nodes still serve their
// requests, although most owners no longer reply to reservation requests.
func TestRequestsAreServedAfterOwnersFail(t *testing.T) {
	simulation := newNodeSimulation(t, reservationSettings(), 3, newServerList(13),
		func(ServerID, int) float64 { return 0.3 })
	simulation.runFor(2 * time.Second)
	for node := range simulation.nodes {
		simulation.failedNodes[node] = node%10 < 7
	}
	simulation.sendRequests(100, 2*time.Second, func(i int) uint64 { return uint64(i % 7) })
	if simulation.outcomeCounts["rejected"]+simulation.outcomeCounts["failed"] > 0 ||
		simulation.outcomeCounts["sent"] == 0 {
		t.Errorf("after most nodes failed: got %v, want only sent requests", simulation.outcomeCounts)
	}
}

// TestNoPeerMessagesIfDisabled checks that nodes send no peer messages if the settings forbid them, if messages are too
// expensive, and in fleets so small that a node's own observations are enough.
func TestNoPeerMessagesIfDisabled(t *testing.T) {
	fewNodes := reservationSettings()
	fewNodes.Nodes = 4
	expensive := reservationSettings()
	expensive.Costs.PeerMessage = 1
	for name, settings := range map[string]Settings{
		"forbidden": largeFleetSettings(), "few nodes": fewNodes, "expensive messages": expensive,
	} {
		simulation := newNodeSimulation(t, settings, 1, newServerList(13), func(ServerID, int) float64 { return 0.3 })
		simulation.sendRequests(50, time.Second, func(i int) uint64 { return uint64(i) })
		if simulation.messageCount > 0 || simulation.outcomeCounts["sent"] == 0 {
			t.Errorf("%s: got %d messages, %v, want no messages and some requests sent", name, simulation.messageCount,
				simulation.outcomeCounts)
		}
	}
}

// TestInvalidPeerMessagesAreDropped checks that a node drops messages that are truncated, of another version, late,
// repeated, not requested, or from an invalid node.
func TestInvalidPeerMessagesAreDropped(t *testing.T) {
	checker := newBalancerChecker(t, reservationSettings(), 1)
	checker.now = time.Hour
	checker.stepAndCheck(newServerList(13))
	server := checker.balancer.servers[3]
	valid := peerMessage{
		kind: reservationRequest, token: tokenClock(checker.balancer.now), server: serverKey(server), load: 1,
	}
	late, otherVersion := valid, valid.encode()
	late.token -= maxMessageAge + 1
	otherVersion[0] = 2<<4 | byte(reservationRequest)
	for i, message := range []PeerMessage{
		{1, nil},
		{1, valid.encode()[:8]},
		{1, append(valid.encode(), 0)},
		{1, otherVersion},
		{1, late.encode()},
		{-1, valid.encode()},
		{80, valid.encode()},
		{0, valid.encode()},
		{1, peerMessage{kind: reservationGranted, token: valid.token}.encode()},
		{1, make([]byte, 300)},
	} {
		if actions := checker.stepAndCheck(message); len(actions) > 0 ||
			checker.balancer.DroppedPeerMessages() != i+1 {
			t.Errorf("message %d: got %d messages dropped so far, actions %v, want all dropped and no actions", i,
				checker.balancer.DroppedPeerMessages(), actions)
		}
	}
	if actions := checker.stepAndCheck(PeerMessage{1, valid.encode()}); len(actions) != 1 {
		t.Fatalf("valid message: got actions %v, want one", actions)
	}
	if actions := checker.stepAndCheck(PeerMessage{1, valid.encode()}); len(actions) > 0 {
		t.Errorf("repeated message: got actions %v, want none", actions)
	}
}

// FuzzPeerMessage checks that no bytes from another node crash the balancer, and that decoded values are in their
// ranges and encode to the same bytes.
func FuzzPeerMessage(f *testing.F) {
	f.Add(peerMessage{kind: reservationRequest, token: 1, server: 2, group: 3, load: 1}.encode())
	f.Add(peerMessage{kind: reservationGranted, token: 1, load: 0.5, fraction: 1}.encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		message, ok := decodePeerMessage(data)
		if ok && (message.load < 0 || message.load > 16 || message.fraction < 0 || message.fraction > 1 ||
			string(message.encode()) != string(data)) {
			t.Errorf("decode of %v: got %+v, want values in range that encode to the same bytes", data, message)
		}
		checker := newBalancerChecker(t, reservationSettings(), 1)
		checker.stepAndCheck(newServerList(3))
		checker.stepAndCheck(PeerMessage{1, data})
	})
}

// TestReservationOnDrainingServerIsNotUsed checks that a node does not use a reservation on a server that began to
// drain before the owner's reply arrived.
func TestReservationOnDrainingServerIsNotUsed(t *testing.T) {
	checker := newBalancerChecker(t, reservationSettings(), 1)
	checker.now = time.Hour
	checker.stepAndCheck(newServerList(13))
	for _, a := range checker.stepAndCheck(Request{ID: "r", Group: 7, TimeLeft: 2 * time.Second, Tenant: -1}) {
		if message, ok := a.(SendPeerMessage); ok {
			request, _ := decodePeerMessage(message.Data)
			draining := checker.balancer.findServerByKey(request.server).Server
			draining.State = Draining
			checker.stepAndCheck(ServerList{Kind: ListChange, Servers: []Server{draining}})
			checker.stepAndCheck(PeerMessage{
				message.To,
				peerMessage{kind: reservationGranted, token: request.token}.encode(),
			})
			if slices.Contains(checker.attemptedServers(), draining.ID) {
				t.Error("reservation granted on a draining server: got an attempt on it, want none")
			}
			return
		}
	}
	t.Error("request of a group: got no reservation request, want one")
}

// TestNoAttemptIfRequestEndsDuringReservation checks that a node starts no attempt for a request that ended while the
// node waited for the owner's reply. The request ends because its client leaves or because the node stops, and the
// reply arrives or is lost.
func TestNoAttemptIfRequestEndsDuringReservation(t *testing.T) {
	for _, end := range []Event{ClientGone{"r"}, TimeUp{"r"}} {
		for _, lost := range []bool{false, true} {
			checker := newBalancerChecker(t, reservationSettings(), 1)
			checker.now = time.Hour
			checker.stepAndCheck(newServerList(13))
			requested := false
			for _, a := range checker.stepAndCheck(Request{ID: "r", Group: 7, TimeLeft: 2 * time.Second, Tenant: -1}) {
				if message, ok := a.(SendPeerMessage); ok {
					requested = true
					request, _ := decodePeerMessage(message.Data)
					checker.stepAndCheck(end)
					if lost {
						checker.runUntil(checker.now + 2*peerTimeout)
					} else {
						checker.stepAndCheck(PeerMessage{
							message.To,
							peerMessage{kind: reservationGranted, token: request.token}.encode(),
						})
					}
				}
			}
			if servers := checker.attemptedServers(); !requested || len(servers) > 0 {
				t.Errorf("%T, lost %v: got reservation requested %v, attempts on %v, want a request and no attempts",
					end, lost, requested, servers)
			}
		}
	}
}

// TestOwnerIsRemovedDuringReservation checks that a request is placed without the owner's reply if a change of settings
// removes the owner from the fleet while the request waits for the reply.
func TestOwnerIsRemovedDuringReservation(t *testing.T) {
	checker := newBalancerChecker(t, reservationSettings(), 1)
	checker.now = time.Hour
	checker.stepAndCheck(newServerList(13))
	fewer := reservationSettings()
	fewer.Nodes = 4
	var waiting RequestID
	for group := uint64(1); waiting == "" && group < 20; group++ {
		id := RequestID(fmt.Sprint("r", group))
		for _, action := range checker.stepAndCheck(Request{
			ID: id, Group: group, TimeLeft: 2 * time.Second, Tenant: -1,
		}) {
			if message, ok := action.(SendPeerMessage); ok && message.To >= fewer.Nodes {
				waiting = id
			}
		}
	}
	if waiting == "" {
		t.Fatal("requests of 19 groups: got no reservation request to a node beyond the first four, want one")
	}
	checker.stepAndCheck(SettingsChanged{fewer})
	checker.reportedLoad = constantLoad(0.3)
	checker.runUntil(checker.now + 4*peerTimeout)
	if attempts := checker.requests[waiting].attempts; attempts != 1 {
		t.Errorf("request whose owner was removed: got %d attempts, want 1", attempts)
	}
}
