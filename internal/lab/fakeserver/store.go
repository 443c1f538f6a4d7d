package fakeserver

import (
	"sync"
	"time"

	"spurwinch/internal/plan/fleet"
)

// sessionStore simulates the session store. All servers share one queue of calls.
type sessionStore struct {
	store fleet.Store

	mu   sync.Mutex
	free time.Time // when all calls so far will be done
}

// call queues a call and returns how long it takes.
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
