package soak

import (
	"testing"
	"time"
)

// history is a judge with one node, two hosts in two zones, and a request of a class.
type history struct {
	judge *Judge
	hosts []*host
	r     *request
}

func newHistory(class int) *history {
	l := &lab{judge: newJudge(), discovery: newDiscovery(nil)}
	l.discovery.behave(down) // what nodes are told is what the test says
	n := &node{lab: l, name: "n", leaving: map[*host]time.Time{}, starts: map[*host][]time.Time{}}
	h := &history{judge: l.judge, r: &request{id: "q", class: &classes[class], node: n, sent: time.Now(), deadline: time.Now().Add(time.Second)}}
	for _, id := range []string{"h0", "h1"} {
		h.hosts = append(h.hosts, &host{id: id, zone: id, judge: l.judge, state: "SERVING"})
	}
	h.judge.asked(h.r)
	return h
}

// tries has the request come to a host, so long ago, and end there with what the host said.
func (h *history) tries(host int, ago time.Duration, said string) *try {
	y := h.judge.arrives(h.hosts[host])
	y.first = y.first.Add(-ago)
	h.judge.comes("q", y)
	if said != "out" {
		h.judge.done(y, said, said == "BUSY")
	}
	return y
}

// TestJudge has each promise broken by a short history, and the same history kept but for its last cause.
func TestJudge(t *testing.T) {
	const read, post, pay = 0, 1, 2
	for name, c := range map[string]struct {
		class int
		play  func(h *history)
		want  Promise
	}{
		"served":                        {read, func(h *history) { h.tries(0, 0, "UP"); h.judge.answers(h.r, "UP"); h.judge.owns(h.r, "q@h0") }, ""},
		"another host's receipt":        {read, func(h *history) { h.tries(0, 0, "UP"); h.judge.owns(h.r, "q@h1") }, Receipt},
		"four tries":                    {read, func(h *history) { repeated(h, 4) }, ""},
		"five tries":                    {read, func(h *history) { repeated(h, 5) }, Attempts},
		"two at once":                   {read, func(h *history) { h.tries(0, 0, "out"); h.tries(1, 0, "UP") }, Attempts},
		"a repeat of what never ran":    {pay, func(h *history) { h.tries(0, 0, "BUSY"); h.tries(1, 0, "UP") }, ""},
		"a repeat of what may have run": {pay, func(h *history) { h.tries(0, 0, "ERR"); h.tries(1, 0, "UP") }, Effect},
		"BUSY after what may have run":  {pay, func(h *history) { h.tries(0, 0, "ERR"); h.judge.answers(h.r, "BUSY") }, Effect},
		"ERR after what may have run":   {pay, func(h *history) { h.tries(0, 0, "ERR"); h.judge.answers(h.r, "ERR") }, ""},
		"keyed, another zone":           {post, func(h *history) { h.tries(0, 0, "ERR"); h.tries(1, 0, "UP") }, Effect},
		"keyed, the same zone":          {post, func(h *history) { h.tries(0, 0, "ERR"); h.tries(0, 0, "UP") }, ""},
		"keyed, past the window":        {post, func(h *history) { h.tries(0, 3*time.Second, "ERR"); h.tries(0, 0, "UP") }, Effect},
		"late": {read, func(h *history) {
			h.r.deadline = time.Now().Add(-answerSlack - time.Millisecond)
			h.judge.answers(h.r, "BUSY")
		}, Answer},
		"after its client":       {read, func(h *history) { h.judge.leaves(h.r); h.r.left = h.r.left.Add(-time.Second); h.tries(0, 0, "UP") }, Gone},
		"before its client left": {read, func(h *history) { h.judge.leaves(h.r); h.tries(0, time.Millisecond, "UP") }, ""},
		"after its answer": {read, func(h *history) {
			h.judge.answers(h.r, "BUSY")
			h.r.answered = h.r.answered.Add(-time.Second)
			h.tries(0, 0, "UP")
		}, Attempts},
		"a host told to leave": {read, func(h *history) { drained(h, drainGrace+drainSlack+time.Second); h.tries(0, 0, "UP") }, Drain},
		"a host in its grace":  {read, func(h *history) { drained(h, drainGrace/2); h.tries(0, 0, "UP") }, ""},
	} {
		h := newHistory(c.class)
		c.play(h)
		h.judge.finish()
		switch found := h.judge.violations; {
		case c.want == "" && len(found) > 0:
			t.Errorf("%s: %v", name, found)
		case c.want != "" && (len(found) == 0 || found[0].Promise != c.want):
			t.Errorf("%s: %v; %s is wanted", name, found, c.want)
		}
	}
}

func repeated(h *history, times int) {
	for range times {
		h.tries(0, 0, "ERR")
	}
}

func drained(h *history, ago time.Duration) {
	h.hosts[0].drain()
	h.r.node.leaving[h.hosts[0]] = time.Now().Add(-ago)
}
