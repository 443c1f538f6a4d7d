package faults

import (
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"spurwinch/internal/lab/fakeserver"
)

const (
	listVersion       = 1 // constant, since the endpoint list never changes
	listHeaderTimeout = 5 * time.Second
	serverState       = "SERVING"
)

// endpointList is a fake of the platform's discovery service. It serves each node at a separate address, since each
// node reaches the servers through its own links and so needs its own list.
type endpointList struct {
	harness *harness
	changed chan struct{} // never closed, so watches end at their timeout
	calls   atomic.Int64
}

// encode returns the list with the addresses at which a node reaches the servers.
func (l *endpointList) encode(n *node) json.RawMessage {
	var entries []fakeserver.ListEntry
	for i, s := range l.harness.servers {
		entries = append(entries, fakeserver.ListEntry{
			ID: s.id, Addr: n.serverLinks[i], Zone: s.zone, Kind: "k", State: serverState, Weight: 1,
		})
	}
	return fakeserver.EncodeList(listVersion, entries)
}

// serve serves the list to a node until the run ends. It returns the address at which the node reaches the list.
func (l *endpointList) serve(caller *node) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	httpServer := &http.Server{Handler: l.handler(caller), ReadHeaderTimeout: listHeaderTimeout}
	go func() { _ = httpServer.Serve(listener) }() // returns when the server is closed
	l.harness.background.Go(func() {
		<-l.harness.done
		closeQuietly(httpServer)
	})
	return l.harness.relay.Link(caller.name, "list", listener.Addr().String(), false)
}

// handler returns the HTTP handler that answers a node's calls.
func (l *endpointList) handler(n *node) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.calls.Add(1)
		encode := func() json.RawMessage { return l.encode(n) }
		fakeserver.ServeList(w, r, listVersion, l.changed, l.harness.done, encode)
	})
}
