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

// TestSilentLongPollIsRepeated checks that a long poll that gets no response is repeated on another connection. The
// balancer's intervals would be too long for a short drain grace, so that drains would be noticed too late.
func TestSilentLongPollIsRepeated(t *testing.T) {
	discovery := startDiscovery(t, 0)
	discovery.silent.Store(true)
	_, events := startWatch(t, discovery.addr, &List{Version: 7}, Mode{}, shortTiming())
	// On a busy machine a connection may be established too late for a call, and calls may arrive in any order.
	seen := map[int]bool{}
	for range 3 {
		call := receive(t, discovery.calls)
		var connection int
		_, err := fmt.Sscanf(call, "%d /v1/servers?after=7&wait_ms=", &connection)
		if err != nil || seen[connection] {
			t.Errorf("got call %q (error %v) after calls on connections %v, want a long poll on a new connection",
				call, err, seen)
		}
		seen[connection] = true
	}
	discovery.silent.Store(false)
	discovery.version.Store(8)
	if kind := receive(t, events); kind != choice.ListChange {
		t.Error("event after the silent calls: want ListChange, got", kind)
	}
}

// TestFailedCallIsReportedAndRepeated checks that the balancer is notified when a call to the service fails, and that
// the watch repeats the call although the balancer doesn't request it.
func TestFailedCallIsReportedAndRepeated(t *testing.T) {
	discovery := startDiscovery(t, 0)
	discovery.resets.Store(true)
	_, events := startWatch(t, discovery.addr, &List{Version: 7}, Mode{}, defaultTiming)
	if kind := receive(t, events); kind != choice.ListUnavailable {
		t.Error("event of a failed call: want ListUnavailable, got", kind)
	}
	receive(t, discovery.calls)
	receive(t, discovery.calls)
}

// TestAgentIsPolledContinuously covers nodes whose lists are pushed to an agent. The agent's state counts as delivered,
// so the watch must poll it continuously, without the balancer, and notify the balancer of lists only.
func TestAgentIsPolledContinuously(t *testing.T) {
	discovery := startDiscovery(t, 0)
	discovery.silent.Store(true)
	_, events := startWatch(t, discovery.addr, &List{Version: 7}, Mode{Pushed: true}, defaultTiming)
	first := receive(t, discovery.calls)
	second := receive(t, discovery.calls)
	if !strings.HasSuffix(first, "wait_ms=1000") || !strings.HasSuffix(second, "wait_ms=100") {
		t.Error("first two calls: want wait_ms=1000 and wait_ms=100, got", first, second)
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
			t.Error("event: want ListChange, got", kind)
		}
	}
}

// TestPollTimes checks the waits and timeouts of calls against the times at which a change counts as delivered: 2 s
// after a poll's wait, and the drain grace after that.
func TestPollTimes(t *testing.T) {
	const (
		longestFirstBackoff = 750 * time.Millisecond // the balancer's first backoff is at most this
		reloadLimit         = 4 * time.Second        // delivery time of a new service's list after SIGHUP
		shortestGrace       = 500 * time.Millisecond
		graceMargin         = 500 * time.Millisecond
	)
	for _, grace := range []time.Duration{0, 200 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
		waits := map[time.Duration]bool{}
		for seed := range uint64(50) {
			watch := New(nil, "", nil, Mode{DrainGrace: grace}, seed, nil)
			wait, timeout := watch.pollTimes()
			waits[wait] = true
			// The first call after SIGHUP hangs, and the balancer's first backoff is the longest possible.
			list := watch.listTimeout()
			if list > maxListTimeout || list+longestFirstBackoff > reloadLimit+max(grace, shortestGrace) {
				t.Errorf("drain grace %v: got list timeout %v, want at most 4s and time for a retry after SIGHUP",
					grace, list)
			}
			waitInRange := wait >= 8*time.Second && wait <= 10*time.Second
			if !waitInRange || timeout > 1500*time.Millisecond || timeout > grace+graceMargin {
				t.Errorf("drain grace %v: got wait %v and timeout %v, want 8s to 10s, at most 1.5s and grace + 500ms",
					grace, wait, timeout)
			}
		}
		if len(waits) < 40 {
			t.Errorf("got %d different waits, want at least 40", len(waits))
		}
	}
}

// TestAddressChangeRequestsFullList replaces the address of an agent that is gone. The watch must request the full list
// from the new agent.
func TestAddressChangeRequestsFullList(t *testing.T) {
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
		t.Error("first call to the new address: want 1 /v1/servers, got", call)
	}
	if kind := receive(t, events); kind != choice.ListChange {
		t.Error("event: want ListChange, got", kind)
	}
}

// TestUnreadableResponseIsRepeated covers responses that can't be decoded. Their content counts as delivered, so the
// call must be repeated at once, without waiting for the balancer's intervals. If the second response can't be decoded
// either, the call has failed.
func TestUnreadableResponseIsRepeated(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n"
	wantEvents := map[int]choice.ListKind{1: choice.ListChange, 2: choice.ListUnavailable}
	for name, response := range map[string]string{
		"truncated list": head + `{"version":9,"full":tr`,
		"invalid JSON":   head + strings.Repeat("x", 39),
		"unknown state": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" +
			`{"version":9,"full":false,"servers":[{"id":"s","state":"UNKNOWN"}]}`,
		"not HTTP":     "nonsense\r\n\r\n",
		"partial head": "HTTP/1.1 200 O",
	} {
		for count, want := range wantEvents {
			discovery := startDiscovery(t, 9)
			for range count {
				discovery.raw <- response
			}
			_, events := startWatch(t, discovery.addr, &List{Version: 7}, Mode{}, defaultTiming)
			if kind := receive(t, events); kind != want || len(discovery.calls) < 2 {
				t.Errorf("%s, %d times: got event %v after %d calls, want %v after at least 2",
					name, count, kind, len(discovery.calls), want)
			}
		}
	}
}

// TestVersionDecreaseRequestsFullList lets the discovery service restart with an older state. The watch must request
// the full list, because the changes alone don't show what else the service has lost.
func TestVersionDecreaseRequestsFullList(t *testing.T) {
	discovery := startDiscovery(t, 3)
	_, events := startWatch(t, discovery.addr, &List{Version: 7}, Mode{}, defaultTiming)
	receive(t, events)
	first := receive(t, discovery.calls)
	second := receive(t, discovery.calls)
	third := receive(t, discovery.calls)
	fullList := second == "1 /v1/servers"
	if !strings.Contains(first, "after=7&") || !fullList || !strings.Contains(third, "after=3&") {
		t.Error("first three calls: want after=7, the full list and after=3, got", first, second, third)
	}
}

// TestDrippingResponseTimesOut lets a response arrive byte by byte without end. The arriving bytes must not extend its
// timeout, and the watch must repeat the poll on a new connection.
func TestDrippingResponseTimesOut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, listener)
	dripping := make(chan int, 16)
	go acceptAll(listener, func(conn net.Conn, number int) {
		_, _ = http.ReadRequest(bufio.NewReader(conn)) // an error doesn't matter: the test checks only the connections
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
		t.Error("three calls: want each on its own connection, got connections", seen)
	}
}
