package choice

import (
	"slices"
	"strings"
	"time"
)

// The learned state of a process, which it passes to its successor in a hot restart.

// LearnedStateVersion is the version of LearnedState. A state of another version is ignored.
const LearnedStateVersion = 1

// LearnedState is what a balancer has learned about the fleet: costs, the last reports and their times, which servers
// are ejected and until when, and averages. Times are on the clock of Step. The keys of the encoded form never change
// their meaning.
type LearnedState struct {
	Version      int             `cbor:"1,keyasint"`
	Unit         float64         `cbor:"2,keyasint"` // mean load of a connection
	Hints        int             `cbor:"3,keyasint"` // number of requests with a load that Unit is based on
	LoadSum      float64         `cbor:"4,keyasint"` // decayed sum of reported loads, weighted
	WeightSum    float64         `cbor:"5,keyasint"` // decayed sum of weights
	ReportedAt   time.Duration   `cbor:"6,keyasint"` // time of the last of these reports
	Arrivals     float64         `cbor:"7,keyasint"` // mean connections, decayed
	ArrivalsAt   time.Duration   `cbor:"8,keyasint"`
	PassRate     float64         `cbor:"9,keyasint"`  // pass rate of admission control
	MeanPriority float64         `cbor:"10,keyasint"` // mean of Balancer.priority
	Kinds        []LearnedKind   `cbor:"11,keyasint,omitempty"`
	Servers      []LearnedServer `cbor:"12,keyasint,omitempty"`
	Meaning      string          `cbor:"13,keyasint,omitempty"` // Settings.meaning while the values were learned
	// Now is the time when the state was taken. It is 0 in the state of a release that assumes the same clock in the
	// process that reads it.
	Now time.Duration `cbor:"14,keyasint,omitempty"`
}

// LearnedKind is what load reports have shown about the servers of one kind of machine.
type LearnedKind struct {
	Kind           string  `cbor:"1,keyasint"`
	ReportedLoad   float64 `cbor:"2,keyasint"` // decayed
	ConnectionLoad float64 `cbor:"3,keyasint"` // the fleet's, decayed
	Reports        float64 `cbor:"4,keyasint"`
}

// LearnedServer is what the balancer has learned about one server.
type LearnedServer struct {
	ID               ServerID      `cbor:"1,keyasint"`
	Started          time.Duration `cbor:"2,keyasint,omitempty"` // the values apply to this incarnation only
	ReportedLoad     float64       `cbor:"3,keyasint"`           // decayed
	ConnectionLoad   float64       `cbor:"4,keyasint"`           // the fleet's, decayed
	Reports          float64       `cbor:"5,keyasint"`
	Known            bool          `cbor:"6,keyasint,omitempty"` // a load was observed; Report and ReportAt are valid
	Report           float64       `cbor:"7,keyasint,omitempty"` // load in the last report
	ReportAt         time.Duration `cbor:"8,keyasint,omitempty"`
	EjectedUntil     time.Duration `cbor:"9,keyasint,omitempty"`
	Ejections        int           `cbor:"10,keyasint,omitempty"` // consecutive ejections
	SlowStartCredit  float64       `cbor:"11,keyasint,omitempty"` // slow-start budget in tokens; below 0: overdrawn
	SlowStartAt      time.Duration `cbor:"12,keyasint,omitempty"`
	PIDIntegral      float64       `cbor:"13,keyasint,omitempty"`
	PIDPreviousError float64       `cbor:"14,keyasint,omitempty"`
	PIDCorrection    float64       `cbor:"15,keyasint,omitempty"`
	UnreportedLoad   float64       `cbor:"16,keyasint,omitempty"` // own load that the report doesn't show
}

