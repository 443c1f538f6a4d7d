package choice

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// What a node keeps in mind. No decisions here.

type server struct {
	Server
	hash            uint64
	kind            *costs
	told, toldAt    float64 // own told load now, and as the last report shows it
	slow            float64 // told, following it by reportLag
	slowAt          time.Duration
	report          float64 // last load read off a report, a delay note, or a silence
	reportAt        time.Duration
	known           bool
	num, den, n     float64 // learned: reported load over fleet's told load, and reports; decayed
	cost, base      float64
	errSum, prevErr float64
	trim            float64       // the slow part of the PID, set each tick
	messageTime     time.Duration // the last that a message was told to take here
	overloadedAt    time.Duration // when it was last seen overloaded; where nothing reports
	strikes         int
	badUntil        time.Duration
	credit          float64 // what this node may still send while cold, in mean connections
	creditAt        time.Duration
	probing         bool
	mover           *request // may leave once the probe confirms that the server is overloaded
	// As its keeper.
	lent      float64 // load that nodes were let send and that reports don't show yet
	questions []question
	groups    map[uint16]time.Duration // groups that stand there, when last heard of
	// Of its keeper.
	denied time.Duration // not asked for again until then
}

// costs is what reports said of a kind of machine.
type costs struct {
	num, den, n   float64 // reported load, the fleet's told load, reports; decayed
	told, servers float64 // this node's load on ready servers of the kind, and their count
}

type request struct {
	Request
	load     float64
	bind     uint64 // what draws by hash in place of chance: its group, or its key where packets pass
	deadline time.Duration
	on       *server // where the attempt in hand is, or the connection stands
	open     bool    // the connection stands
	class    *Class  // as it was when the request came, like most
	most     int     // attempts
	attempts int
	sentAt   time.Duration
	tried    []*server
	may      *server       // first attempt that may have run
	mayBy    time.Duration // a repeat of it is written by then
	rounds   int           // samples taken for the placement in hand
	waiting  int           // probes a placement waits for
	picks    []*server     // the sampled table of the placement in hand
	zone     string        // where the plan of zones has it go; empty: anywhere
	shut     []string      // zones in which it found nothing
	wide     bool          // its group is on several servers: among the picks load decides
}

// Balancer decides for one node.
type Balancer struct {
	set          Settings
	rng          *rand.Rand
	now          time.Duration
	out          []Action
	servers      []*server         // by id
	kinds        map[string]*costs // by kind of machine
	kindList     []*costs          // the same, in the order first seen
	reqs         map[RequestID]*request
	waits        []*request // requests that hold for probes, oldest first
	bases        float64    // sum of the bases of ready servers
	avg          float64    // capacity-weighted mean of predicted load
	sumLoad      float64    // of the reports, and of their bases, decayed over rateMemory
	sumBase      float64
	sumAt        time.Duration
	anyKnown     bool
	meanWorth    float64 // of requests, for their load
	held         []int   // open connections of this node by tenant
	gate         float64 // part of all requests let through
	unit         float64 // mean told load of a connection; 1 where none is told
	hints        int
	coldBudgets  float64 // what all cold servers bear of this node, in mean connections a second
	coldLeave    float64 // leave to send to any cold server
	coldLeaveAt  time.Duration
	toldLoad     meanLoad   // of all connections that told their load
	classLoads   []meanLoad // the same by class
	typicalSetUp time.Duration
	slowMessages bool // slow messages were told: where they never are, silence says nothing
	throttle     throttle
	rate         float64 // decayed sum of arrived load, over rateMemory
	rateAt       time.Duration
	recent       float64 // rate, faded to now
	asks         int     // failed asks for the list in a row
	started      bool
	groups       map[uint64]float64 // own told load by group
	tellsHeld    bool               // reports tell the connections held
	minAim       time.Duration      // shortest wanted message time
	keeps        bool               // servers have keepers
	asked        map[uint16]asked   // questions out, by token
	silent       []time.Duration    // by node: until when it is taken to be gone
	lastToken    int64
	clocks       map[int]clockOffset // by node, of those whose clocks differ
	seen         []seenKey
	seenAt       int
	dropped      int
	first        float64               // load of a mean connection before anything is learned
	all          int                   // nodes that share the fleet; settings have those that share the hosts of a plan\'s zone
	plan         *ZonePlan             // nil: there is none, and any zone will do
	inClass      map[zoneClass]float64 // own told load by zone and class
	zoneNews     map[string]*zoneCount
	classNews    []classCount
	refused      []int // classes of the requests given up in this step
	joined       bool  // connections of another process came: costs are to be set anew
}

