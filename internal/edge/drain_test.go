package edge

import (
	"fmt"
	"testing"
	"time"

	"spurwinch/choice"
)

// openClient is a client whose connection stays open until it is migrated.
type openClient struct {
	harness    *harness
	migratedAt time.Time
	by         time.Time
}

func (c *openClient) Attempt(a *Attempt) UpstreamRequest {
	c.harness.At(c.harness.now, a.Established)
	return c
}
func (c *openClient) GiveUp()               {}
func (c *openClient) LocalReply(LocalReply) {}
func (c *openClient) Migrate(by time.Time) {
	c.migratedAt = c.harness.now
	c.by = by
}

// TestDrainUsesAvailableTime checks that open connections stay as long as the platform's time for a shutdown allows,
// since the node that was restarted before may not be running yet, and that no connection is left well before the
// platform may kill the process.
func TestDrainUsesAvailableTime(t *testing.T) {
	for _, test := range []struct{ deadline, first, last time.Duration }{
		{4 * time.Second, 1500 * time.Millisecond, 3200 * time.Millisecond},
		{time.Second, 450 * time.Millisecond, 1200 * time.Millisecond},
	} {
		begin := time.Unix(1_800_000_000, 0)
		harness := newHarness(t, begin, 1, 1)
		core := harness.create(Options{Settings: choice.Settings{
			Classes: []choice.Class{{Name: "c", SetupObjective: test.deadline / 2, Deadline: test.deadline}},
			Limits:  choice.Limits{MaxAttempts: 4},
		}})
		core.Start(serversNamed("s"))
		var clients []*openClient
		for i := range 20 {
			client := &openClient{harness: harness}
			spec := Spec{
				ID: choice.RequestID(fmt.Sprint(i)), Tenant: -1, OpenAt: "s",
				Deadline: harness.now.Add(test.deadline),
			}
			core.Open(spec, client)
			clients = append(clients, client)
		}
		harness.run(begin.Add(time.Second / 4))
		from := harness.now
		core.Drain(func() {})
		harness.run(from.Add(maxDeadline + killDelay))
		first, last := time.Duration(1<<62), time.Duration(0)
		for _, client := range clients {
			first = min(first, client.migratedAt.Sub(from))
			last = max(last, client.by.Sub(from)) // an incomplete line of the server may delay the end until then
		}
		if first < test.first || last > test.last || last-first < (test.last-test.first)/2 {
			t.Errorf("deadline %v: got migrations from %v to %v, want between %v and %v, over at least half of that",
				test.deadline, first, last, test.first, test.last)
		}
	}
}