// LearnedState returns what this balancer has learned.
func (b *Balancer) LearnedState() LearnedState {
	learned := LearnedState{
		Version:      LearnedStateVersion,
		Unit:         b.units.mean,
		Hints:        b.units.hints,
		LoadSum:      b.average.loadSum,
		WeightSum:    b.average.weightSum,
		ReportedAt:   b.average.at,
		Arrivals:     b.arrivals.sum,
		ArrivalsAt:   b.arrivals.at,
		PassRate:     b.admission.passRate,
		MeanPriority: b.admission.meanPriority,
		Meaning:      b.settings.meaning(),
		Now:          b.now,
	}
	for name, kind := range b.kinds {
		if kind.costs.reports > 0 {
			learned.Kinds = append(learned.Kinds,
				LearnedKind{name, kind.costs.load, kind.costs.connections, kind.costs.reports})
		}
	}
	slices.SortFunc(learned.Kinds, func(x, y LearnedKind) int { return strings.Compare(x.Kind, y.Kind) })
	for _, server := range b.servers {
		learned.Servers = append(learned.Servers, server.learned())
	}
	return learned
}

func (s *serverEntry) learned() LearnedServer {
	return LearnedServer{
		ID:               s.ID,
		Started:          s.Started,
		ReportedLoad:     s.costs.load,
		ConnectionLoad:   s.costs.connections,
		Reports:          s.costs.reports,
		Known:            s.report.known,
		Report:           s.report.load,
		ReportAt:         s.report.at,
		EjectedUntil:     s.outlier.until,
		Ejections:        s.outlier.ejections,
		SlowStartCredit:  s.slowStart.tokens,
		SlowStartAt:      s.slowStart.refilledAt,
		PIDIntegral:      s.pid.integral,
		PIDPreviousError: s.pid.previousError,
		PIDCorrection:    s.pid.correction,
		UnreportedLoad:   s.own.load - s.own.reported,
	}
}

// valid reports whether all values of a state from another process are possible. A single NaN would spread into every
// prediction, so a state with any impossible value is dropped completely.
func (l LearnedState) valid() bool {
	if l.Version != LearnedStateVersion || !(l.Unit > 0) || l.Hints < 0 || !(l.MeanPriority > 0) {
		return false
	}
	if !(l.PassRate > 0 && l.PassRate <= 1) || l.WeightSum > 0 != (l.ReportedAt > 0) {
		return false
	}
	return allPositive(l.Unit, l.LoadSum, l.WeightSum, l.Arrivals, l.MeanPriority) &&
		!slices.ContainsFunc(l.Kinds, func(kind LearnedKind) bool { return !kind.valid() }) &&
		!slices.ContainsFunc(l.Servers, func(server LearnedServer) bool { return !server.valid() })
}

func (k LearnedKind) valid() bool { return allPositive(k.ReportedLoad, k.ConnectionLoad, k.Reports) }

func (s LearnedServer) valid() bool {
	return s.Ejections >= 0 &&
		allPositive(s.ReportedLoad, s.ConnectionLoad, s.Reports, s.Report) &&
		finite(s.SlowStartCredit) && finite(s.UnreportedLoad) &&
		finite(s.PIDIntegral) && finite(s.PIDPreviousError) && finite(s.PIDCorrection)
}

// allPositive reports whether all values are finite and none is negative.
func allPositive(values ...float64) bool {
	for _, value := range values {
		if !(value >= 0) || !finite(value) {
			return false
		}
	}
	return true
}

// applyLearnedState applies the learned state of another process wherever it is newer than this process's own state or
// based on more evidence. Reports keep their age, so they decay as they would have in the other process.
func (b *Balancer) applyLearnedState(learned LearnedState) {
	if !learned.valid() || learned.Meaning != b.settings.meaning() {
		return
	}
	learned = learned.rebaseTimes(b.now)
	b.inheritAverages(learned)
	for _, from := range learned.Kinds {
		if kind := b.kinds[from.Kind]; kind != nil && kind.costs.reports < from.Reports {
			kind.costs = costStats{load: from.ReportedLoad, connections: from.ConnectionLoad, reports: from.Reports}
		}
	}
	for _, from := range learned.Servers {
		if server := b.findServer(from.ID); server != nil && server.Started == from.Started {
			b.inheritServer(server, from)
		}
	}
	b.updateCosts()
}

