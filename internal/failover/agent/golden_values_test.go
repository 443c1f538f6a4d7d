package agent

import (
	"testing"

	"spurwinch/internal/consensus"
	"spurwinch/internal/failover"
	"spurwinch/internal/membership"
	"spurwinch/internal/policy"
)

// The values in the golden files have every field set. Fields have different values as far as their types allow.

func goldenList(tb testing.TB) *membership.List {
	tb.Helper()
	list, err := membership.NewList([]membership.Node{
		{Name: "a", Zone: "z1", Region: "r1"},
		{Name: "b", Zone: "z1", Region: "r1"},
		{Name: "c", Zone: "z2", Region: "r2"},
		{Name: "v", Zone: "z2", Region: "r2", Voter: true},
	})
	if err != nil {
		tb.Fatal(err)
	}
	return list
}

func goldenSummary() failover.EvidenceSummary {
	return failover.EvidenceSummary{
		Zone:     "z1",
		Classes:  []string{"c1", "c2"},
		Arrived:  []float32{1.5, 2},
		Rejected: []float32{3, 4.25},
		Zones: []failover.ZoneEvidence{{
			Zone: "z2", Nodes: 5, Ready: 6, Ejected: 7, Capacity: 8.5, Load: 9, Cost: 10.125, Attempts: 11, Failed: 12,
			OwnLoad: []float32{13, 14},
		}},
		Nodes: []failover.NodeStatus{{
			Node: 1, Plan: 15, Unreachable: []int{2, 3},
			Policy: &policy.MemberStatus{
				Entry: 16, Verdict: policy.VerdictReject, Reason: "too old", KnownNumber: 17, AppliedNumber: 18,
				MayServe: true, Arrived: 19, Rejected: 20,
			},
		}},
	}
}

func goldenPlan() *failover.Plan {
	return &failover.Plan{
		Zones: []failover.Zone{{
			Name: "z1", Region: "r1", State: failover.Returning, Nodes: 1, Listed: 2, Capacity: 3, Demand: []float32{4},
			GuestLoad: 5, Flaps: 6, LeaseOwner: 1, Reserve: 7,
		}, {
			Name: "z2", Region: "r2", State: failover.Lost, Nodes: 8, Listed: 9, Capacity: 10, Demand: []float32{11},
			GuestLoad: 12, Flaps: 13, LeaseOwner: 2, Reserve: 14,
		}},
		Classes: []string{"c1"},
		Grants: []failover.Grant{
			{From: 1, To: 1, Load: 16, RegionLoad: 15},
			{To: 1, Load: 18, RegionLoad: 17},
		},
		StayInRegion:    []bool{true},
		AdmitFractions:  [][]int{{100}, {200}},
		GrantLifetime:   19,
		LostNodes:       []int{3},
		Reason:          "z2 lost",
		EarlierLoads:    [][]float32{{20, 21}, {22, 23}},
		EarlierReserves: []failover.CapacityReserve{{Zone: 1, Owner: 2, Load: 24}},
		Previous:        25,
	}
}

func goldenPolicyState() *policy.State {
	return &policy.State{
		Number:     3,
		LastNumber: 4,
		Documents:  []policy.VersionedDocument{{Number: 3, Text: []byte("third")}},
		Change: &policy.Change{
			ID: "c-4", Number: 4, Base: 3, Text: []byte("fourth"), Stage: policy.StageCanary,
			Canary: policy.Canary{Zone: "z1", OneIn: 2, Seconds: 30.5, MaxExtraRejections: 0.25},
		},
		Ended: []policy.ChangeOutcome{{ID: "c-3", Number: 3, Accepted: true, Reason: "nobody objected"}},
		Bases: []policy.VersionedBase{{Number: 3, Attempts: 5, Deadline: 700}},
	}
}

func goldenDigest() consensus.Digest {
	kinds := []consensus.KindDigest{{Kind: 1, Index: 32, EntryDigest: 33}, {Kind: 3, Index: 34, EntryDigest: 35}}
	return consensus.Digest{LogID: 31, Kinds: kinds}
}

func goldenNotice() policy.LeaderNotice {
	return policy.LeaderNotice{Entry: 36, InForce: 37, CanaryNumber: 38, Window: 39}
}

func goldenReply() Reply {
	return Reply{
		Error: "an error", BadCall: true, Retry: true, Leader: "v", Node: "a", Zone: "z1", Mode: "planned", Plan: 1,
		GrantsValidSeconds: 2.5, Log: "00000000000000ff", Term: 3, Leads: true, Voter: true,
		Counts: Counts{Sent: 4, SentBytes: 5, Accepted: 6, Foreign: 7, Corrupt: 8, Late: 9, Dropped: 10},
		Zones: []ZoneReply{{
			Name: "z1", Region: "r1", State: "lost", Nodes: 11, Listed: 12, Capacity: 13.5, GuestLoad: 14.5,
			LeaseOwner: "b", Reserve: 15.5,
			Demand:         map[string]float64{"c1": 16.5},
			Grants:         map[string]float64{"z2": 17.5},
			AdmitFractions: map[string]float64{"c1": 0.5},
		}},
		Reason: "a reason", LostNodes: []string{"c"}, LeasedFrom: map[string]float64{"z2": 18.5},
		LeasedOut: 19.5, Drained: []string{"z2"},
		Nodes:   []NodeReply{{Name: "b", Zone: "z1", Live: true, Plan: 20, LastReportSecondsAgo: 21.5}},
		Explain: []string{"a line"},
		Outcome: &ProposalOutcome{ID: "drain-1", Number: 22, Accepted: true},
		Policy:  goldenPolicyReply(),
	}
}

func goldenPolicyReply() *PolicyReply {
	return &PolicyReply{
		Token: "23/24", Number: 25, Digest: "d25",
		Change: &ChangeReply{
			ID: "c-26", Number: 26, Base: 25, Step: "trial", Digest: "d26", Text: []byte("changed"),
			Part: policy.Canary{Zone: "z1", OneIn: 2, Seconds: 27.5, MaxExtraRejections: 0.25},
		},
		Outcomes:  []policy.ChangeOutcome{{ID: "c-25", Number: 25, Accepted: true, Reason: "nobody objected"}},
		Documents: []policy.VersionedDocument{{Number: 25, Text: []byte("in force")}},
		Entry:     28,
		Window:    29.5,
		Members: []PolicyMember{{
			Name: "a", Live: true, HasStatus: true, KnownNumber: 30, ServedNumber: 31, MayServe: true, Answer: "yes",
		}},
		Bases: []policy.VersionedBase{{Number: 25, Attempts: 32, Deadline: 33}},
	}
}