// New makes the balancer of one node. It acts first on its first Step.
func New(s Settings, seed uint64, now time.Duration) (*Balancer, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	b := &Balancer{rng: rand.New(rand.NewPCG(seed, 1)), now: now, rateAt: now, unit: 1, gate: 1,
		reqs: map[RequestID]*request{}, groups: map[uint64]float64{}, kinds: map[string]*costs{},
		inClass: map[zoneClass]float64{}, zoneNews: map[string]*zoneCount{}}
	b.asked, b.clocks, b.meanWorth = map[uint16]asked{}, map[int]clockOffset{}, s.Classes[0].Priority
	b.coldLeave, b.coldLeaveAt = chanceOf(seed), now // nodes that start together get theirs at other times
	b.adapt(s)
	return b, nil
}

// Check says what is wrong with settings, for New and for NewSettings.
func (s Settings) Check() error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("choice: settings have no request class")
	case s.Limits.MaxAttempts < 0 || s.Nodes < 0 || s.Processes < 0:
		return errors.New("choice: settings have a negative count")
	}
	for i, c := range s.Classes {
		if c.Idempotency > NotIdempotent || c.IdempotencyScope > ScopeCell {
			return fmt.Errorf("choice: class %d: unknown repeat kind or scope", i)
		}
	}
	return nil
}

// adapt takes in settings that were checked. Requests under way keep the class that they came with, and what was learned
// stays; tables only grow.
func (b *Balancer) adapt(s Settings) {
	b.minAim = 0
	for _, c := range s.Classes {
		if a := c.MessageObjective; !c.Removed && a > 0 && (b.minAim == 0 || a < b.minAim) {
			b.minAim = a
		}
	}
	if s.Reports == NoReports { // there is nothing to ask hosts for on the module's own account
		s.DelaysObserved = true
	}
	if b.first = firstCost; s.InitialCost > 0 && finite(s.InitialCost) {
		b.first = s.InitialCost
	}
	s.Nodes, s.Limits.MaxAttempts = max(1, s.Nodes), max(1, s.Limits.MaxAttempts)
	for len(b.silent) < s.Nodes {
		b.silent = append(b.silent, 0)
	}
	b.silent = b.silent[:s.Nodes]
	for len(b.held) < len(s.Tenants) {
		b.held = append(b.held, 0)
	}
	for b.plan != nil && len(b.plan.AdmitFraction) < len(s.Classes) {
		b.plan.AdmitFraction = append(b.plan.AdmitFraction, 1)
	}
	b.all = s.Nodes * max(1, s.Processes)
	if b.plan != nil && b.plan.Nodes > 0 {
		s.Nodes = b.plan.Nodes
	}
	s.Nodes *= max(1, s.Processes) // the processes of a node share its part as nodes share the fleet
	other := len(b.set.Classes) > 0 && b.set.meaning() != s.meaning()
	if b.set = s; other {
		b.unlearn()
		b.price()
	}
}

func (b *Balancer) find(id ServerID) *server {
	if i, ok := slices.BinarySearchFunc(b.servers, id, compareID); ok {
		return b.servers[i]
	}
	return nil
}

// adopt takes in a connection that stands already.
func (b *Balancer) adopt(e OpenConnection) {
	s, class := b.find(e.Server), e.OriginalClass
	if class == nil && e.Class >= 0 && e.Class < len(b.set.Classes) {
		class = &b.set.Classes[e.Class]
	}
	if s == nil || b.reqs[e.ID] != nil || class == nil {
		return
	}
	r := &request{Request: e.Request, load: b.loadOf(e.Request), bind: b.bindOf(e.Request), on: s, open: true, attempts: 1,
		class: class, most: b.set.Limits.MaxAttempts}
	if e.CurrentLoad > 0 && finite(e.CurrentLoad) {
		b.learnTold(e.Class, e.CurrentLoad)
		r.load = e.CurrentLoad
	}
	b.reqs[e.ID] = r
	b.bind(r, s)
	if e.OriginalClass != nil {
		b.stood(s, r.load)
	}
	if b.keeps && r.bind != 0 {
		b.question(itStands, s, r, r.load)
	}
}

