package choice

import (
	"testing"
	"time"
)

// TestThrottle checks that a single broken connection causes no rejections, that many broken connections cause
// rejections, and that the throttle forgets them within a minute.
func TestThrottle(t *testing.T) {
	var limiter throttle
	now := time.Hour
	if rate := limiter.admitRate(now); rate != 1 {
		t.Errorf("new node: got admit rate %.2f, want 1", rate)
	}
	limiter.add(now, 1, 1)
	limiter.add(now, 0, -1)
	if rate := limiter.admitRate(now); rate != 1 {
		t.Errorf("after one broken connection: got admit rate %.2f, want 1", rate)
	}
	for range 20 {
		limiter.add(now, 1, 1)
		limiter.add(now, 0, -1)
	}
	if rate := limiter.admitRate(now); rate > 0.2 {
		t.Errorf("all connections dropped: got admit rate %.2f, want at most 0.2", rate)
	}
	if rate := limiter.admitRate(now + time.Minute); rate != 1 {
		t.Errorf("a minute later: got admit rate %.2f, want 1", rate)
	}
	for range 100 { // 4 of 5 connections last
		limiter.add(now, 1, 1)
	}
	for range 20 {
		limiter.add(now, 0, -1)
	}
	// The throttle admits 1.1 requests for each connection that lasts.
	if rate := limiter.admitRate(now); rate < 0.7 || rate > 0.9 {
		t.Errorf("4 of 5 connections last: got admit rate %.2f, want 0.7 to 0.9", rate)
	}
	for range 300 { // 19 of 20 connections last
		limiter.add(now+time.Minute, 1, 1)
	}
	limiter.add(now+time.Minute, 0, -15)
	if rate := limiter.admitRate(now + time.Minute); rate < 0.99 {
		t.Errorf("19 of 20 connections last: got admit rate %.2f, want at least 0.99", rate)
	}
}
