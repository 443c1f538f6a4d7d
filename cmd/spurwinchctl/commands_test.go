package main

import (
	"errors"
	"testing"

	"spurwinch/internal/failover/agent"
)

func TestParseSeeds(t *testing.T) {
	for _, test := range []struct {
		value       string
		first, last uint64
		valid       bool
	}{
		{"1..20", 1, 20, true},
		{"7..7", 7, 7, true},
		{"0..999999", 0, 999999, true},
		{"0..1000000", 0, 0, false},
		{"2..1", 0, 0, false},
		{"1", 0, 0, false},
		{"1..", 0, 0, false},
		{"..1", 0, 0, false},
		{"a..b", 0, 0, false},
	} {
		first, last, err := parseSeeds(test.value)
		if first != test.first || last != test.last || (err == nil) != test.valid {
			t.Errorf("parseSeeds(%q): got %d, %d, error %v, want %d, %d, valid %v",
				test.value, first, last, err, test.first, test.last, test.valid)
		}
	}
}

func TestDetectKind(t *testing.T) {
	for _, test := range []struct {
		content string
		want    fileKind
	}{
		{"spurwinch capture 1\n", kindCapture},
		{"[fleet]\n[[fault]]\n", kindScenario},
		{"[[node]]\nname = \"a\"\naddr = \"127.0.0.1:1\"\n", kindFleetList},
		{"[[node]]\nname = \"a\"\n", kindFleetFile},
		{"[[class]]\npatience = \"1s\"\n", kindPolicy},
		{"[[class]]\npatience = \"1s\"\n[[cluster]]\n", kindOperatorFile},
		{"key_file = \"k\"\n[fleet]\n", kindOperatorFile},
		{"", kindOperatorFile},
	} {
		if got := detectKind([]byte(test.content)); got != test.want {
			t.Errorf("detectKind(%q): got %q, want %q", test.content, got, test.want)
		}
	}
}

func TestReplyError(t *testing.T) {
	for _, test := range []struct {
		name   string
		reply  agent.Reply
		status int
		cause  error
	}{
		{"no error", agent.Reply{}, statusOK, nil},
		{"invalid call", agent.Reply{Error: "no zone", BadCall: true}, statusBadInput, nil},
		{"not the leader", agent.Reply{Error: "this node does not lead"}, statusNegative, errNotLeader},
		{"other error", agent.Reply{Error: "no policy"}, statusNegative, nil},
	} {
		err := replyError(&test.reply)
		if test.status == statusOK {
			if err != nil {
				t.Errorf("%s: got error %v, want no error", test.name, err)
			}
			continue
		}
		var status statusError
		if !errors.As(err, &status) || status.status != test.status || status.text != test.reply.Error {
			t.Errorf("%s: got error %#v, want status %d and the reply's text", test.name, err, test.status)
		}
		if errors.Is(err, errNotLeader) != (test.cause != nil) {
			t.Errorf("%s: got cause %v, want %v", test.name, status.cause, test.cause)
		}
	}
}

func TestScenarioName(t *testing.T) {
	for _, test := range []struct{ subject, name, want string }{
		{exploreFailover, "", "drawn"},
		{exploreFailover, "calm", "calm"},
		{explorePolicy, "", "policy-drawn"},
		{explorePolicy, "calm", "policy-calm"},
		{explorePolicy, "policy-calm", "policy-calm"},
	} {
		if got := scenarioName(test.subject, test.name); got != test.want {
			t.Errorf("scenarioName(%q, %q): got %q, want %q", test.subject, test.name, got, test.want)
		}
	}
}
