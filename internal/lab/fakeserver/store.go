package fakeserver

import (
	"sync"
	"time"

	"spurwinch/internal/plan/fleet"
)

// sessionStore is the session store: one queue of calls for all servers.
type sessionStore struct {
	store fleet.Store

	mu   sync.Mutex
	free time.Time // when all calls so far are done
}

// call returns how long a call takes that begins now.
func (s *sessionStore) call(now time.Time) time.Duration {
	if s.store.Rate <= 0 {
		return time.Duration(s.store.Latency)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free.Before(now) {
		s.free = now
	}
	wait := s.free.Sub(now)
	s.free = s.free.Add(time.Duration(1e9 / s.store.Rate))
	return wait + time.Duration(s.store.Latency)
}
