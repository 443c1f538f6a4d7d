package fakeserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// maxWatch is the longest time that a watch waits for a change.
const maxWatch = time.Minute

// ListEntry is one server of an endpoint list, in discovery's form.
type ListEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"` // Unix time; 0: long ago
}

// EncodeList returns a full endpoint list in discovery's form.
func EncodeList(version int64, servers []ListEntry) json.RawMessage {
	if servers == nil {
		servers = []ListEntry{} // an empty list, not null
	}
	raw, err := json.Marshal(struct {
		Full    bool        `json:"full"`
		Servers []ListEntry `json:"servers"`
		Version int64       `json:"version"`
	}{true, servers, version})
	if err != nil {
		panic(err) // names and numbers only
	}
	return raw
}

// ServeList answers a request for an endpoint list: at once or, as a watch, when there is a newer version than the
// request names. encode returns the list as it is then; changed is closed at the next change, stop when nobody is to be
// answered any more.
func ServeList(
	w http.ResponseWriter, r *http.Request, version int64, changed, stop <-chan struct{}, encode func() json.RawMessage,
) {
	if !awaitNewer(r, version, changed, stop) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encode()) // a node that has gone polls again
}

// awaitNewer waits, for as long as the request says, for a newer version than it names. It reports false where nobody
// is to be answered any more.
func awaitNewer(request *http.Request, version int64, changed, stop <-chan struct{}) bool {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)          // what is no number counts as 0
	milliseconds, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64) // likewise
	if !query.Has("after") || after < version {
		return true
	}
	wait := time.Duration(min(milliseconds, maxWatch.Milliseconds())) * time.Millisecond
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return true
	case <-stop:
		return false
	case <-request.Context().Done():
		return false
	}
}
