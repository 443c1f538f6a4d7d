package discovery

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"spurwinch/choice"
)

// drainGrace is the time for which a draining server may still get requests, in these tests.
const drainGrace = 3 * time.Second

// slowDiscovery is a discovery service that takes the same time for each response. A response has the list as it is
// when it is written.
type slowDiscovery struct {
	addr    string
	late    time.Duration
	version atomic.Int64
	calls   chan string // the URL of each call
}

func startSlowDiscovery(t *testing.T, late time.Duration, version int64) *slowDiscovery {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, listener)
	service := &slowDiscovery{addr: listener.Addr().String(), late: late, calls: make(chan string, 1024)}
	service.version.Store(version)
	go acceptAll(listener, func(conn net.Conn, _ int) { service.serve(conn) })
	return service
}

// serve responds to the calls on a connection.
func (d *slowDiscovery) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		d.calls <- request.URL.String()
		d.waitForChange(request)
		time.Sleep(d.late)
		send(conn, okResponse(fmt.Sprintf(`{"version":%d,"full":%v,"servers":[{"id":"s-1","state":"SERVING"}]}`,
			d.version.Load(), request.URL.RawQuery == "")))
	}
}

// waitForChange returns when the list has a later version than a long poll, or when the long poll's wait is over.
func (d *slowDiscovery) waitForChange(request *http.Request) {
	after, err := strconv.ParseInt(request.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return // no long poll
	}
	wait, err := strconv.Atoi(request.URL.Query().Get("wait_ms"))
	if err != nil {
		return
	}
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); time.Now().Before(end); {
		if d.version.Load() > after {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// requireVersion waits until the watch has a version of the list, and returns how long that took.
func requireVersion(t *testing.T, watch *Watch, events chan choice.ListKind, want int64) time.Duration {
	t.Helper()
	began := time.Now()
	for {
		receive(t, events)
		version := make(chan int64, 1)
		watch.loop.Post(func() {
			_, known := watch.Position()
			version <- known
		})
		took := time.Since(began)
		if receive(t, version) == want {
			return took
		}
		if took > receiveTimeout {
			t.Fatalf("version %d: not heard within %v", want, receiveTimeout)
		}
	}
}

// TestSlowServiceIsHeard guards against a watch that gives up each call before its response comes, and so never hears a
// service that takes longer for each response than the watch waits. The change is made in the moment in which the n-th
// call arrives, the first of which are those that the watch gives up.
func TestSlowServiceIsHeard(t *testing.T) {
	t.Parallel()
	for _, late := range []time.Duration{2700 * time.Millisecond, 5 * time.Second, 8 * time.Second} {
		for _, calls := range []int{2, 3, 4} {
			t.Run(fmt.Sprintf("%v, change at call %d", late, calls), func(t *testing.T) {
				t.Parallel()
				service := startSlowDiscovery(t, late, 41)
				watch, events := startWatch(t, service.addr, knownList(), Mode{DrainGrace: drainGrace}, defaultTiming)
				for range calls {
					receive(t, service.calls)
				}
				service.version.Store(42)
				if took := requireVersion(t, watch, events, 42); took > maxDeliveryDelay+drainGrace {
					t.Errorf("change: heard after %v, want at most %v", took, maxDeliveryDelay+drainGrace)
				}
			})
		}
	}
}

// TestSlowServiceIsHeardAfterReload checks that the first list of a new, slow discovery service is heard before it
// binds: it counts as delivered 4 s after SIGHUP, and the drain grace follows.
func TestSlowServiceIsHeardAfterReload(t *testing.T) {
	t.Parallel()
	for _, late := range []time.Duration{2700 * time.Millisecond, 5 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			t.Parallel()
			first := startSlowDiscovery(t, 0, 41)
			second := startSlowDiscovery(t, late, 7)
			watch, events := startWatch(t, first.addr, knownList(), Mode{DrainGrace: drainGrace}, defaultTiming)
			receive(t, first.calls)
			watch.loop.Post(func() { watch.SetAddress(second.addr) })
			if took := requireVersion(t, watch, events, 7); took > maxListTimeout+drainGrace {
				t.Errorf("list of the new service: heard after %v, want at most %v", took, maxListTimeout+drainGrace)
			}
		})
	}
}

// TestSlowServiceIsHeardAtStart checks that a node without a list hears a slow service.
func TestSlowServiceIsHeardAtStart(t *testing.T) {
	t.Parallel()
	service := startSlowDiscovery(t, 5*time.Second, 41)
	watch, events := startWatch(t, service.addr, nil, Mode{DrainGrace: drainGrace}, defaultTiming)
	if took := requireVersion(t, watch, events, 41); took > maxDeliveryDelay {
		t.Errorf("first list: heard after %v, want at most %v", took, maxDeliveryDelay)
	}
}

// TestSlowAgentIsHeard is TestSlowServiceIsHeard for an agent to which lists are pushed. What the agent has counts as
// delivered at once.
func TestSlowAgentIsHeard(t *testing.T) {
	t.Parallel()
	service := startSlowDiscovery(t, 600*time.Millisecond, 41)
	mode := Mode{Pushed: true, DrainGrace: drainGrace}
	watch, events := startWatch(t, service.addr, knownList(), mode, defaultTiming)
	for range 3 {
		receive(t, service.calls)
	}
	service.version.Store(42)
	if took := requireVersion(t, watch, events, 42); took > drainGrace {
		t.Errorf("change: heard after %v, want at most the drain grace of %v", took, drainGrace)
	}
}

// TestLateCallsAreBounded checks that calls to a service that never responds don't pile up.
func TestLateCallsAreBounded(t *testing.T) {
	t.Parallel()
	discovery := startDiscovery(t, 0)
	discovery.silent.Store(true)
	times := shortTiming()
	times.recoveryWait = times.pollWait
	times.recoveryResponseTimeout = times.responseTimeout
	times.initialBackoff = 2 * time.Millisecond
	times.maxBackoff = 2 * time.Millisecond
	watch, _ := startWatch(t, discovery.addr, &List{Version: 7}, Mode{}, times)
	counts := func() (late, held, open int) {
		counted := make(chan [3]int, 1)
		watch.loop.Post(func() { counted <- [3]int{len(watch.late), watch.connections(), watch.loop.Open()} })
		got := receive(t, counted)
		return got[0], got[1], got[2]
	}
	for range 4 * maxLateCalls {
		receive(t, discovery.calls)
		if late, held, _ := counts(); late > maxLateCalls || held > maxLateCalls+1 {
			t.Fatalf("got %d late calls and %d connections, want at most %d and one more", late, held, maxLateCalls)
		}
	}
	// Once the watch ends its calls, no connection is left that it has forgotten. Those that it ended before may still
	// wait for the peer's FIN. A forgotten call would end after maxLateTime.
	watch.loop.Post(func() {
		watch.cancelTimer()
		watch.close()
		watch.dropLateCalls()
	})
	for end := time.Now().Add(maxLateTime / 2); ; time.Sleep(time.Millisecond) {
		late, held, open := counts()
		if late == 0 && held == 0 && open == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("after all calls: got %d late calls, %d connections held and %d open, want none", late, held, open)
		}
	}
}

// connections returns the number of connections that the watch has not ended.
func (w *Watch) connections() int {
	if w.conn == nil {
		return len(w.late)
	}
	return len(w.late) + 1
}
