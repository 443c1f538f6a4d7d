package workload

import (
	"slices"
	"sort"
	"time"

	"spurwinch/internal/operations/capture"
)

// peakRateWindow is the length of the window over which the peak request rate is measured.
const peakRateWindow = 10 * time.Second

// Summary contains the figures of a capture.
type Summary struct {
	Nodes              int                     `json:"nodes"`
	Begin              time.Time               `json:"begin"`
	LengthS            float64                 `json:"length_s"`
	Share              float64                 `json:"share"`
	Requests           int                     `json:"requests"`
	Clients            int                     `json:"clients"`
	Answers            map[string]int          `json:"answers"`
	Ends               map[string]int          `json:"ends"`
	AttemptsMean       float64                 `json:"attempts_mean"`
	AnswerMedianMS     float64                 `json:"answer_median_ms"`
	Answer99MS         float64                 `json:"answer_99_ms"`
	Groups             int                     `json:"groups"`
	GroupMean          float64                 `json:"group_mean"`
	LargestGroup       int                     `json:"group_most"`
	PeakRate           float64                 `json:"peak_requests_per_s"` // over a window of 10 s
	PeakAtS            float64                 `json:"peak_at_s"`
	PeakConcurrency    int                     `json:"standing_most"` // highest number of concurrent connections
	PeakConcurrencyAtS float64                 `json:"standing_most_at_s"`
	Classes            []Breakdown             `json:"classes"`
	Tenants            []Breakdown             `json:"editions"`
	Servers            map[string]*ServerStats `json:"hosts"`
	Dropped            uint64                  `json:"dropped_records"`
}

// Breakdown holds the figures of the requests of one class or tenant.
type Breakdown struct {
	Name             string  `json:"name"`
	Rate             float64 `json:"requests_per_s"`
	LifetimeMeanS    float64 `json:"life_mean_s"` // of ended connections
	LifetimeMedianS  float64 `json:"life_median_s"`
	Lifetime99S      float64 `json:"life_99_s"`
	Load             float64 `json:"told_load_mean"` // of the requests whose load is known; 0: none
	RejectedFraction float64 `json:"refused"`        // fraction of the requests that were rejected

	lifetimes  []float64
	count      int
	rejections int
	loadSum    float64
	loadCount  float64
}

// Summary returns the figures of a capture. Rates are rates of the records and are not scaled up if the files contain
// only a share of the load.
func (c *Captured) Summary() Summary {
	summary := Summary{
		Nodes:    c.nodeCount(),
		Begin:    c.Begin,
		LengthS:  c.Length.Seconds(),
		Share:    c.Share,
		Requests: len(c.Requests),
		Answers:  map[string]int{},
		Ends:     c.endCounts(),
		Classes:  c.breakdowns(c.Classes, func(r *Request) int { return r.Class }),
		Tenants:  c.breakdowns(c.Tenants, func(r *Request) int { return r.Tenant }),
		Servers:  c.Servers,
		Dropped:  c.Dropped,
	}
	for i := range c.Requests {
		summary.Answers[c.Requests[i].Answer.String()]++
	}
	summary.addClients(c)
	summary.addAnswerTimes(c)
	summary.addPeakRate(c)
	summary.addPeakConcurrency(c)
	return summary
}

func (c *Captured) nodeCount() int {
	nodes := map[string]bool{}
	for _, header := range c.Headers {
		nodes[header.Node] = true
	}
	return len(nodes)
}

// endCounts counts the connections by the cause of their end. Connections without an end count as "none".
func (c *Captured) endCounts() map[string]int {
	counts := map[string]int{}
	for i := range c.Requests {
		request := &c.Requests[i]
		switch {
		case request.Answer != capture.Open:
		case !request.Ended:
			counts["none"]++
		default:
			counts[endName(request.Cause)]++
		}
	}
	return counts
}

// endName returns the name that replies use for a cause.
func endName(cause capture.Cause) string {
	return []string{"client", "host", "moved"}[min(int(cause), 2)]
}

