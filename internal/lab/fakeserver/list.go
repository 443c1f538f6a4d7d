package fakeserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// ListEntry is a server on a list in discovery's form.
type ListEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// EncodeList is a whole list of servers in discovery's form.
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

// ServeList answers a call to a list, at once or, as a watch, when there is something newer than the version that the call names. encode gives
// the list as it is then; changed is closed at the next change, stop when nobody is to be answered any more.
func ServeList(w http.ResponseWriter, r *http.Request, version int64, changed, stop <-chan struct{}, encode func() json.RawMessage) {
	if !awaitNewer(r, version, changed, stop) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(encode())
}

// awaitNewer waits, as a call asks it to, for something newer than the version that it names; ok is false where nobody is to be answered any
// more.
func awaitNewer(r *http.Request, version int64, changed, stop <-chan struct{}) (ok bool) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	ms, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if !r.URL.Query().Has("after") || after < version {
		return true
	}
	t := time.NewTimer(time.Duration(min(ms, 60000)) * time.Millisecond)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-stop:
		return false
	case <-r.Context().Done():
		return false
	}
	return true
}
