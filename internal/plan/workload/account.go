package workload

import (
	"container/heap"
	"fmt"
	"math"
	"time"

	"spurwinch/internal/plan/fleet"
)

// Priorities returns the priority weight of a second of each session: that of its class, and less for a session that
// arrives while its tenant has used up its quota. It depends on the load alone, not on how it is served.
func Priorities(description *fleet.Fleet, load *Load) []float64 {
	priorities := make([]float64, len(load.Sessions))
	concurrent := make([]int, max(1, len(description.Tenants)))
	var departures departureQueue
	for i := range load.Sessions {
		session := &load.Sessions[i]
		for len(departures) > 0 && departures[0].at <= session.Arrival {
			concurrent[departures.next().tenant]--
		}
		priorities[i] = description.Classes[session.Class].Priority
		if session.Tenant < 0 {
			continue
		}
		if float64(concurrent[session.Tenant]) >= description.Quota(session.Tenant) {
			priorities[i] *= description.General.OverQuotaPriority
		}
		concurrent[session.Tenant]++
		heap.Push(&departures, departure{session.End(), session.Tenant})
	}
	return priorities
}

// departure is the end of a session.
type departure struct {
	at     time.Duration
	tenant int
}

// departureQueue is a heap of departures, the earliest first.
type departureQueue []departure

func (q *departureQueue) next() departure {
	first := (*q)[0]
	heap.Pop(q)
	return first
}

func (q departureQueue) Len() int           { return len(q) }
func (q departureQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q departureQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push appends an element for package heap.
func (q *departureQueue) Push(element any) {
	added, ok := element.(departure)
	if !ok {
		panic(fmt.Sprintf("workload: a %T in a queue of departures", element)) // only Priorities pushes
	}
	*q = append(*q, added)
}

// Pop removes the last element for package heap.
func (q *departureQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Account sums the priority weight of the seconds that were demanded and of those that were served well. The ratio of
// the two is the service, from 0 to 1.
type Account struct {
	Demand         [][]float64 // by class and tenant
	ServedTotal    [][]float64 // likewise
	DemandBySecond [][]float64 // by second and class
	ServedBySecond [][]float64 // likewise
}

// NewAccount returns an empty account for a load of a length.
func NewAccount(description *fleet.Fleet, length time.Duration) *Account {
	classes := len(description.Classes)
	tenants := max(1, len(description.Tenants))
	seconds := int(length/time.Second) + 1
	return &Account{
		Demand:         newMatrix(classes, tenants),
		ServedTotal:    newMatrix(classes, tenants),
		DemandBySecond: newMatrix(seconds, classes),
		ServedBySecond: newMatrix(seconds, classes),
	}
}

func newMatrix(rows, columns int) [][]float64 {
	matrix := make([][]float64, rows)
	for i := range matrix {
		matrix[i] = make([]float64, columns)
	}
	return matrix
}

// AddDemand adds what the sessions of a load demand, by their priority weights.
func (a *Account) AddDemand(load *Load, priorities []float64) {
	for i := range load.Sessions {
		session := &load.Sessions[i]
		end := min(session.End(), load.Length)
		a.Demand[session.Class][max(0, session.Tenant)] += priorities[i] * (end - session.Arrival).Seconds()
		for at := session.Arrival; at < end; {
			second := int(at / time.Second)
			next := min(end, time.Duration(second+1)*time.Second)
			a.DemandBySecond[second][session.Class] += priorities[i] * (next - at).Seconds()
			at = next
		}
	}
}

// AddServed adds weight that was served well at a time.
func (a *Account) AddServed(at time.Duration, class, tenant int, weight float64) {
	a.ServedTotal[class][max(0, tenant)] += weight
	second := min(max(0, int(at/time.Second)), len(a.ServedBySecond)-1)
	a.ServedBySecond[second][class] += weight
}

// LostUntil returns the whole demand, and what of it was not served well up to a time.
func (a *Account) LostUntil(until time.Duration) (demand, lost float64) {
	for second := range a.DemandBySecond {
		for class := range a.Demand {
			demand += a.DemandBySecond[second][class]
			if time.Duration(second+1)*time.Second <= until {
				lost += a.DemandBySecond[second][class] - a.ServedBySecond[second][class]
			}
		}
	}
	return demand, lost
}

// ratio is 1 where nothing was demanded: nobody was served badly.
func ratio(served, demand float64) float64 {
	if demand <= 0 {
		return 1
	}
	return min(1, served/demand)
}

// Service returns the service of all sessions, by class and by tenant.
func (a *Account) Service() (overall float64, classes, tenants []float64) {
	demand := 0.0
	served := 0.0
	tenantDemand := make([]float64, len(a.Demand[0]))
	tenantServed := make([]float64, len(a.Demand[0]))
	for class := range a.Demand {
		classDemand := 0.0
		classServed := 0.0
		for tenant := range a.Demand[class] {
			classDemand += a.Demand[class][tenant]
			classServed += a.ServedTotal[class][tenant]
			tenantDemand[tenant] += a.Demand[class][tenant]
			tenantServed[tenant] += a.ServedTotal[class][tenant]
		}
		demand += classDemand
		served += classServed
		classes = append(classes, ratio(classServed, classDemand))
	}
	for tenant := range tenantDemand {
		tenants = append(tenants, ratio(tenantServed[tenant], tenantDemand[tenant]))
	}
	return ratio(served, demand), classes, tenants
}

// ServiceBetween returns the service from one time to another, of all sessions and by class.
func (a *Account) ServiceBetween(from, to time.Duration) (overall float64, classes []float64) {
	count := len(a.Demand)
	classDemand := make([]float64, count)
	classServed := make([]float64, count)
	demand := 0.0
	served := 0.0
	for second := int(from / time.Second); second < min(int(to/time.Second), len(a.DemandBySecond)); second++ {
		for class := range count {
			classDemand[class] += a.DemandBySecond[second][class]
			classServed[class] += a.ServedBySecond[second][class]
			demand += a.DemandBySecond[second][class]
			served += a.ServedBySecond[second][class]
		}
	}
	for class := range count {
		classes = append(classes, ratio(classServed[class], classDemand[class]))
	}
	return ratio(served, demand), classes
}

// ServiceSeries returns the service by second; not a number where nothing was demanded.
func (a *Account) ServiceSeries() []float64 {
	series := make([]float64, len(a.DemandBySecond))
	for second := range series {
		demand := 0.0
		served := 0.0
		for class := range a.Demand {
			demand += a.DemandBySecond[second][class]
			served += a.ServedBySecond[second][class]
		}
		series[second] = math.NaN()
		if demand > 0 {
			series[second] = min(1, served/demand)
		}
	}
	return series
}

// WorstWindow returns the service of the least well served window of a length, and when it begins. A load that is
// shorter is one window.
func (a *Account) WorstWindow(length time.Duration) (service float64, at time.Duration) {
	service = math.Inf(1)
	total := time.Duration(len(a.DemandBySecond)-1) * time.Second
	for begin := time.Duration(0); begin+length <= total || begin == 0; begin += time.Second {
		overall, _ := a.ServiceBetween(begin, begin+length)
		if overall < service {
			service = overall
			at = begin
		}
	}
	return service, at
}
