package failover

import (
	"testing"
	"time"
)

// TestZoneReturnsOnceInFlapPeriod holds that a zone that is lost again soon after it came back stays lost until the
// flap period since then is over, also where its servers answer all the while.
func TestZoneReturnsOnceInFlapPeriod(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.run(10 * time.Second)
	first := fleet.loseAndReturn("a")
	second := fleet.loseAndReturn("a")
	if apart := second - first; apart < flapPeriod {
		t.Errorf("the zone came back %v after it had come back before, want %v at least", apart, flapPeriod)
	}
}

// loseAndReturn has a zone's servers fail for a while and gives the time when the zone comes back then.
func (f *testFleet) loseAndReturn(zone string) time.Duration {
	f.t.Helper()
	f.failing[zone] = true
	f.run(5 * time.Second)
	if state := f.planner.zoneStates[zone].state; state != Lost {
		f.t.Fatalf("with all servers failing, zone %s is %v, want it lost", zone, state)
	}
	delete(f.failing, zone)
	for range 2 * flapPeriod / StepInterval {
		f.run(StepInterval)
		if f.planner.zoneStates[zone].state == Returning {
			return f.now
		}
	}
	f.t.Fatalf("zone %s hasn't come back within %v", zone, 2*flapPeriod)
	return 0
}
