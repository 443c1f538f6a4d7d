package choice_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"spurwinch/choice"
)

// simulationStart is the time at which a simulation starts. It is not 0, because a start time of 0 means that a server
// started long ago.
const simulationStart = time.Hour

// simulation runs real balancers with simulated servers, clients, service discovery and links, in simulated time. All
// randomness comes from one seed. It uses only the exported interface of the balancer, and passes each action to a
// checker before it performs the action.
type simulation struct {
	t         testing.TB
	name      string
	rng       *rand.Rand
	now       time.Duration
	queue     taskQueue
	scheduled int
	settings  choice.Settings
	env       environment
	nodes     []*simNode
	servers   []*simServer
	byID      map[choice.ServerID]*simServer
	requests  map[choice.RequestID]*simRequest
	checker   checker
	counts    map[string]int
	recorder  *recorder // records all actions; nil: none
}

// environment describes the simulated servers, clients and links.
type environment struct {
	serverCapacity    float64       // mean connections that fill a server of capacity 1 that has warmed up
	connectionTime    time.Duration // mean lifetime of a connection
	maxListDelay      time.Duration // maximum delay of a list update on its way to a node
	watchFailureRate  float64       // fraction of the WatchList actions that fail
	messageLossRate   float64       // fraction of the messages between nodes that get lost
	maxClientRequests int           // maximum number of requests of one client
	abandonRate       float64       // fraction of the clients that give up early
	requestLoadKnown  bool          // requests contain their load
	failedSetupRate   float64       // fraction of the setups that fail, break or are served without a connection
	shedThreshold     float64       // load above which a server sheds connections
	rejectThreshold   float64       // load above which a server rejects connections
	stickyFraction    float64       // fraction of the requests that resume a session on some server
	trafficSkew       int           // factor by which a fifth of the nodes gets more traffic than the others
}

// checker receives each event before it is applied and each action before it is performed. The first violation of a
// rule ends the test.
type checker interface {
	onEvent(node *simNode, event choice.Event)
	onAction(node *simNode, action choice.Action)
	onStep(node *simNode, events []choice.Event, actions []choice.Action)
}

// task is a function that the simulation runs at a scheduled time.
type task struct {
	at    time.Duration
	order int // tasks of the same time run in the order in which they were scheduled
	run   func()
}

// taskQueue is a heap of tasks, ordered by time.
type taskQueue []task

func (q taskQueue) Len() int { return len(q) }
func (q taskQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *taskQueue) Push(x any) {
	*q = append(*q, x.(task)) //nolint:forcetypeassert // the queue holds only tasks
}

