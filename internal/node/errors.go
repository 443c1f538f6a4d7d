package node

import (
	"errors"
	"fmt"
)

// ErrVoter means that the node is a voter of its fleet and that this program has no voter.
var ErrVoter = errors.New("this node is a voter of its fleet: spurwinch-voter is to be started in its place")

// errUnknownCluster means that a file names a cluster that the node doesn't have.
var errUnknownCluster = errors.New("no cluster has this name")

// unknownTargetError means that a transferred connection belongs to a front or cluster that this process doesn't have.
type unknownTargetError struct {
	kind string // front or cluster
	name string
}

func (e *unknownTargetError) Error() string { return fmt.Sprintf("no %s %q here", e.kind, e.name) }

// policyCapacityError means that a policy requires more than this node has.
type policyCapacityError struct{ reason string }

func (e *policyCapacityError) Error() string { return "policy: " + e.reason }

// policyConflictError means that a node's file and the fleet's policy in use have different values of a setting.
type policyConflictError struct {
	key      string
	inFile   any
	inPolicy any
	number   uint64 // of the policy
}

func (e *policyConflictError) Error() string {
	return fmt.Sprintf("%s is %v, policy %d of the fleet has %v: "+
		"what is common is changed by spurwinchctl policy propose", e.key, e.inFile, e.number, e.inPolicy)
}
