package failover

import (
	"testing"
	"time"
)

// TestZoneReturnsOnceInFlapPeriod checks that a zone that is lost again soon after its recovery stays lost until
// flapPeriod has passed since that recovery, even if its servers answer during that time.
func TestZoneReturnsOnceInFlapPeriod(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.run(10 * time.Second)
	first := fleet.loseAndReturn("a")
	second := fleet.loseAndReturn("a")
	if apart := second - first; apart < flapPeriod {
		t.Errorf("time between two recoveries of the zone: got %v, want at least %v", apart, flapPeriod)
	}
}

// loseAndReturn makes a zone's servers fail for five seconds, and returns the time of the zone's recovery after that.
func (f *testFleet) loseAndReturn(zone string) time.Duration {
	f.t.Helper()
	f.failing[zone] = true
	f.run(5 * time.Second)
	if state := f.planner.zoneStates[zone].state; state != Lost {
		f.t.Fatalf("state of zone %s with all servers failing: got %v, want lost", zone, state)
	}
	delete(f.failing, zone)
	for range 2 * flapPeriod / StepInterval {
		f.run(StepInterval)
		if f.planner.zoneStates[zone].state == Returning {
			return f.now
		}
	}
	f.t.Fatalf("state of zone %s with all servers answering: got no recovery within %v, want one", zone, 2*flapPeriod)
	return 0
}
