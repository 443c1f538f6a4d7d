package edge

import (
	"fmt"
	"testing"
	"time"

	"spurwinch/choice"
)

// openClient is a client whose connection is open until it is migrated.
type openClient struct {
	world      *world
	migratedAt time.Time
	by         time.Time
}

func (c *openClient) Attempt(a *Attempt) UpstreamRequest {
	c.world.At(c.world.now, a.Established)
	return c
}
func (c *openClient) GiveUp()               {}
func (c *openClient) LocalReply(LocalReply) {}
func (c *openClient) Migrate(by time.Time) {
	c.migratedAt = c.world.now
	c.by = by
}

// TestPlannedStopTakesTheTimeThereIs checks that open connections stay as long as the platform's time for a stop
// allows, since the node that was restarted before may not be running yet, and that nothing is left well before the
// process may be killed.
func TestPlannedStopTakesTheTimeThereIs(t *testing.T) {
	for _, test := range []struct{ deadline, first, last time.Duration }{
		{4 * time.Second, 1500 * time.Millisecond, 3200 * time.Millisecond},
		{time.Second, 450 * time.Millisecond, 1200 * time.Millisecond},
	} {
		begin := time.Unix(1_800_000_000, 0)
		world := newWorld(t, begin, 1, 1)
		core := world.create(Options{Settings: choice.Settings{
			Classes: []choice.Class{{Name: "c", SetupObjective: test.deadline / 2, Deadline: test.deadline}},
			Limits:  choice.Limits{MaxAttempts: 4},
		}})
		core.Start(serversNamed("s"))
		var clients []*openClient
		for i := range 20 {
			client := &openClient{world: world}
			spec := Spec{
				ID: choice.RequestID(fmt.Sprint(i)), Tenant: -1, OpenAt: "s",
				Deadline: world.now.Add(test.deadline),
			}
			core.Open(spec, client)
			clients = append(clients, client)
		}
		world.run(begin.Add(time.Second / 4))
		from := world.now
		core.Drain(func() {})
		world.run(from.Add(maxDeadline + killDelay))
		first, last := time.Duration(1<<62), time.Duration(0)
		for _, client := range clients {
			first = min(first, client.migratedAt.Sub(from))
			last = max(last, client.by.Sub(from)) // its server may have stopped amid a line
		}
		if first < test.first || last > test.last || last-first < (test.last-test.first)/2 {
			t.Errorf("deadline %v: migrated from %v to %v, want from %v to %v, over half of that at least",
				test.deadline, first, last, test.first, test.last)
		}
	}
}
