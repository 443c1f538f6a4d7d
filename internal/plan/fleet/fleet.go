// Package fleet reads the description of a fleet: data centres, machines, nodes, classes, editions, and the limits that
// they share. The planner forecasts from it, and stand-in fleets are built after it.
//
// The unit of load is the usual connection: connections_per_core of them fill one core of the yardstick machine. Times are
// as in "1.5s"; shares of a whole are relative to their sum.
package fleet

import (
	"fmt"
	"math"
	"time"

	"spurwinch/internal/config/tomlfile"
)

// Duration is a time as the file writes it.
type Duration = tomlfile.Duration

// Fleet is a fleet file. The tags are its keys.
type Fleet struct {
	General   General   `toml:"fleet"`
	Network   Network   `toml:"network"`
	Centres   []Centre  `toml:"centre"`
	Delays    []Delay   `toml:"delay"`
	Kinds     []Kind    `toml:"kind"`
	Servers   []Servers `toml:"servers"`
	Nodes     []Nodes   `toml:"node"`
	Classes   []Class   `toml:"class"`
	Editions  []Edition `toml:"edition"`
	Group     Group     `toml:"group"`
	Store     Store     `toml:"store"`
	Cold      Cold      `toml:"cold"`
	Reports   Reports   `toml:"reports"`
	Clients   Clients   `toml:"clients"`
	Discovery Discovery `toml:"discovery"`
}

// General is what holds for the whole fleet.
type General struct {
	Name               string   `toml:"name"`
	ConnectionsPerCore float64  `toml:"connections_per_core"` // usual ones that a yardstick core bears
	MessageWork        Duration `toml:"message_work"`         // of one message, on a yardstick core
	MessageEvery       Duration `toml:"message_every"`        // of one client
	OverShareWorth     float64  `toml:"over_share_worth"`     // of a connection beyond its edition's share
	ShareOf            float64  `toml:"share_of"`             // editions share this part of what the servers bear
}

// Network has one-way times.
type Network struct {
	Same   Duration `toml:"same_centre"`
	Cross  Duration `toml:"cross_centre"`
	Client Duration `toml:"client"`
}

// Centre is a data centre with its share of the clients.
type Centre struct {
	Name    string  `toml:"name"`
	Clients float64 `toml:"clients"`
}

// Delay is a one-way time between two centres that differs from the usual, both ways.
type Delay struct {
	From   string   `toml:"from"`
	To     string   `toml:"to"`
	OneWay Duration `toml:"one_way"`
}

// Kind is a kind of machine.
type Kind struct {
	Name        string   `toml:"name"`
	Cores       float64  `toml:"cores"`
	Speed       float64  `toml:"speed"`        // of a core; the yardstick is 1
	SpeedSpread float64  `toml:"speed_spread"` // standard deviation over machines, part of the speed
	Connections int      `toml:"connections"`  // that a machine holds at most
	SetupQueue  int      `toml:"setup_queue"`  // set-ups that wait at most; beyond, BUSY
	ShedAfter   Duration `toml:"shed_after"`   // work piled up from which on connections are dropped; 0: never
}

// Servers are machines of one kind in one centre. Started says how long ago they came up; 0: long ago.
type Servers struct {
	Kind   string `toml:"kind"`
	Centre string `toml:"centre"`
	Count  int    `toml:"count"`
	Cold   bool   `toml:"cold"` // they start when the load does
}

// Nodes are nodes of one size in one centre.
type Nodes struct {
	Centre  string `toml:"centre"`
	Count   int    `toml:"count"`
	Sockets int    `toml:"sockets"`
}

// Class is a class of connections.
type Class struct {
	Name       string   `toml:"name"`
	Share      float64  `toml:"share"` // of new connections, where no capture tells
	Load       float64  `toml:"load"`  // mean, in usual connections
	LoadSpread float64  `toml:"load_spread"`
	Swing      float64  `toml:"swing"`  // of one connection's load over time
	Change     Duration `toml:"change"` // mean time between its changes
	Life       Duration `toml:"life"`   // mean, where no capture tells
	LifeSpread float64  `toml:"life_spread"`
	SetupWork  Duration `toml:"setup_work"` // on a yardstick core
	SetupAim   Duration `toml:"setup_aim"`
	Patience   Duration `toml:"patience"`
	MessageAim Duration `toml:"message_aim"`
	Worth      float64  `toml:"worth"` // a second
}

// Edition is a tenant with its share.
type Edition struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Usage float64 `toml:"usage"` // of its share of new connections, where no capture tells
}

