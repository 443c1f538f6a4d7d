package policy

import (
	"fmt"
	"time"
)

// IncompatibleBaseError means that a document is stricter than a base policy that some node may still use.
type IncompatibleBaseError struct {
	Number      uint64 // number of the document that contained the base policy
	Base        BasePolicy
	Class       string        // class with a deadline below Base.Deadline; empty: Base.Attempts exceeds MaxAttempts
	MaxAttempts int           // most attempts that the document allows; set if Class is empty
	Deadline    time.Duration // deadline of Class
}

// Error describes to operators what the base policy allows and the document forbids.
func (e *IncompatibleBaseError) Error() string {
	if e.Class == "" {
		return fmt.Sprintf(
			"a ground policy with %d attempts may still be in use: attempts = %d is lower (of number %d)",
			e.Base.Attempts, e.MaxAttempts, e.Number)
	}
	return fmt.Sprintf(
		"a ground policy with a patience of %v may still be in use: class %q has only %v (of number %d)",
		e.Base.Deadline, e.Class, e.Deadline, e.Number)
}

// compatibleWith checks that a node that uses this base policy does nothing that document d, once in force, forbids to
// all other nodes. The error names what d forbids. number is the number of the document that contained the base policy.
func (b BasePolicy) compatibleWith(d *Document, number uint64) error {
	if b.Attempts == 0 {
		return nil
	}
	if b.Attempts > d.Attempts {
		return &IncompatibleBaseError{Number: number, Base: b, MaxAttempts: d.Attempts}
	}
	for _, class := range d.Classes {
		if b.Deadline > class.Deadline {
			return &IncompatibleBaseError{Number: number, Base: b, Class: class.Name, Deadline: class.Deadline}
		}
	}
	return nil
}

// NodeCapacity holds the resources of a node. A value of 0 means unknown.
type NodeCapacity struct {
	Descriptors int // file descriptors that the process may open
	MemoryMB    int // megabytes
}

// UnmetRequirement returns the reason why a node can't apply a document, or an empty string if it can. An unknown
// resource of the node is never such a reason.
func (d *Document) UnmetRequirement(node NodeCapacity) string {
	required := d.Requirements
	switch {
	case node.Descriptors > 0 && required.Descriptors > node.Descriptors:
		return fmt.Sprintf("[needs] descriptors = %d: this node has %d", required.Descriptors, node.Descriptors)
	case node.MemoryMB > 0 && required.MemoryMB > node.MemoryMB:
		return fmt.Sprintf("[needs] memory_mb = %d: this node has %d", required.MemoryMB, node.MemoryMB)
	}
	return ""
}
