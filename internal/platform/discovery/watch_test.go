package discovery

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"spurwinch/choice"
)

// TestSilentWatch guards drains against a long poll that gets no response any more: it is repeated on another
// connection, and not left to the balancer's intervals, which are too long for a short drain grace.
func TestSilentWatch(t *testing.T) {
	discovery := startDiscovery(t, 0)
	discovery.silent.Store(true)
	_, events := startWatch(t, discovery.addr, &List{Version: 7}, Mode{}, shortTiming())
	// On a busy machine a connection may come up too late for a call, and calls come in any order.
	seen := map[int]bool{}
	for range 3 {
		call := receive(t, discovery.calls)
		var connection int
		_, err := fmt.Sscanf(call, "%d /v1/servers?after=7&wait_ms=", &connection)
		if err != nil || seen[connection] {
			t.Errorf("call %q, %v, on a connection that had one: %v", call, err, seen)
		}
		seen[connection] = true
	}
	discovery.silent.Store(false)
	discovery.version.Store(8)
	if kind := receive(t, events); kind != choice.ListChange {
		t.Error("the balancer is notified of a failed call:", kind)
	}
}

// TestFailedCall: the balancer is notified of a service that fails a call, and the call is repeated though the balancer
// asks for none.
func TestFailedCall(t *testing.T) {
	discovery := startDiscovery(t, 0)
	discovery.resets.Store(true)
	_, events := startWatch(t, discovery.addr, &List{Version: 7}, Mode{}, defaultTiming)
	if kind := receive(t, events); kind != choice.ListUnavailable {
		t.Error("event of a failed call:", kind)
	}
	receive(t, discovery.calls)
	receive(t, discovery.calls)
}

// TestAgentPolling guards nodes whose lists are pushed: the agent's state counts as delivered, so it is polled without
// end and without the balancer, which is notified of lists only.
func TestAgentPolling(t *testing.T) {
	discovery := startDiscovery(t, 0)
	discovery.silent.Store(true)
	_, events := startWatch(t, discovery.addr, &List{Version: 7}, Mode{Pushed: true}, defaultTiming)
	first := receive(t, discovery.calls)
	second := receive(t, discovery.calls)
	if !strings.HasSuffix(first, "wait_ms=1000") || !strings.HasSuffix(second, "wait_ms=100") {
		t.Error("first calls", first, second)
	}
	discovery.resets.Store(true)
	discovery.silent.Store(false)
	for range 3 {
		receive(t, discovery.calls)
	}
	discovery.resets.Store(false)
	for version := int64(8); version < 11; version++ {
		discovery.version.Store(version)
		if kind := receive(t, events); kind != choice.ListChange {
			t.Error("event", kind)
		}
	}
}

// TestPollTimes checks the waits against what counts as delivered: 2 s after a poll's wait, and the drain grace after
// that.
func TestPollTimes(t *testing.T) {
	const (
		longestFirstBackoff = 750 * time.Millisecond // of the balancer
		reloadLimit         = 4 * time.Second        // for a new discovery's list, after SIGHUP
		shortestGrace       = 500 * time.Millisecond
		graceMargin         = 500 * time.Millisecond
	)
	for _, grace := range []time.Duration{0, 200 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
		waits := map[time.Duration]bool{}
		for seed := range uint64(50) {
			watch := New(nil, "", nil, Mode{DrainGrace: grace}, seed, nil)
			wait, timeout := watch.pollTimes()
			waits[wait] = true
			// After SIGHUP, with a first call that hangs and the longest of the balancer's first backoffs.
			list := watch.listTimeout()
			if list > maxListTimeout || list+longestFirstBackoff > reloadLimit+max(grace, shortestGrace) {
				t.Errorf("grace %v: %v for a list", grace, list)
			}
			waitInRange := wait >= 8*time.Second && wait <= 10*time.Second
			if !waitInRange || timeout > 1500*time.Millisecond || timeout > grace+graceMargin {
				t.Errorf("grace %v: a wait of %v and %v for its response", grace, wait, timeout)
			}
		}
		if len(waits) < 40 {
			t.Errorf("only %d different waits", len(waits))
		}
	}
}

// TestAddressChange has an agent that is gone replaced by another one, whose full list is asked for.
func TestAddressChange(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	discovery := startDiscovery(t, 9)
	watch, events := startWatch(t, closed.Addr().String(), nil, Mode{Pushed: true}, defaultTiming)
	watch.loop.Post(func() { watch.SetAddress(discovery.addr) })
	if call := receive(t, discovery.calls); call != "1 /v1/servers" {
		t.Error("the first call to the new address is", call)
	}
	if kind := receive(t, events); kind != choice.ListChange {
		t.Error("event", kind)
	}
}

// TestUnreadableResponse has responses that can't be decoded: what they held counts as delivered, so each call is
// repeated at once and not left to the balancer's intervals. One that is unreadable twice is a failed call.
func TestUnreadableResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n"
	wantEvents := map[int]choice.ListKind{1: choice.ListChange, 2: choice.ListUnavailable}
	for name, response := range map[string]string{
		"cut":     head + `{"version":9,"full":tr`,
		"garbage": head + strings.Repeat("x", 39),
		"state": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" +
			`{"version":9,"full":false,"servers":[{"id":"s","state":"NAPPING"}]}`,
		"no HTTP": "nonsense\r\n\r\n",
		"half":    "HTTP/1.1 200 O",
	} {
		for times, want := range wantEvents {
			discovery := startDiscovery(t, 9)
			for range times {
				discovery.raw <- response
			}
			_, events := startWatch(t, discovery.addr, &List{Version: 7}, Mode{}, defaultTiming)
			if kind := receive(t, events); kind != want || len(discovery.calls) < 2 {
				t.Errorf("%s, %d times: event %v after %d calls, want %v",
					name, times, kind, len(discovery.calls), want)
			}
		}
	}
}

// TestVersionDecreases has discovery come back with an older state: the full list is asked for, since changes alone
// don't tell what else it has forgotten.
func TestVersionDecreases(t *testing.T) {
	discovery := startDiscovery(t, 3)
	_, events := startWatch(t, discovery.addr, &List{Version: 7}, Mode{}, defaultTiming)
	receive(t, events)
	first := receive(t, discovery.calls)
	second := receive(t, discovery.calls)
	third := receive(t, discovery.calls)
	fullList := second == "1 /v1/servers"
	if !strings.Contains(first, "after=7&") || !fullList || !strings.Contains(third, "after=3&") {
		t.Error("calls", first, second, third)
	}
}

// TestDrip has a response come byte by byte without end: its timeout is not extended by what drips in, and the poll is
// repeated on a new connection.
func TestDrip(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, listener)
	dripping := make(chan int, 16)
	go acceptAll(listener, func(conn net.Conn, number int) {
		_, _ = http.ReadRequest(bufio.NewReader(conn)) // what is written below shows whether the watch had sent one
		dripping <- number
		send(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
		drip(conn)
	})
	startWatch(t, listener.Addr().String(), &List{Version: 7}, Mode{}, shortTiming())
	seen := map[int]bool{}
	for range 3 {
		seen[receive(t, dripping)] = true
	}
	if len(seen) != 3 {
		t.Error("not each on a connection of its own:", seen)
	}
}