// inheritAverages applies what another process has learned about the fleet and the traffic.
func (b *Balancer) inheritAverages(learned LearnedState) {
	if b.units.hints < learned.Hints {
		b.units.mean = learned.Unit
		b.units.hints = learned.Hints
	}
	if b.average.at < learned.ReportedAt && learned.ReportedAt <= b.now {
		b.average = fleetAverage{
			load:      learned.LoadSum / learned.WeightSum,
			known:     true,
			loadSum:   learned.LoadSum,
			weightSum: learned.WeightSum,
			at:        learned.ReportedAt,
		}
		b.admission.passRate = learned.PassRate
	}
	if b.arrivals.sum == 0 && learned.ArrivalsAt <= b.now {
		b.arrivals.sum = learned.Arrivals
		b.arrivals.at = learned.ArrivalsAt
		b.admission.meanPriority = learned.MeanPriority
	}
}

// inheritServer applies what another process has learned about one server.
func (b *Balancer) inheritServer(server *serverEntry, from LearnedServer) {
	if server.costs.reports < from.Reports {
		server.costs = costStats{load: from.ReportedLoad, connections: from.ConnectionLoad, reports: from.Reports}
		server.pid = pidState{
			integral:      clamp(from.PIDIntegral, -integralLimit, integralLimit),
			previousError: from.PIDPreviousError,
			correction:    clamp(from.PIDCorrection, -1, 1),
		}
	}
	if from.Known && from.ReportAt <= b.now && (!server.report.known || server.report.at < from.ReportAt) {
		b.setReport(server, from.Report)
		server.report.at = from.ReportAt
		server.own.reported = server.own.load - from.UnreportedLoad
	}
	server.outlier.inherit(from.EjectedUntil, from.Ejections, b.now)
	// Slow-start tokens that the other process spent must not be spent again.
	if from.SlowStartAt <= b.now && from.SlowStartCredit < server.slowStart.tokens {
		refilledAt := max(server.slowStart.refilledAt, from.SlowStartAt)
		server.slowStart = tokenBucket{tokens: from.SlowStartCredit, refilledAt: refilledAt}
	}
}

// rebaseTimes returns the state with its times converted to the clock of this process. now is the time on that clock.
func (l LearnedState) rebaseTimes(now time.Duration) LearnedState {
	if l.Now == 0 {
		return l
	}
	shift := now - l.Now
	shifted := func(at time.Duration) time.Duration {
		if at == 0 {
			return 0
		}
		return at + shift
	}
	l.ReportedAt = shifted(l.ReportedAt)
	l.ArrivalsAt = shifted(l.ArrivalsAt)
	l.Now = now
	l.Servers = slices.Clone(l.Servers)
	for i := range l.Servers {
		server := &l.Servers[i]
		server.ReportAt = shifted(server.ReportAt)
		server.EjectedUntil = shifted(server.EjectedUntil)
		server.SlowStartAt = shifted(server.SlowStartAt)
	}
	return l
}

// countAsReported adds the load of a connection that was taken over to the load that the server's last report shows.
func (b *Balancer) countAsReported(server *serverEntry, load float64) {
	server.own.lagged += load
	if server.report.known {
		server.own.reported += load
	}
	b.costsStale = true
}

// transferred removes a connection that was transferred to another process of this node. The connection is still on the
// server, so its load is also subtracted from the reported own load, and the server's predicted load does not change.
func (b *Balancer) transferred(id RequestID) {
	request := b.requests[id]
	if request == nil {
		return
	}
	server, load := request.server, request.load
	b.forget(request)
	if server != nil {
		server.own.lagged -= load
		server.own.reported -= load
	}
}
