package node

import (
	"errors"
	"fmt"
)

// ErrVoter means that the node is a voter of its fleet but this program contains no voter.
var ErrVoter = errors.New("this node is a voter of its fleet and must be started with spurwinch-voter")

// errUnknownCluster means that a file names a cluster that the node doesn't have.
var errUnknownCluster = errors.New("must be the name of a cluster of this node")

// unknownTargetError means that a transferred connection belongs to a front or cluster that this process doesn't have.
type unknownTargetError struct {
	kind string // front or cluster
	name string
}

func (e *unknownTargetError) Error() string {
	return fmt.Sprintf("this process has no %s %q", e.kind, e.name)
}

// policyCapacityError means that a policy requires more than this node has.
type policyCapacityError struct{ reason string }

func (e *policyCapacityError) Error() string { return "policy: " + e.reason }

// policyConflictError means that a setting has different values in the node's file and in the fleet's policy in use.
type policyConflictError struct {
	key      string
	inFile   any
	inPolicy any
	number   uint64 // number of the policy
}

func (e *policyConflictError) Error() string {
	return fmt.Sprintf("%s is %v, policy %d of the fleet has %v: "+
		"use spurwinchctl policy propose to change a setting of the policy", e.key, e.inFile, e.number, e.inPolicy)
}
