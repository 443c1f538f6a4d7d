package choice

import (
	"testing"
	"time"
)

// One connection that breaks must not turn anybody away; many that do must, and be forgotten in time.
func TestThrottle(t *testing.T) {
	var limiter throttle
	now := time.Hour
	if p := limiter.admitRate(now); p != 1 {
		t.Errorf("a new node lets in %.2f", p)
	}
	limiter.add(now, 1, 1)
	limiter.add(now, 0, -1)
	if p := limiter.admitRate(now); p != 1 {
		t.Errorf("after one connection that broke %.2f are let in", p)
	}
	for range 20 {
		limiter.add(now, 1, 1)
		limiter.add(now, 0, -1)
	}
	if p := limiter.admitRate(now); p > 0.2 {
		t.Errorf("while each connection is dropped %.2f are let in", p)
	}
	if p := limiter.admitRate(now + time.Minute); p != 1 {
		t.Errorf("a minute later %.2f are let in", p)
	}
	for range 100 { // four in five last
		limiter.add(now, 1, 1)
	}
	for range 20 {
		limiter.add(now, 0, -1)
	}
	if p := limiter.admitRate(now); p < 0.7 || p > 0.9 { // a bound of 1.1 for each that lasts
		t.Errorf("with four connections in five lasting %.2f are let in", p)
	}
	for range 300 { // nineteen in twenty last
		limiter.add(now+time.Minute, 1, 1)
	}
	limiter.add(now+time.Minute, 0, -15)
	if p := limiter.admitRate(now + time.Minute); p < 0.99 {
		t.Errorf("with nineteen connections in twenty lasting %.2f are let in", p)
	}
}