// Group is what connections of one group share.
type Group struct {
	Cost float64 `toml:"cost"` // usual connections, once on each server that holds any of a group
	Size float64 `toml:"size"` // mean sessions of a group, where no capture tells
}

// Store is the session store that each set-up calls.
type Store struct {
	Rate    float64  `toml:"rate"` // calls a second, of all; 0: without a limit
	Latency Duration `toml:"latency"`
}

// Cold is how servers start.
type Cold struct {
	Share        float64  `toml:"share"`
	WarmUp       Duration `toml:"warm_up"`
	FallMultiple float64  `toml:"fall_multiple"`
	FallTime     Duration `toml:"fall_time"`
}

// Reports are the servers' load reports.
type Reports struct {
	Every     Duration `toml:"every"`
	Noise     float64  `toml:"noise"` // standard deviation, part of the value
	ProbeWork Duration `toml:"probe_work"`
}

// Clients are how clients come back.
type Clients struct {
	Retries   int      `toml:"retries"` // by itself after a failure, Backoff apart
	Backoff   Duration `toml:"backoff"`
	RejoinMin Duration `toml:"rejoin_min"` // after a break or a move
	RejoinMax Duration `toml:"rejoin_max"`
	Pause     Duration `toml:"pause"` // after all retries failed, until it comes anew
}

// Discovery is the list of servers.
type Discovery struct {
	Delay Duration `toml:"delay"` // until a node is told of a change
}

// Read reads and checks a fleet file. The error is a tomlfile.Faults, where the file could be read.
func Read(path string) (*Fleet, error) {
	src, err := tomlfile.Load(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, src)
}

// Parse reads and checks the text of a fleet file.
func Parse(path string, src []byte) (*Fleet, error) {
	f := &Fleet{}
	file := tomlfile.Decode(path, src, f)
	if !file.Broken() {
		f.check(file)
	}
	return f, file.Err()
}

const (
	mostServers = 20000
	mostNodes   = 4096 // of one entry, as many as a fleet that decides in common may have
)

