package agent

import (
	"testing"
	"time"
)

// TestCallErrors checks the errors of calls that a node can't handle, in particular whether the reply reports that the
// call is invalid or that the caller can retry it.
func TestCallErrors(t *testing.T) {
	agent := newTestAgent(t)
	for _, test := range []struct {
		name       string
		call       Call
		wantBad    bool
		wantRetry  bool
		wantReason string
	}{
		{
			"an unknown verb",
			Call{Verb: "dance"},
			false, false,
			`unknown call "dance": the calls are status, plan, drain, undrain, explain, ended, ` +
				`policy, policy-propose and policy-abort`,
		},
		{
			"a zone that isn't listed",
			Call{Verb: string(VerbDrain), Arg: "x"},
			true, false,
			`unknown zone "x": must be one of [y z]`,
		},
		{"a node that doesn't lead", Call{Verb: string(VerbDrain), Arg: "y"}, false, true, "this node does not lead"},
		{
			"evidence at a node that doesn't lead",
			Call{Verb: string(VerbExplain), Arg: "y"},
			false, true,
			"this node does not lead: only the leader has the evidence",
		},
		{
			"a proposal at a node that doesn't vote",
			Call{Verb: string(VerbOutcome), Arg: "id"},
			false, true,
			"this node does not vote: only voters know proposals' outcomes",
		},
		{
			"a policy call in a fleet without a policy",
			Call{Verb: string(VerbPolicy)},
			true, false,
			"this fleet has no policy in its log: [policy] in the list of nodes enables it",
		},
		{"a status call", Call{Verb: string(VerbStatus)}, false, false, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			list, key := agent.options.List, agent.options.Key
			message, ok := agent.Answer(Seal(key, list, 0, test.call), time.Second)
			if !ok {
				t.Fatal("Answer returned no reply, want one")
			}
			reply, err := Unseal(key, list, message)
			if err != nil {
				t.Fatal(err)
			}
			if reply.Error != test.wantReason || reply.BadCall != test.wantBad || reply.Retry != test.wantRetry {
				t.Errorf("Answer: got reply %+v, want the error, BadCall and Retry of %+v", reply, test)
			}
			if reply.Node != "a" || reply.Zone != "z" {
				t.Errorf("sender of the reply: got node %q in zone %q, want node a in zone z", reply.Node, reply.Zone)
			}
		})
	}
}

// TestReadToken checks that a token's text is parsed to the same token, and that any other text is an error.
func TestReadToken(t *testing.T) {
	token := readToken{term: 3, confirmation: 14}
	if read, err := parseReadToken(token.String()); err != nil || read != token {
		t.Errorf("parse token %q: got %+v, %v, want %+v", token, read, err, token)
	}
	for _, text := range []string{"", "3", "3/", "/14", "3/14/15", "-3/14", "a/b"} {
		if read, err := parseReadToken(text); err == nil {
			t.Errorf("parse token %q: got %+v, want an error", text, read)
		}
	}
}
