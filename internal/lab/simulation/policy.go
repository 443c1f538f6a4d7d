package simulation

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/lab/faults"
	"spurwinch/internal/policy"
)

// Runs without servers (Options.FleetOnly) test policy changes with hundreds of nodes and thousands of seeds. In such a
// run a node consists of its fleet agent only and admits or rejects a simulated request from time to time.

// requestInterval is the mean time between two requests at a node in a run without servers.
const requestInterval = 120 * time.Millisecond

// Keys of the simulated policy documents. A document is a list of KEY=VALUE pairs.
const (
	keyAttempts    = "attempts"
	keyNewer       = "newer" // nodes of an older version don't know this key
	keyDescriptors = "room"  // some nodes have too few descriptors for a document with this key
)

// Each node whose index modulo smallNodeInterval equals smallNodeRemainder has too few descriptors for a document with
// keyDescriptors and does not accept it.
const (
	smallNodeInterval  = 7
	smallNodeRemainder = 3
)

var (
	errUnknownKey        = errors.New("line 1: newer: no such key")
	errTooFewDescriptors = errors.New("[needs] descriptors = 4096: this node has 1024")
)

// policyRules are the rules of policy changes in a run without servers.
var policyRules = policy.Rules{Window: 5 * time.Second, AnswerTimeout: 6 * time.Second}

// healthyObservations returns what a decision module observes when all servers are healthy.
func (n *node) healthyObservations() choice.Observations {
	var observed choice.Observations
	for _, zone := range n.world.zones {
		observed.Zones = append(observed.Zones, choice.ZoneObservations{
			Zone: zone, Ready: 4, Capacity: 4, Load: 1, Cost: 0.01, Attempts: 5,
			OwnLoad: make([]float64, len(n.world.classes)),
		})
	}
	observed.Classes = make([]choice.ClassObservations, len(n.world.classes))
	return observed
}

// readDocument decodes a simulated policy document. It returns an error if the node does not accept the document.
func (n *node) readDocument(text []byte) (*policy.Document, error) {
	document := &policy.Document{
		Attempts: 4,
		Classes:  []policy.Class{{Name: "gold", SetupObjective: time.Second, Deadline: 4 * time.Second, Priority: 1}},
	}
	for _, setting := range strings.Fields(string(text)) {
		key, value, _ := strings.Cut(setting, "=")
		switch {
		case key == keyNewer && n.olderVersion:
			return nil, errUnknownKey
		case key == keyDescriptors && n.index%smallNodeInterval == smallNodeRemainder:
			return nil, errTooFewDescriptors
		case key == keyAttempts:
			attempts, err := strconv.Atoi(value)
			if err != nil {
				return nil, fmt.Errorf("line 1: attempts: %w", err)
			}
			document.Attempts = attempts
		}
	}
	return document, nil
}

// policyOptions returns the agent's options for policy changes.
func (n *node) policyOptions() *agent.Policy {
	return &agent.Policy{
		Rules:  policyRules,
		Read:   n.readDocument,
		Counts: func() (float64, float64) { return n.requests, n.rejections },
	}
}

// scheduleRequest makes requests arrive at the node for as long as its process runs. Requests that arrive while the
// node is paused wait until it resumes.
func (n *node) scheduleRequest() {
	interval := time.Duration(float64(requestInterval) * (0.5 + n.world.rng.Float64()))
	n.schedule(n.world.now+interval, func() {
		n.requests++
		active, leaseEnd := n.agent.ActivePolicy()
		admittedBy := faults.AdmittedByLease
		if !active.Known || n.clock() >= leaseEnd {
			n.rejections++
			admittedBy = faults.NotAdmitted
		}
		n.world.record(faults.Event{
			Kind: faults.KindAdmission, Node: n.name, Zone: n.zone, Number: active.Number, Detail: admittedBy,
		})
		n.scheduleRequest()
	})
}
