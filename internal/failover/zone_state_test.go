package failover

import (
	"testing"
	"time"
)

// TestZoneReturnsOnceInFlapPeriod holds that a zone that is lost again soon after it came back stays lost until the
// flap period since then is over, also where its servers answer all the while.
func TestZoneReturnsOnceInFlapPeriod(t *testing.T) {
	play := newSchedule(t)
	play.run(10 * time.Second)
	first := play.loseAndReturn("a")
	second := play.loseAndReturn("a")
	if apart := second - first; apart < flapPeriod {
		t.Errorf("the zone came back %v after it had come back before, want %v at least", apart, flapPeriod)
	}
}

// loseAndReturn has a zone's servers fail for a while and gives the time when the zone comes back then.
func (s *schedule) loseAndReturn(zone string) time.Duration {
	s.t.Helper()
	s.failing[zone] = true
	s.run(5 * time.Second)
	if state := s.planner.zoneStates[zone].state; state != Lost {
		s.t.Fatalf("with all servers failing, zone %s is %v, want it lost", zone, state)
	}
	delete(s.failing, zone)
	for range 2 * flapPeriod / StepInterval {
		s.run(StepInterval)
		if s.planner.zoneStates[zone].state == Returning {
			return s.now
		}
	}
	s.t.Fatalf("zone %s hasn't come back within %v", zone, 2*flapPeriod)
	return 0
}