func (q *taskQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simNode is a node, which consists of a balancer and its pending events.
type simNode struct {
	index         int
	balancer      *choice.Balancer
	inbox         []choice.Event
	stepScheduled bool // a step is scheduled
	watching      bool // the node receives changes of the server list
	listArrivesAt time.Duration
	knownServers  map[choice.ServerID]choice.Server // the server list that the node last received
}

// simServer is a server. Its capacity grows linearly during its warm-up.
type simServer struct {
	choice.Server
	capacity            float64 // after warm-up, in units of environment.serverCapacity; nodes may assume another value
	running             bool
	failingUntil        time.Duration
	connections         []*simAttempt   // open connections, oldest first
	slowStarts          []time.Duration // times of the starts with slow start
	arrivals            []arrival
	reportedLoad        float64 // load that the reports show, from the last refresh
	reportedConnections int
}

// arrival is an attempt that reached a server.
type arrival struct {
	at         time.Duration
	startKnown bool // the node knew of the server's last start
}

// simClient is a client. It may send several requests, one after the other.
type simClient struct {
	class        int
	tenant       int
	key          uint64
	group        uint64
	load         float64
	requestCount int
}

// simRequest is one request of a client, as the simulation and the request's node know it.
type simRequest struct {
	choice.Request
	node       *simNode
	client     *simClient
	class      choice.Class
	deadline   time.Duration
	attempts   []*simAttempt
	open       bool // the node was notified of an open connection
	answered   bool // the node gave a final answer
	ended      bool // the node was notified that the request has ended
	clientGone bool // the node was notified that the client no longer waits
}

// simAttempt is one attempt of a request, and the connection that results from it.
type simAttempt struct {
	request         *simRequest
	index           int
	server          *simServer
	sentAt          time.Duration
	established     bool
	completed       bool // the attempt has an outcome; the node may not have been notified yet
	outcomeReported bool // the node was notified of the outcome
	outcome         choice.Outcome
}

func newSimulation(tb testing.TB, name string, settings choice.Settings, env environment, servers []choice.Server,
	seed uint64, checker checker,
) *simulation {
	tb.Helper()
	sim := &simulation{
		t: tb, name: name, rng: rand.New(rand.NewPCG(seed, 11)), now: simulationStart, settings: settings,
		env: env, byID: map[choice.ServerID]*simServer{}, requests: map[choice.RequestID]*simRequest{},
		checker: checker, counts: map[string]int{},
	}
	for _, entry := range servers {
		server := &simServer{Server: entry, capacity: max(entry.Size, 0.1), running: entry.State == choice.Ready}
		sim.servers, sim.byID[server.ID] = append(sim.servers, server), server
		sim.after(sim.randomUpTo(250*time.Millisecond), func() { sim.refreshReport(server) })
	}
	for index := range settings.Nodes {
		settings.Node = index
		balancer, err := choice.New(settings, seed*1000+uint64(index), sim.now)
		if err != nil {
			tb.Fatalf("%s: New: got error %v, want none", name, err)
		}
		node := &simNode{
			index: index, balancer: balancer, knownServers: map[choice.ServerID]choice.Server{},
			watching: !settings.Subscribe,
		}
		sim.nodes = append(sim.nodes, node)
		if !settings.Subscribe {
			sim.deliver(node, choice.ServerList{Kind: choice.ListFull, Servers: sim.serverList()})
		} else {
			sim.deliver(node, choice.ServerList{Kind: choice.ListCached, Servers: sim.serverList()})
		}
	}
	return sim
}

// after schedules a task after a delay.
func (s *simulation) after(delay time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.queue, task{s.now + max(delay, 0), s.scheduled, run})
}

// run runs the scheduled tasks until the given time.
func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		next := heap.Pop(&s.queue).(task) //nolint:forcetypeassert // the queue holds only tasks
		s.now = next.at
		next.run()
	}
	s.now = until
}

// randomUpTo returns a random duration between 0 and d.
func (s *simulation) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(d))
}

// jitter returns a random duration between 0.5 d and 1.5 d, with mean d.
func (s *simulation) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + s.rng.Float64()) * float64(d))
}

// chance returns true with the given probability.
func (s *simulation) chance(probability float64) bool { return s.rng.Float64() < probability }

// count counts an incident. Tests check by these counts that a run exercised what it is meant to test.
func (s *simulation) count(incident string) { s.counts[incident]++ }

// deliver appends an event to a node's inbox and schedules the node's next step, at most one per round trip.
func (s *simulation) deliver(node *simNode, event choice.Event) {
	node.inbox = append(node.inbox, event)
	if !node.stepScheduled {
		node.stepScheduled = true
		s.after(s.settings.RoundTrip, func() { s.runStep(node) })
	}
}

// runStep passes a node's pending events to its balancer and performs the actions that Step returns.
func (s *simulation) runStep(node *simNode) {
	events := node.inbox
	node.inbox, node.stepScheduled = nil, false
	for _, event := range events {
		s.checker.onEvent(node, event)
		s.trackEvent(node, event)
	}
	actions := node.balancer.Step(s.now, events)
	s.recorder.recordStep(s.now, node.index, actions)
	for _, action := range actions {
		s.checker.onAction(node, action)
		s.perform(node, action)
	}
	s.checker.onStep(node, events, actions)
}

// trackEvent updates the simulation's record of what a node knows.
func (s *simulation) trackEvent(node *simNode, delivered choice.Event) {
	switch event := delivered.(type) {
	case choice.ServerList:
		if event.Kind == choice.ListFull || event.Kind == choice.ListCached {
			clear(node.knownServers)
		}
		for _, server := range event.Servers {
			node.knownServers[server.ID] = server
		}
	case choice.Established:
		s.requests[event.ID].open = true
	case choice.AttemptEnded:
		if request := s.requests[event.ID]; request != nil {
			request.attempts[event.Attempt].outcomeReported, request.attempts[event.Attempt].outcome = true,
				event.Outcome
			request.ended = request.ended || event.Final
		}
	case choice.ClientGone:
		s.requests[event.ID].clientGone = true
	}
}

