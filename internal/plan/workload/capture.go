package workload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"spurwinch/internal/operations/capture"
	"spurwinch/internal/plan/fleet"
)

// Captured is what files of a fleet's nodes hold, put in one order of time.
type Captured struct {
	Headers     []capture.Header
	Faults      []capture.Fault
	Classes     []string // all that the files name, in order of first mention
	Tenants     []string
	Share       float64 // least share of the files: what the rates are divided by
	Begin       time.Time
	Length      time.Duration
	Dropped     uint64
	Requests    []Request // by time
	ReportCount int
	Servers     map[string]*ServerStats
}

// Request is a captured request with the life of its connection.
type Request struct {
	capture.Placed
	At           time.Duration // since Begin
	Node         int           // in Headers
	Zone         string
	Class        int // in Captured.Classes
	Tenant       int // in Captured.Tenants; -1: none
	Lifetime     time.Duration
	Ended        bool // else the connection still stood at the end of the capture, or its end was lost
	Cause        capture.Cause
	ReportedLoad float64 // load told last
}

// HostSeen is what was seen of one host.
type ServerStats struct {
	Kind    string  `json:"Kind"`
	Zone    string  `json:"Zone"`
	Reports int     `json:"Reports"`
	Load    float64 `json:"Load"` // mean of the load in reports: the field x0, else utilization
	Peak    float64 `json:"Peak"` // largest
}

// ReadCaptures reads files of one or more nodes. An error means that a file can't be used at all.
func ReadCaptures(files []string) (*Captured, error) {
	c := &Captured{Share: 1, Servers: map[string]*ServerStats{}}
	classes, tenants := map[string]int{}, map[string]int{}
	number := func(m map[string]int, list *[]string, name string) int {
		i, ok := m[name]
		if !ok {
			i = len(*list)
			m[name] = i
			*list = append(*list, name)
		}
		return i
	}
	type key struct {
		node string
		run  int64
		seq  uint64
	}
	open := map[key]int{}
	type absolute struct{ from, to int64 }
	var span absolute
	var starts []int64 // of each request, ns of Unix time
	for _, name := range files {
		var node, field int
		first := true
		head, faults, err := capture.ReadFile(name, func(h capture.Header, r capture.Record) {
			if first {
				first = false
				node, field = len(c.Headers), -1
				c.Headers = append(c.Headers, h)
				for i, f := range h.Fields {
					if f == "x0" || f == "utilization" && field < 0 {
						field = i
					}
				}
				if h.Share > 0 {
					c.Share = min(c.Share, h.Share)
				}
			}
			note := func(at int64) int64 {
				t := h.Start + at*1000
				if span.from == 0 || t < span.from {
					span.from = t
				}
				span.to = max(span.to, t)
				return t
			}
			switch r := r.(type) {
			case capture.Placed:
				t := note(r.At)
				q := Request{Placed: r, Node: node, Zone: h.Zone, Class: number(classes, &c.Classes, h.Classes[r.Class]), Tenant: -1}
				if r.Tenant >= 0 {
					q.Tenant = number(tenants, &c.Tenants, h.Tenants[r.Tenant])
				}
				if r.Answer == capture.Up {
					open[key{h.Node, h.Start, r.Seq}] = len(c.Requests)
				}
				c.Requests = append(c.Requests, q)
				starts = append(starts, t)
			case capture.Ended:
				note(r.At)
				k := key{h.Node, h.Start, r.Seq}
				if i, ok := open[k]; ok {
					q := &c.Requests[i]
					q.Lifetime, q.Ended, q.Cause, q.ReportedLoad = capture.Duration(r.Life), r.Cause != capture.Carried, r.Cause, r.Load
					delete(open, k)
				}
			case capture.Report:
				note(r.At)
				c.ReportCount++
				s := c.host(r.Host)
				if field >= 0 && field < len(r.Values) && r.Values[field] == r.Values[field] {
					x := float64(r.Values[field])
					s.Reports++
					s.Load += (x - s.Load) / float64(s.Reports)
					s.Peak = max(s.Peak, x)
				}
			case capture.Host:
				s := c.host(r.ID)
				s.Kind, s.Zone = r.Kind, r.Zone
			case capture.Dropped:
				note(r.At)
				c.Dropped += r.Count
			}
		})
		if err != nil {
			return nil, err
		}
		if first { // nothing but a header
			c.Headers = append(c.Headers, head)
		}
		c.Faults = append(c.Faults, faults...)
	}
	c.Begin = time.Unix(0, span.from)
	c.Length = time.Duration(span.to - span.from)
	for i := range c.Requests {
		c.Requests[i].At = time.Duration(starts[i] - span.from)
	}
	for _, i := range open {
		q := &c.Requests[i]
		q.Lifetime = c.Length - q.At - capture.Duration(q.Took)
	}
	sort.SliceStable(c.Requests, func(i, j int) bool { return c.Requests[i].At < c.Requests[j].At })
	return c, nil
}

