package edge

import "spurwinch/choice"

// MayRedirect reports whether the core may move an unanswered request to the given server with one more attempt.
func (r *Request) MayRedirect(sticky choice.ServerID) bool {
	server := r.core.servers[sticky]
	return r.waiting() && r.OpenAt == "" && r.attempt != nil &&
		r.attemptCount < r.core.options.Settings.Limits.MaxAttempts &&
		server != nil && server.State == choice.Ready
}

// RedirectTo cancels the current attempt and notifies the balancer that the given server holds the session which the
// request resumes. The front end guarantees that the client has received nothing from the first server that binds the
// client to that server.
func (r *Request) RedirectTo(sticky choice.ServerID) {
	r.StickyServer = sticky
	r.committed = false
	r.core.notify(choice.StickyServerFound{ID: r.ID, Server: sticky})
	r.attempt.giveUp(choice.Cancelled)
}

// Redirected reports that a server has redirected the request to another server, given by its address or id. The front
// end calls it before the attempt ends. Redirected ignores servers that are draining or not in the endpoint list.
func (r *Request) Redirected(to string) {
	for _, server := range r.core.servers {
		if (server.Addr == to || string(server.ID) == to) && server.State == choice.Ready {
			r.core.notify(choice.StickyServerFound{ID: r.ID, Server: server.ID})
		}
	}
}
