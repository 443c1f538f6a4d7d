package workload

import (
	"sort"
	"time"

	"spurwinch/internal/operations/capture"
)

// Summary is what a capture tells at a glance.
type Summary struct {
	Nodes        int                     `json:"nodes"`
	Begin        time.Time               `json:"begin"`
	LengthS      float64                 `json:"length_s"`
	Share        float64                 `json:"share"`
	Requests     int                     `json:"requests"`
	Clients      int                     `json:"clients"`
	Answers      map[string]int          `json:"answers"`
	Ends         map[string]int          `json:"ends"`
	Attempts     float64                 `json:"attempts_mean"`
	Answer50ms   float64                 `json:"answer_median_ms"`
	Answer99ms   float64                 `json:"answer_99_ms"`
	Groups       int                     `json:"groups"`
	GroupMean    float64                 `json:"group_mean"`
	GroupMost    int                     `json:"group_most"`
	PeakRate     float64                 `json:"peak_requests_per_s"` // over 10 s
	PeakAtS      float64                 `json:"peak_at_s"`
	StandingMost int                     `json:"standing_most"`
	StandingAtS  float64                 `json:"standing_most_at_s"`
	Classes      []Breakdown             `json:"classes"`
	Editions     []Breakdown             `json:"editions"`
	Hosts        map[string]*ServerStats `json:"hosts"`
	Dropped      uint64                  `json:"dropped_records"`
}

// Part is the requests of one class or edition.
type Breakdown struct {
	Name      string  `json:"name"`
	Rate      float64 `json:"requests_per_s"`
	LifeMeanS float64 `json:"life_mean_s"` // of connections that ended
	Life50S   float64 `json:"life_median_s"`
	Life99S   float64 `json:"life_99_s"`
	Load      float64 `json:"told_load_mean"` // 0: not told
	Refused   float64 `json:"refused"`        // part of the requests

	lifetimes          []float64
	count, rejections  int
	loadSum, loadCount float64
}

// Summary sums a capture up. Rates are of what the files hold; where a share was captured, they are that share's.
func (c *Captured) Summary() Summary {
	s := Summary{Begin: c.Begin, LengthS: c.Length.Seconds(), Share: c.Share, Requests: len(c.Requests), Answers: map[string]int{},
		Ends: map[string]int{}, Hosts: c.Servers, Dropped: c.Dropped}
	nodes, clients, groups := map[string]bool{}, map[uint64]bool{}, map[uint64]int{}
	for _, h := range c.Headers {
		nodes[h.Node] = true
	}
	s.Nodes = len(nodes)
	parts := func(names []string) []Breakdown {
		out := make([]Breakdown, len(names))
		for i, n := range names {
			out[i].Name = n
		}
		return out
	}
	s.Classes, s.Editions = parts(c.Classes), parts(c.Tenants)
	var took []float64
	type change struct {
		at time.Duration
		by int
	}
	var changes []change
	tries := 0
	rate, first := 0, 0
	for i := range c.Requests {
		q := &c.Requests[i]
		s.Answers[q.Answer.String()]++
		if q.Client != 0 {
			clients[q.Client] = true
		}
		if q.Group != 0 {
			groups[q.Group]++
			s.GroupMost = max(s.GroupMost, groups[q.Group])
		}
		took = append(took, capture.Duration(q.Took).Seconds()*1000)
		tries += len(q.Tries)
		for c.Requests[first].At <= q.At-10*time.Second {
			first++
		}
		if n := i - first + 1; n > rate {
			rate, s.PeakAtS = n, c.Requests[first].At.Seconds()
		}
		s.Classes[q.Class].add(q)
		if q.Tenant >= 0 {
			s.Editions[q.Tenant].add(q)
		}
		if q.Answer != capture.Up {
			continue
		}
		stood := q.At + capture.Duration(q.Took)
		changes = append(changes, change{stood, 1})
		if !q.Ended {
			s.Ends["none"]++
			continue
		}
		changes = append(changes, change{stood + q.Lifetime, -1})
		s.Ends[[]string{"client", "host", "moved"}[min(int(q.Cause), 2)]]++
	}
	s.Clients, s.Groups = len(clients), len(groups)
	s.PeakRate = float64(rate) / min(10, max(1, s.LengthS))
	if len(c.Requests) > 0 {
		s.Attempts = float64(tries) / float64(len(c.Requests))
		sort.Float64s(took)
		s.Answer50ms, s.Answer99ms = quantile(took, 0.5), quantile(took, 0.99)
	}
	if len(groups) > 0 {
		sum := 0
		for _, n := range groups {
			sum += n
		}
		s.GroupMean = float64(sum) / float64(len(groups))
	}
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].at < changes[j].at })
	standing := 0
	for _, x := range changes {
		if standing += x.by; standing > s.StandingMost {
			s.StandingMost, s.StandingAtS = standing, x.at.Seconds()
		}
	}
	for _, list := range [][]Breakdown{s.Classes, s.Editions} {
		for i := range list {
			list[i].finish(s.LengthS)
		}
	}
	return s
}

func (p *Breakdown) add(q *Request) {
	p.count++
	if q.Answer == capture.Refused {
		p.rejections++
	}
	if x := q.load(); x > 0 {
		p.loadSum, p.loadCount = p.loadSum+x, p.loadCount+1
	}
	if q.Ended {
		p.lifetimes = append(p.lifetimes, q.Lifetime.Seconds())
	}
}

func (p *Breakdown) finish(length float64) {
	if length > 0 {
		p.Rate = float64(p.count) / length
	}
	if p.count > 0 {
		p.Refused = float64(p.rejections) / float64(p.count)
	}
	if p.loadCount > 0 {
		p.Load = p.loadSum / p.loadCount
	}
	if len(p.lifetimes) > 0 {
		sort.Float64s(p.lifetimes)
		for _, x := range p.lifetimes {
			p.LifeMeanS += x / float64(len(p.lifetimes))
		}
		p.Life50S, p.Life99S = quantile(p.lifetimes, 0.5), quantile(p.lifetimes, 0.99)
	}
}

// quantile of a sorted list.
func quantile(xs []float64, q float64) float64 {
	return xs[min(len(xs)-1, int(q*float64(len(xs))))]
}