func (f *Fleet) check(file *tomlfile.File) {
	ms := func(n float64) Duration { return Duration(n * float64(time.Millisecond)) }
	g := &f.General
	tomlfile.Fill(&g.ConnectionsPerCore, 10)
	tomlfile.Fill(&g.MessageWork, ms(5))
	tomlfile.Fill(&g.MessageEvery, ms(2000))
	tomlfile.Fill(&g.ShareOf, 0.9)
	tomlfile.Fill(&f.Network.Same, ms(0.2))
	tomlfile.Fill(&f.Network.Cross, ms(6))
	tomlfile.Fill(&f.Network.Client, ms(0.7))
	tomlfile.Fill(&f.Cold.Share, 0.15)
	tomlfile.Fill(&f.Cold.WarmUp, ms(24000))
	tomlfile.Fill(&f.Cold.FallMultiple, 4)
	tomlfile.Fill(&f.Cold.FallTime, ms(2000))
	tomlfile.Fill(&f.Reports.Every, ms(200))
	tomlfile.Fill(&f.Reports.ProbeWork, ms(4))
	tomlfile.Fill(&f.Clients.RejoinMax, ms(1000))
	tomlfile.Fill(&f.Clients.Backoff, ms(100))
	tomlfile.Fill(&f.Clients.Pause, ms(2000))
	tomlfile.Fill(&f.Discovery.Delay, ms(2000))
	tomlfile.Fill(&f.Group.Size, 3)
	c := checker{file}
	c.over("fleet.connections_per_core", g.ConnectionsPerCore, 0, 1e6)
	c.over("fleet.message_work", g.MessageWork.Seconds(), 0, 10)
	c.over("fleet.message_every", g.MessageEvery.Seconds(), 0, 3600)
	c.from("fleet.over_share_worth", g.OverShareWorth, 0, 1)
	c.over("fleet.share_of", g.ShareOf, 0, 100)
	c.over("cold.share", f.Cold.Share, 0, 1)
	c.over("cold.warm_up", f.Cold.WarmUp.Seconds(), 0, 86400)
	c.over("cold.fall_multiple", f.Cold.FallMultiple, 0, 1e6)
	c.over("cold.fall_time", f.Cold.FallTime.Seconds(), 0, 3600)
	c.over("reports.every", f.Reports.Every.Seconds(), 0, 60)
	c.from("reports.noise", f.Reports.Noise, 0, 1)
	c.from("group.cost", f.Group.Cost, 0, 1e6)
	c.from("group.size", f.Group.Size, 1, 1e6)
	c.from("store.rate", f.Store.Rate, 0, 1e9)
	c.from("clients.retries", float64(f.Clients.Retries), 0, 100)
	if f.Clients.RejoinMax < f.Clients.RejoinMin {
		file.Fault("clients.rejoin_max", "rejoin_max is under rejoin_min")
	}
	centres := map[string]bool{}
	if len(f.Centres) == 0 {
		file.Fault("", "no [[centre]]: at least one with a name is wanted")
	}
	for i := range f.Centres {
		k := &f.Centres[i]
		at := fmt.Sprintf("centre.%d.", i)
		c.name(at, "centre", k.Name, centres)
		if !file.Has(at + "clients") {
			k.Clients = 1
		}
		c.from(at+"clients", k.Clients, 0, 1e9)
	}
	for i, d := range f.Delays {
		at := fmt.Sprintf("delay.%d.", i)
		c.known(at+"from", "centre", d.From, centres)
		c.known(at+"to", "centre", d.To, centres)
	}
	kinds := map[string]bool{}
	for i := range f.Kinds {
		k := &f.Kinds[i]
		at := fmt.Sprintf("kind.%d.", i)
		c.name(at, "kind", k.Name, kinds)
		tomlfile.Fill(&k.Speed, 1)
		tomlfile.Fill(&k.Connections, 1000)
		tomlfile.Fill(&k.SetupQueue, 64)
		c.over(at+"cores", k.Cores, 0, 4096)
		c.over(at+"speed", k.Speed, 0, 1000)
		c.from(at+"speed_spread", k.SpeedSpread, 0, 1)
		c.from(at+"connections", float64(k.Connections), 1, 1e7)
		c.from(at+"setup_queue", float64(k.SetupQueue), 1, 1e7)
	}
	servers := 0
	if len(f.Servers) == 0 {
		file.Fault("", "no [[servers]]: kind, centre and count of some are wanted")
	}
	for i, s := range f.Servers {
		at := fmt.Sprintf("servers.%d.", i)
		c.known(at+"kind", "kind", s.Kind, kinds)
		c.known(at+"centre", "centre", s.Centre, centres)
		c.from(at+"count", float64(s.Count), 0, mostServers)
		servers += s.Count
	}
	if servers > mostServers {
		file.Fault("servers.0", "%d servers: %d at most", servers, mostServers)
	}
	nodes := 0
	if len(f.Nodes) == 0 {
		file.Fault("", "no [[node]]: centre and count of some are wanted")
	}
	for i := range f.Nodes {
		n := &f.Nodes[i]
		at := fmt.Sprintf("node.%d.", i)
		tomlfile.Fill(&n.Sockets, 1024)
		c.known(at+"centre", "centre", n.Centre, centres)
		c.from(at+"count", float64(n.Count), 0, mostNodes)
		c.from(at+"sockets", float64(n.Sockets), 64, 1e8)
		nodes += n.Count
	}
	if nodes == 0 && len(f.Nodes) > 0 {
		file.Fault("node.0", "no node at all: one or more are wanted")
	}
	classes := map[string]bool{}
	if len(f.Classes) == 0 {
		file.Fault("", "no [[class]]: at least one is wanted")
	}
	for i := range f.Classes {
		k := &f.Classes[i]
		at := fmt.Sprintf("class.%d.", i)
		c.name(at, "class", k.Name, classes)
		tomlfile.Fill(&k.Share, 1)
		tomlfile.Fill(&k.Load, 1)
		tomlfile.Fill(&k.Life, ms(60000))
		tomlfile.Fill(&k.Change, ms(10000))
		tomlfile.Fill(&k.SetupWork, ms(8))
		tomlfile.Fill(&k.SetupAim, ms(800))
		tomlfile.Fill(&k.Patience, ms(4800))
		tomlfile.Fill(&k.MessageAim, ms(150))
		tomlfile.Fill(&k.Worth, 1)
		c.over(at+"share", k.Share, 0, 1e9)
		c.over(at+"load", k.Load, 0, 1e6)
		c.from(at+"load_spread", k.LoadSpread, 0, 4)
		c.from(at+"swing", k.Swing, 0, 4)
		c.from(at+"life_spread", k.LifeSpread, 0, 4)
		c.over(at+"worth", k.Worth, 0, 1e9)
		if k.Patience < k.SetupAim {
			file.Fault(at+"patience", "class %q: patience is under setup_aim", k.Name)
		}
		if k.MessageAim <= g.MessageWork {
			file.Fault(at+"message_aim", "class %q: no message can be answered within %v when its work alone takes message_work = %v",
				k.Name, time.Duration(k.MessageAim), time.Duration(g.MessageWork))
		}
	}
	editions := map[string]bool{}
	for i := range f.Editions {
		e := &f.Editions[i]
		at := fmt.Sprintf("edition.%d.", i)
		c.name(at, "edition", e.Name, editions)
		tomlfile.Fill(&e.Share, 1)
		tomlfile.Fill(&e.Usage, 1)
		c.over(at+"share", e.Share, 0, 1e9)
		c.from(at+"usage", e.Usage, 0, 1e6)
	}
}

