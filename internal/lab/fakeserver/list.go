package fakeserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// maxWatch limits how long a watch waits for a change.
const maxWatch = time.Minute

// ListEntry is one server of an endpoint list, in the format of the discovery API.
type ListEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"` // Unix time in milliseconds; 0: started long ago
}

// EncodeList returns a full endpoint list in the format of the discovery API.
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
		panic(err) // can't happen: the list holds only names and numbers
	}
	return raw
}

// ServeList answers a request for an endpoint list, either immediately or, if the request is a watch, when a newer
// version than the requested one exists or the watch times out. encode returns the current list. The caller closes
// changed at the next change, and stop when pending requests are to be dropped without an answer.
func ServeList(
	w http.ResponseWriter, r *http.Request, version int64, changed, stop <-chan struct{}, encode func() json.RawMessage,
) {
	if !awaitNewer(r, version, changed, stop) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encode()) // if the write fails, the node polls again
}

// awaitNewer waits until a newer version than the requested one exists or the wait time of the request is over. It
// returns false if the request needs no answer because stop was closed or the node has cancelled the request.
func awaitNewer(request *http.Request, version int64, changed, stop <-chan struct{}) bool {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)          // an invalid number counts as 0
	milliseconds, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64) // an invalid number counts as 0
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