const maxServers = 1 << 17

func (c *Captured) host(id string) *ServerStats {
	s := c.Servers[id]
	if s == nil {
		if s = (&ServerStats{}); len(c.Servers) < maxServers {
			c.Servers[id] = s
		}
	}
	return s
}

// again is how long after its last sign a client that comes with the same key still is in the same session.
const sessionTimeout = 15 * time.Second

// classesOf gives the place in a fleet of each class of a capture.
func classesOf(c *Captured, f *fleet.Fleet) ([]int, error) {
	places := make([]int, len(c.Classes))
	for i, name := range c.Classes {
		places[i] = slices.IndexFunc(f.Classes, func(class fleet.Class) bool { return class.Name == name })
		if places[i] < 0 {
			return nil, fmt.Errorf("the capture holds class %q, the fleet file has none of this name: add a [[class]]; it has %s", name, classNames(f))
		}
	}
	return places, nil
}

// editionsOf gives the place in a fleet of each edition of a capture; -1 where the fleet has no editions.
func editionsOf(c *Captured, f *fleet.Fleet) ([]int, error) {
	places := make([]int, len(c.Tenants))
	for i, name := range c.Tenants {
		places[i] = slices.IndexFunc(f.Editions, func(edition fleet.Tenant) bool { return edition.Name == name })
		if places[i] < 0 && len(f.Editions) > 0 {
			return nil, fmt.Errorf("the capture holds edition %q, the fleet file has none of this name: add an [[edition]]", name)
		}
	}
	return places, nil
}

// Sessions puts a client's tries, returns and connections together to what it wanted, in a fleet's terms. Connections that
// still stood at the end go on for as long as their class's life says, by chance. What a share left out is made up for by
// copies.
func (c *Captured) Sessions(f *fleet.Fleet, seed uint64) (*Load, error) {
	classes, err := classesOf(c, f)
	if err != nil {
		return nil, err
	}
	editions, err := editionsOf(c, f)
	if err != nil {
		return nil, err
	}
	// Told loads are in the hosts' own unit: they count in relation to the mean of their class.
	told, count := make([]float64, len(f.Classes)), make([]float64, len(f.Classes))
	for _, q := range c.Requests {
		if x := q.load(); x > 0 {
			told[classes[q.Class]] += x
			count[classes[q.Class]]++
		}
	}
	out := &Load{Length: c.Length}
	rng := rand.New(rand.NewPCG(seed, 31))
	last := map[uint64]int{}         // session of a client
	until := map[int]time.Duration{} // its last sign
	for _, q := range c.Requests {
		k := classes[q.Class]
		begin, end := q.At, q.At+capture.Duration(q.Took)+q.Lifetime
		if !q.Ended && q.Answer == capture.Up {
			end += time.Duration(rng.ExpFloat64() * float64(f.Classes[k].Lifetime))
		}
		if i, ok := last[q.Client]; ok && q.Client != 0 && out.Sessions[i].Class == k && begin-until[i] < sessionTimeout {
			s := &out.Sessions[i]
			s.Lifetime, until[i] = max(s.Lifetime, end-s.Arrival), max(until[i], end)
			continue
		}
		s := Session{Arrival: begin, Lifetime: max(end-begin, 100*time.Millisecond), Class: k, Tenant: -1, Zone: f.Centre(q.Zone), Client: q.Client, Group: q.Group}
		if q.Tenant >= 0 {
			s.Tenant = editions[q.Tenant]
		}
		if s.Client == 0 {
			s.Client = rng.Uint64() | 1
		}
		if x := q.load(); x > 0 {
			s.Load = x / (told[k] / count[k]) * f.Classes[k].Load
		}
		last[s.Client] = len(out.Sessions)
		until[len(out.Sessions)] = end
		out.Sessions = append(out.Sessions, s)
	}
	// A session whose client was never served tells no life: it wanted what its class does.
	for i := range out.Sessions {
		if s := &out.Sessions[i]; s.Lifetime <= 100*time.Millisecond {
			s.Lifetime = time.Duration(rng.ExpFloat64() * float64(f.Classes[s.Class].Lifetime))
		}
	}
	out.sort()
	if c.Share < 1 {
		return out.Scale(1/c.Share, seed), nil
	}
	return out, nil
}

func (q *Request) load() float64 {
	if q.ReportedLoad > 0 {
		return q.ReportedLoad
	}
	return q.Load
}

func classNames(f *fleet.Fleet) string {
	var all []string
	for _, c := range f.Classes {
		all = append(all, c.Name)
	}
	return strings.Join(all, ", ")
}
