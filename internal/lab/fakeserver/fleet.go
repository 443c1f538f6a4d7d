package fakeserver

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"spurwinch/internal/plan/fleet"
)

// Stats counts what the stand-ins did.
type Stats struct{ Sheds, Overloaded int }

// Fleet is a stand-in fleet: servers, store, and a list of servers for the nodes of each centre.
type Fleet struct {
	Description *fleet.Fleet
	Start       time.Time
	Servers     []*Server

	seed    uint64
	store   *Store
	mu      sync.Mutex
	stats   Stats
	version int64
	states  map[string]string
	news    chan struct{} // closed at each change
	servers []*http.Server
	addrs   []string
	stop    chan struct{}
}

// New starts a fleet's servers and lists on free loopback ports.
func New(conf *fleet.Fleet, seed uint64, allCold bool) (*Fleet, error) {
	f := &Fleet{Description: conf, Start: time.Now(), seed: seed, store: &Store{conf: conf.Store}, version: 1, states: map[string]string{},
		news: make(chan struct{}), stop: make(chan struct{})}
	for _, s := range conf.ServerPools {
		for range s.Count {
			id := fmt.Sprintf("s-%04d", len(f.Servers))
			h, err := f.newHost(id, conf.MachineKind(s.Kind), conf.Centre(s.Zone), s.WarmingUp || allCold, seed*1009+uint64(len(f.Servers)))
			if err != nil {
				f.Close()
				return nil, err
			}
			f.Servers = append(f.Servers, h)
			f.states[id] = "SERVING"
		}
	}
	for c := range conf.Centres {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.Close()
			return nil, err
		}
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.list(w, r, c) }), ReadHeaderTimeout: 5 * time.Second}
		f.servers = append(f.servers, s)
		f.addrs = append(f.addrs, l.Addr().String())
		go s.Serve(l)
	}
	go func() {
		t := time.NewTicker(tick)
		defer t.Stop()
		for {
			select {
			case now := <-t.C:
				for _, h := range f.Servers {
					h.advance(now)
				}
			case <-f.stop:
				return
			}
		}
	}()
	return f, nil
}

// Discovery is the address of the list for nodes of a centre.
func (f *Fleet) Discovery(centre int) string { return f.addrs[centre] }

func (f *Fleet) count(fn func(*Stats)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn(&f.stats)
}

// Stats is what was counted so far.
func (f *Fleet) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}

// changed puts a server's death on the list, when discovery has noticed.
func (f *Fleet) changed(h *Server) {
	time.AfterFunc(time.Duration(f.Description.Discovery.Delay), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.states[h.ID] = "DELETED"
		f.version++
		close(f.news)
		f.news = make(chan struct{})
	})
}

// Entries is the list as a node of a centre is told it, in discovery's form.
func (f *Fleet) Entries(centre int) json.RawMessage {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries(centre)
}

func (f *Fleet) entries(centre int) json.RawMessage {
	var all []ListEntry
	for _, h := range f.Servers {
		if f.states[h.ID] == "DELETED" {
			continue
		}
		e := ListEntry{ID: h.ID, Addr: h.listen[centre].Addr().String(), Zone: f.Description.Centres[h.Zone].Name, Kind: h.Kind.Name, State: f.states[h.ID], Weight: 1}
		if h.cold {
			e.Started = f.Start.UnixMilli()
		}
		all = append(all, e)
	}
	return EncodeList(f.version, all)
}

// list answers GET /v1/servers.
func (f *Fleet) list(w http.ResponseWriter, r *http.Request, centre int) {
	f.mu.Lock()
	news, version := f.news, f.version
	f.mu.Unlock()
	ServeList(w, r, version, news, f.stop, func() json.RawMessage { return f.Entries(centre) })
}

// Close ends all stand-ins.
func (f *Fleet) Close() {
	close(f.stop)
	for _, s := range f.servers {
		s.Close()
	}
	for _, h := range f.Servers {
		h.Kill()
	}
}