// bindOf is what a request draws by in place of chance.
func (b *Balancer) bindOf(q Request) uint64 {
	switch {
	case b.set.GroupAffinity:
		return q.Group
	case b.set.PacketPassThrough: // packets that come to another node are sent where that node's draw went
		return q.Key
	}
	return 0
}

func (b *Balancer) release(r *request) {
	if r.on != nil {
		if r.Tenant >= 0 && r.Tenant < len(b.held) {
			b.held[r.Tenant]--
		}
		b.bear(r.on, -r.load)
		b.group(r, -r.load)
		b.zoned(r, -r.load)
	}
	r.on, r.open = nil, false
}

func (b *Balancer) forget(r *request) {
	if r == nil {
		return
	}
	b.release(r)
	r.waiting = 0
	b.waits = slices.DeleteFunc(b.waits, func(o *request) bool { return o == r })
	delete(b.reqs, r.ID)
}

func (b *Balancer) loadOf(q Request) float64 {
	if !(q.Load > 0) || !finite(q.Load) {
		return b.guessLoad(q.Class)
	}
	if b.hints++; b.hints == 1 {
		b.unit = q.Load
		b.price()
	}
	b.unit += (q.Load - b.unit) / 50
	return q.Load
}

func (b *Balancer) probe(s *server) {
	if !s.probing && b.set.Limits.HealthChecks {
		s.probing = true
		b.out = append(b.out, HealthCheck{s.ID})
	}
}

// readReport finds the values that the module uses in a report; load is not a number where there is none.
func readReport(fields []ReportField, report []float64) (load, held, piled float64, late time.Duration) {
	load, held = math.NaN(), math.NaN()
	if len(report) != len(fields) {
		return load, held, 0, 0
	}
	for i, f := range fields {
		switch v := report[i]; {
		case !finite(v) || v < 0:
		case f == Load, f == Utilization && math.IsNaN(load):
			load = v
		case f == InFlight:
			held = v
		case f == Backlog:
			piled = v
		case f == Latency:
			late = time.Duration(min(v, 1e6) * float64(time.Millisecond))
		}
	}
	return load, held, piled, late
}

// bear adds to what a server bears of this node.
func (b *Balancer) bear(s *server, load float64) {
	s.slow, s.slowAt = s.told+fade(s.slow-s.told, b.now-s.slowAt, reportLag), b.now
	s.told = max(0, s.told+load)
}

// anchor takes a load seen now as the server's; it shows this node's connections as they were a little ago.
func (b *Balancer) anchor(s *server, load float64) {
	b.bear(s, 0)
	s.report, s.reportAt, s.toldAt, s.known = load, b.now, s.slow, true
}

// merge takes in news of the list. A server that a whole list does not name is gone; a restarted process knows
// nothing of the old one.
func (b *Balancer) merge(e ServerList) {
	if e.Kind != ListChange {
		for _, s := range b.servers {
			s.State = Gone
		}
	}
	for _, n := range e.Servers {
		i, ok := slices.BinarySearchFunc(b.servers, n.ID, compareID)
		if !ok {
			b.servers = slices.Insert(b.servers, i, &server{hash: mix(hashOf(string(n.ID)))})
		}
		s := b.servers[i]
		if !ok || s.Started != n.Started { // a restarted process is cold and knows nothing of the old one
			*s = server{hash: s.hash, told: s.told, credit: b.rng.Float64(), creditAt: b.now,
				questions: s.questions, probing: s.probing}
		}
		s.Server = n
		if !(n.Size > 0) || !finite(n.Size) {
			s.Size = 1
		}
		if s.kind = b.kinds[n.Kind]; s.kind == nil {
			s.kind = &costs{}
			b.kinds[n.Kind] = s.kind
			b.kindList = append(b.kindList, s.kind)
		}
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool { return s.State == Gone && s.told < 1e-9 })
}