type checker struct{ file *tomlfile.File }

func (c checker) over(key string, v, lo, hi float64) {
	if !(v > lo && v <= hi) {
		c.file.Fault(key, "%s = %v: a value over %v, up to %v, is wanted", last(key), v, lo, hi)
	}
}

func (c checker) from(key string, v, lo, hi float64) {
	if !(v >= lo && v <= hi) {
		c.file.Fault(key, "%s = %v: a value from %v to %v is wanted", last(key), v, lo, hi)
	}
}

func (c checker) name(at, what, name string, seen map[string]bool) {
	switch {
	case name == "":
		c.file.Fault(at+"name", "a %s without a name", what)
	case seen[name]:
		c.file.Fault(at+"name", "%s %q stands twice: each needs a name of its own", what, name)
	}
	seen[name] = true
}

func (c checker) known(key, what, name string, seen map[string]bool) {
	if !seen[name] {
		c.file.Fault(key, "unknown %s %q: no [[%s]] has this name", what, name, what)
	}
}

func last(key string) string {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '.' {
			return key[i+1:]
		}
	}
	return key
}

// CoreLoad is what one usual connection takes of a yardstick core.
func (f *Fleet) CoreLoad() float64 { return 1 / f.General.ConnectionsPerCore }

// MeanLoad is the mean load of a new connection by the classes' shares, in usual connections.
func (f *Fleet) MeanLoad() float64 {
	sum, n := 0.0, 0.0
	for _, c := range f.Classes {
		sum, n = sum+c.Share*c.Load, n+c.Share
	}
	return sum / n
}

// Kind finds a kind by its name; the file was checked to have it.
func (f *Fleet) Kind(name string) *Kind {
	for i := range f.Kinds {
		if f.Kinds[i].Name == name {
			return &f.Kinds[i]
		}
	}
	panic("fleet: unknown kind " + name)
}

// Centre finds the number of a centre; -1 where there is none of the name.
func (f *Fleet) Centre(name string) int {
	for i, c := range f.Centres {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// Count is how many servers there are.
func (f *Fleet) Count() (n int) {
	for _, s := range f.Servers {
		n += s.Count
	}
	return n
}

// Cores is what all servers can do, in yardstick cores.
func (f *Fleet) Cores() (sum float64) {
	for _, s := range f.Servers {
		k := f.Kind(s.Kind)
		sum += float64(s.Count) * k.Cores * k.Speed
	}
	return sum
}

// OneWay is the time between two centres.
func (f *Fleet) OneWay(a, b int) time.Duration {
	if a == b {
		return time.Duration(f.Network.Same)
	}
	for _, d := range f.Delays {
		x, y := f.Centre(d.From), f.Centre(d.To)
		if x == a && y == b || x == b && y == a {
			return time.Duration(d.OneWay)
		}
	}
	return time.Duration(f.Network.Cross)
}

// Quota is how many connections of mean load an edition may hold over all nodes within its share.
func (f *Fleet) Quota(edition int) float64 {
	sum := 0.0
	for _, e := range f.Editions {
		sum += e.Share
	}
	return f.Editions[edition].Share / sum * f.General.ShareOf * f.Cores() / (f.MeanLoad() * f.CoreLoad())
}

// Clone is a copy whose servers can be changed.
func (f *Fleet) Clone() *Fleet {
	c := *f
	c.Servers = append([]Servers(nil), f.Servers...)
	c.Nodes = append([]Nodes(nil), f.Nodes...)
	return &c
}

// Resize gives the fleet n servers in all, in the proportions of the file: the largest remainders are rounded up.
func (f *Fleet) Resize(n int) *Fleet {
	c := f.Clone()
	all := float64(f.Count())
	if all == 0 {
		c.Servers[0].Count = n
		return c
	}
	left := n
	rest := make([]float64, len(c.Servers))
	for i := range c.Servers {
		want := float64(n) * float64(f.Servers[i].Count) / all
		c.Servers[i].Count = int(math.Floor(want + 1e-9))
		rest[i] = want - float64(c.Servers[i].Count)
		left -= c.Servers[i].Count
	}
	for ; left > 0; left-- {
		best := 0
		for i := range rest {
			if rest[i] > rest[best]+1e-9 {
				best = i
			}
		}
		c.Servers[best].Count++
		rest[best] = -1
	}
	return c
}
