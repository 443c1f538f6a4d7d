package agent

import (
	"testing"
	"time"
)

// TestCallsThatAreNotAnswered checks the error of a call that a node can't answer: is the call wrong, or the node the
// wrong one?
func TestCallsThatAreNotAnswered(t *testing.T) {
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
			`no call "dance": status, plan, drain, undrain, explain, ended, ` +
				`policy, policy-propose and policy-abort are there`,
		},
		{
			"a zone that isn't listed",
			Call{Verb: string(VerbDrain), Arg: "x"},
			true, false,
			`no zone "x": one of [y z] is wanted`,
		},
		{"a node that doesn't lead", Call{Verb: string(VerbDrain), Arg: "y"}, false, true, "this node does not lead"},
		{
			"evidence at a node that doesn't lead",
			Call{Verb: string(VerbExplain), Arg: "y"},
			false, true,
			"this node does not lead: evidence is with the one that does",
		},
		{
			"a proposal at a node that doesn't vote",
			Call{Verb: string(VerbEnded), Arg: "id"},
			false, true,
			"this node does not vote: voters know how proposals ended",
		},
		{
			"a policy in a fleet without",
			Call{Verb: string(VerbPolicy)},
			true, false,
			"this fleet has no policy on its log: [policy] in the list of nodes has it",
		},
		{"a status", Call{Verb: string(VerbStatus)}, false, false, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			list, key := agent.options.List, agent.options.Key
			message, ok := agent.Answer(Seal(key, list, 0, test.call), time.Second)
			if !ok {
				t.Fatal("the call is not answered, wanted a reply")
			}
			reply, err := Unseal(key, list, message)
			if err != nil {
				t.Fatal(err)
			}
			if reply.Error != test.wantReason || reply.BadCall != test.wantBad || reply.Retry != test.wantRetry {
				t.Errorf("replied %+v, wanted %+v", reply, test)
			}
			if reply.Node != "a" || reply.Zone != "z" {
				t.Errorf("reply of %q in %q, wanted a in z", reply.Node, reply.Zone)
			}
		})
	}
}

// TestReadToken holds that a token is read as it was written, and nothing else is.
func TestReadToken(t *testing.T) {
	token := readToken{term: 3, confirmation: 14}
	if read, err := parseReadToken(token.String()); err != nil || read != token {
		t.Errorf("token %q read as %+v, %v, wanted %+v", token, read, err, token)
	}
	for _, text := range []string{"", "3", "3/", "/14", "3/14/15", "-3/14", "a/b"} {
		if read, err := parseReadToken(text); err == nil {
			t.Errorf("token %q read as %+v, wanted an error", text, read)
		}
	}
}