// addClients adds the numbers of clients and groups and the sizes of the groups.
func (s *Summary) addClients(captured *Captured) {
	clients := map[uint64]bool{}
	groups := map[uint64]int{}
	grouped := 0
	for i := range captured.Requests {
		request := &captured.Requests[i]
		if request.Client != 0 {
			clients[request.Client] = true
		}
		if request.Group != 0 {
			grouped++
			groups[request.Group]++
			s.LargestGroup = max(s.LargestGroup, groups[request.Group])
		}
	}
	s.Clients = len(clients)
	s.Groups = len(groups)
	if len(groups) > 0 {
		s.GroupMean = float64(grouped) / float64(len(groups))
	}
}

func (s *Summary) addAnswerTimes(captured *Captured) {
	if len(captured.Requests) == 0 {
		return
	}
	attempts := 0
	var times []float64 // in milliseconds
	for i := range captured.Requests {
		request := &captured.Requests[i]
		times = append(times, capture.Duration(request.Took).Seconds()*1000)
		attempts += len(request.Attempts)
	}
	s.AttemptsMean = float64(attempts) / float64(len(captured.Requests))
	slices.Sort(times)
	s.AnswerMedianMS = quantile(times, 0.5)
	s.Answer99MS = quantile(times, 0.99)
}

func (s *Summary) addPeakRate(captured *Captured) {
	highest := 0
	first := 0 // index of the first request in the window that ends with the current request
	for i := range captured.Requests {
		for captured.Requests[first].At <= captured.Requests[i].At-peakRateWindow {
			first++
		}
		if count := i - first + 1; count > highest {
			highest = count
			s.PeakAtS = captured.Requests[first].At.Seconds()
		}
	}
	s.PeakRate = float64(highest) / min(peakRateWindow.Seconds(), max(1, s.LengthS))
}

func (s *Summary) addPeakConcurrency(captured *Captured) {
	type change struct {
		at time.Duration
		by int
	}
	var changes []change
	for i := range captured.Requests {
		request := &captured.Requests[i]
		if request.Answer != capture.Open {
			continue
		}
		established := request.At + capture.Duration(request.Took)
		changes = append(changes, change{established, 1})
		if request.Ended {
			changes = append(changes, change{established + request.Lifetime, -1})
		}
	}
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].at < changes[j].at })
	concurrent := 0
	for _, change := range changes {
		concurrent += change.by
		if concurrent > s.PeakConcurrency {
			s.PeakConcurrency = concurrent
			s.PeakConcurrencyAtS = change.at.Seconds()
		}
	}
}

// breakdowns summarizes the requests by class or tenant. It returns one entry for each of the names, in their order.
// indexOf returns the index of a request's name, or a negative number if the request belongs to no entry.
func (c *Captured) breakdowns(names []string, indexOf func(*Request) int) []Breakdown {
	breakdowns := make([]Breakdown, len(names))
	for i, name := range names {
		breakdowns[i].Name = name
	}
	for i := range c.Requests {
		request := &c.Requests[i]
		if index := indexOf(request); index >= 0 {
			breakdowns[index].add(request)
		}
	}
	for i := range breakdowns {
		breakdowns[i].finish(c.Length.Seconds())
	}
	return breakdowns
}

func (b *Breakdown) add(request *Request) {
	b.count++
	if request.Answer == capture.Rejected {
		b.rejections++
	}
	if load := request.load(); load > 0 {
		b.loadSum += load
		b.loadCount++
	}
	if request.Ended {
		b.lifetimes = append(b.lifetimes, request.Lifetime.Seconds())
	}
}

// finish computes the figures after all requests have been added. The length of the capture is in seconds.
func (b *Breakdown) finish(length float64) {
	if length > 0 {
		b.Rate = float64(b.count) / length
	}
	if b.count > 0 {
		b.RejectedFraction = float64(b.rejections) / float64(b.count)
	}
	if b.loadCount > 0 {
		b.Load = b.loadSum / b.loadCount
	}
	if len(b.lifetimes) == 0 {
		return
	}
	slices.Sort(b.lifetimes)
	for _, lifetime := range b.lifetimes {
		b.LifetimeMeanS += lifetime / float64(len(b.lifetimes))
	}
	b.LifetimeMedianS = quantile(b.lifetimes, 0.5)
	b.Lifetime99S = quantile(b.lifetimes, 0.99)
}

// quantile returns the quantile of values for a fraction from 0 to 1. The values must be in ascending order.
func quantile(values []float64, fraction float64) float64 {
	return values[min(len(values)-1, int(fraction*float64(len(values))))]
}
