package edge

import "spurwinch/choice"

// MayRedirect reports whether a request that has no answer yet may go to another server with one more attempt.
func (r *Request) MayRedirect(sticky choice.ServerID) bool {
	server := r.core.servers[sticky]
	return r.waiting() && r.OpenAt == "" && r.attempt != nil &&
		r.attemptCount < r.core.options.Settings.Limits.MaxAttempts &&
		server != nil && server.State == choice.Ready
}

// RedirectTo cancels the current attempt and notifies the balancer of where the session that the request resumes lives.
// The front vouches that nothing the client has seen of the first server binds it to that one.
func (r *Request) RedirectTo(sticky choice.ServerID) {
	r.StickyServer = sticky
	r.committed = false
	r.core.notify(choice.StickyServerFound{ID: r.ID, Server: sticky})
	r.attempt.giveUp(choice.Cancelled)
}

// Redirected says that a server has named another one, by its address or id, before its attempt ends. A server that
// is not in the endpoint list, or is draining, is ignored.
func (r *Request) Redirected(to string) {
	for _, server := range r.core.servers {
		if (server.Addr == to || string(server.ID) == to) && server.State == choice.Ready {
			r.core.notify(choice.StickyServerFound{ID: r.ID, Server: server.ID})
		}
	}
}