// reload takes in the present load of an open connection.
func (b *Balancer) reload(e LoadUpdate) {
	if r := b.reqs[e.ID]; r != nil && r.on != nil && e.Load >= 0 && finite(e.Load) {
		b.learnTold(r.Class, e.Load)
		b.bear(r.on, e.Load-r.load)
		b.group(r, e.Load-r.load)
		b.zoned(r, e.Load-r.load)
		r.load = e.Load
	}
}

// openOn is the open connections on a server, by id: the order of a map must not sway a choice.
func (b *Balancer) openOn(s *server) (all []*request) {
	for _, r := range b.reqs {
		if r.on == s && r.open {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(x, y *request) int { return strings.Compare(string(x.ID), string(y.ID)) })
	return all
}

// ejected counts the servers that are out after failures, of those that are ready.
func (b *Balancer) ejected() (bad, ready int) {
	for _, s := range b.servers {
		if s.State == Ready {
			if ready++; b.now < s.badUntil {
				bad++
			}
		}
	}
	return bad, ready
}

// Excluded counts the listed servers that get nothing new now: those that drain, and those out after failures.
func (b *Balancer) Excluded(now time.Duration) int {
	n := 0
	for _, s := range b.servers {
		if s.State == Draining || s.State == Ready && now < s.badUntil {
			n++
		}
	}
	return n
}

// least is the least predicted load of the servers that may be used, or one so low that the rest makes no difference to
// relieve: on a large fleet the whole search, at each report, would be most of a node's time.
func (b *Balancer) least() float64 {
	low := math.Inf(1)
	for _, s := range b.servers {
		if s.State == Ready && b.now >= s.badUntil {
			if low = min(low, b.predict(s)); low <= crowded-2*spill {
				break
			}
		}
	}
	return low
}

// stands remembers that a group stands on a server that this node keeps.
func (s *server) stands(group uint16, now time.Duration) {
	if s.groups == nil || len(s.groups) >= mostGroups {
		s.groups = map[uint16]time.Duration{}
	}
	s.groups[group] = now
}

// bind puts a request's load on a server.
func (b *Balancer) bind(r *request, s *server) {
	r.on = s
	if r.Tenant >= 0 && r.Tenant < len(b.held) {
		b.held[r.Tenant]++
	}
	b.bear(s, r.load)
	b.group(r, r.load)
	b.zoned(r, r.load)
}

// group adds to what a request's group bears on this node.
func (b *Balancer) group(r *request, load float64) {
	if b.set.GroupAffinity && r.Group != 0 {
		if b.groups[r.Group] += load; b.groups[r.Group] < 1e-9 {
			delete(b.groups, r.Group)
		}
	}
}

// meanCost is the load that a unit of told load puts on the mean server.
func (b *Balancer) meanCost() float64 {
	sum, n := 0.0, 0.0
	for _, s := range b.servers {
		if s.State == Ready {
			sum, n = sum+s.cost, n+1
		}
	}
	return sum / max(n, 1)
}

// registered is a server's size as all nodes know it; 1 where the list's size is none or moves with the load.
func (b *Balancer) registered(s *server) float64 {
	if b.set.Sizes == NominalSize {
		return s.Size
	}
	return 1
}

// knows reports whether a keeper can tell without asking its server.
func (b *Balancer) knows(s *server) bool {
	return s.known && b.now-s.reportAt < freshFor || b.now < s.badUntil
}

// granted says whether the plan in force lets a request go to a server: another one may have come while it waited.
func (b *Balancer) granted(r *request, s *server) bool {
	return b.plan == nil || slices.ContainsFunc(b.plan.Grants, func(g Grant) bool {
		return g.Zone == s.Zone && !slices.Contains(g.ExcludedClasses, r.Class)
	})
}

// accrue adds leave that came since then, and lets it lapse.
func (b *Balancer) accrue(leave float64, since time.Duration, rate float64) float64 {
	leave += rate * (b.now - since).Seconds()
	if leave > 1+2*rate*b.set.Rules.OverloadTime.Seconds() {
		return math.Mod(leave, 1)
	}
	return leave
}

// mostRounds is how many samples a placement may take.
func (b *Balancer) mostRounds() int {
	if b.set.Reports == NoReports {
		return blindRounds
	}
	return maxRounds
}