func (s *simulation) perform(node *simNode, returned choice.Action) {
	switch action := returned.(type) {
	case choice.SetTimer:
		s.after(action.After, func() { s.deliver(node, choice.TimerFired{Token: action.Token}) })
	case choice.StartAttempt:
		s.startAttempt(s.requests[action.ID], s.byID[action.Server], action.Timeout)
	case choice.Reject:
		s.count("rejections")
		s.receiveAnswer(s.requests[action.ID], true, action.RetryAfter)
	case choice.Fail:
		s.count("failures")
		request := s.requests[action.ID]
		s.receiveAnswer(request, request.class.Idempotency == choice.Idempotent, 0)
	case choice.CancelAttempt:
		s.count("cancellations")
		if attempt := s.requests[action.ID].attempts[action.Attempt]; !attempt.established {
			s.complete(attempt, choice.Cancelled, s.settings.RoundTrip)
		}
	case choice.HealthCheck:
		s.checkHealth(node, s.byID[action.Server])
	case choice.Migrate:
		s.count("migrations")
		request := s.requests[action.ID]
		attempt := request.attempts[len(request.attempts)-1]
		s.after(s.randomUpTo(100*time.Millisecond), func() { s.closeConnection(attempt, choice.Cancelled, true) })
	case choice.WatchList:
		s.watchList(node)
	case choice.SendPeerMessage:
		s.sendMessage(node, action)
	}
}

// sendMessage delivers a message between nodes. Some messages get lost, and some arrive twice.
func (s *simulation) sendMessage(node *simNode, action choice.SendPeerMessage) {
	if s.chance(s.env.messageLossRate) {
		s.count("lost peer messages")
		return
	}
	s.count("peer messages")
	copies := 1
	if s.chance(s.env.messageLossRate / 3) {
		copies = 2
	}
	for range copies {
		s.after(5*time.Millisecond+s.randomUpTo(20*time.Millisecond), func() {
			s.deliver(s.nodes[action.To], choice.PeerMessage{From: node.index, Data: action.Data})
		})
	}
}

// serverList returns the complete list of service discovery, which does not contain servers that are gone.
func (s *simulation) serverList() (all []choice.Server) {
	for _, server := range s.servers {
		if server.State != choice.Gone {
			all = append(all, server.Server)
		}
	}
	return all
}

// publish sends a server's entry to the nodes that watch the list. The delay differs by node, and each node receives
// the updates in order.
func (s *simulation) publish(server *simServer) {
	for _, node := range s.nodes {
		if node.watching {
			s.sendList(node, choice.ServerList{Kind: choice.ListChange, Servers: []choice.Server{server.Server}})
		}
	}
}

func (s *simulation) sendList(node *simNode, list choice.ServerList) {
	node.listArrivesAt = max(node.listArrivesAt, s.now+s.randomUpTo(s.env.maxListDelay))
	s.after(node.listArrivesAt-s.now, func() { s.deliver(node, list) })
}

func (s *simulation) watchList(node *simNode) {
	if s.chance(s.env.watchFailureRate) {
		s.count("failed list requests")
		s.sendList(node, choice.ServerList{Kind: choice.ListUnavailable})
		return
	}
	node.watching = true
	s.sendList(node, choice.ServerList{Kind: choice.ListFull, Servers: s.serverList()})
}

// breakSubscription ends a node's subscription. The node does not receive later changes.
func (s *simulation) breakSubscription(node *simNode) {
	s.count("broken subscriptions")
	node.watching = false
	s.sendList(node, choice.ServerList{Kind: choice.ListUnavailable})
}

// scheduleArrivals schedules random client arrivals at a constant mean rate for a period.
func (s *simulation) scheduleArrivals(period time.Duration, perSecond float64, newClient func() *simClient) {
	for at := time.Duration(0); ; {
		at += time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= period {
			return
		}
		s.after(at, func() { s.sendRequest(newClient(), false) })
	}
}
