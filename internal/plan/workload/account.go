package workload

import (
	"container/heap"
	"fmt"
	"math"
	"time"

	"spurwinch/internal/plan/fleet"
)

// Priorities returns the priority weight of one second of service for each session. This is the weight of the session's
// class, reduced if the session arrives while its tenant has used up its quota. The result depends only on the load,
// not on how the fleet serves it.
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

// departureQueue is a heap of departures with the earliest one first. It implements heap.Interface.
type departureQueue []departure

// next removes and returns the earliest departure.
func (q *departureQueue) next() departure {
	first := (*q)[0]
	heap.Pop(q)
	return first
}

func (q departureQueue) Len() int           { return len(q) }
func (q departureQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q departureQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface. It appends an element.
func (q *departureQueue) Push(element any) {
	added, ok := element.(departure)
	if !ok {
		// Can't happen, because only Priorities pushes elements.
		panic(fmt.Sprintf("departureQueue.Push: got a %T, want a departure", element))
	}
	*q = append(*q, added)
}

// Pop implements heap.Interface. It removes and returns the last element.
func (q *departureQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Account sums the priority weights of the seconds that clients demanded and of the seconds that were served well. The
// ratio of served to demanded weight is the service, from 0 to 1.
type Account struct {
	Demand         [][]float64 // by class and tenant
	ServedTotal    [][]float64 // by class and tenant
	DemandBySecond [][]float64 // by second and class
	ServedBySecond [][]float64 // by second and class
}

// NewAccount returns an empty account for a load of the given length.
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

// AddDemand adds the demand of the sessions of a load, weighted by their priorities.
func (a *Account) AddDemand(load *Load, priorities []float64) {
	for i := range load.Sessions {
		session := &load.Sessions[i]
		end := min(session.End(), load.Length)
		a.Demand[session.Class][max(0, session.Tenant)] += priorities[i] * (end - session.Arrival).Seconds()
		for at := session.Arrival; at < end; {
			second := int(at / time.Second)
			secondEnd := min(end, time.Duration(second+1)*time.Second)
			a.DemandBySecond[second][session.Class] += priorities[i] * (secondEnd - at).Seconds()
			at = secondEnd
		}
	}
}

// AddServed adds priority weight that was served well at the given time.
func (a *Account) AddServed(at time.Duration, class, tenant int, weight float64) {
	a.ServedTotal[class][max(0, tenant)] += weight
	second := min(max(0, int(at/time.Second)), len(a.ServedBySecond)-1)
	a.ServedBySecond[second][class] += weight
}

// LostUntil returns the demand of the whole load, and the part of it up to the given time that was not served well.
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

// ratio returns served/demand, at most 1. It returns 1 if there was no demand, because no session was served badly.
func ratio(served, demand float64) float64 {
	if demand <= 0 {
		return 1
	}
	return min(1, served/demand)
}

// Service returns the service of all sessions together, by class and by tenant.
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

// ServiceBetween returns the service between two times, of all sessions together and by class.
func (a *Account) ServiceBetween(from, to time.Duration) (overall float64, classes []float64) {
	classCount := len(a.Demand)
	classDemand := make([]float64, classCount)
	classServed := make([]float64, classCount)
	demand := 0.0
	served := 0.0
	for second := int(from / time.Second); second < min(int(to/time.Second), len(a.DemandBySecond)); second++ {
		for class := range classCount {
			classDemand[class] += a.DemandBySecond[second][class]
			classServed[class] += a.ServedBySecond[second][class]
			demand += a.DemandBySecond[second][class]
			served += a.ServedBySecond[second][class]
		}
	}
	for class := range classCount {
		classes = append(classes, ratio(classServed[class], classDemand[class]))
	}
	return ratio(served, demand), classes
}

// ServiceSeries returns the service by second. It is NaN for seconds without demand.
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

// WorstWindow returns the lowest service of all windows of the given length, and the beginning of that window. A load
// that is shorter than the length counts as one window.
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
