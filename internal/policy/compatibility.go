package policy

import (
	"fmt"
	"time"
)

// IncompatibleBaseError says that a document is stricter than a base policy that some node may still serve by.
type IncompatibleBaseError struct {
	Number      uint64 // of the document that the base policy came with
	Base        BasePolicy
	Class       string        // whose deadline is shorter than the base policy's; empty: the attempts are fewer
	MaxAttempts int           // that the document allows
	Deadline    time.Duration // of Class
}

// Error says what the base policy allows and the document forbids, as operators read it.
func (e *IncompatibleBaseError) Error() string {
	if e.Class == "" {
		return fmt.Sprintf("a ground policy with %d attempts may still be in use: attempts = %d is less (of number %d)",
			e.Base.Attempts, e.MaxAttempts, e.Number)
	}
	return fmt.Sprintf(
		"a ground policy with a patience of %v may still be in use: class %q has less, %v (of number %d)",
		e.Base.Deadline, e.Class, e.Deadline, e.Number)
}

// compatibleWith says whether a node that serves by this base policy does nothing that a document in force forbids all
// others; else the error says what. number is that of the document that the base policy came with.
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

// NodeCapacity is the resources that a node has. A value of 0 is not known.
type NodeCapacity struct {
	Descriptors int // file descriptors that the process may open
	MemoryMB    int // megabytes
}

// Fits says why a node can't serve by a document; empty: it can. What is not known of a node is no reason.
func (d *Document) Fits(node NodeCapacity) string {
	required := d.Requirements
	switch {
	case node.Descriptors > 0 && required.Descriptors > node.Descriptors:
		return fmt.Sprintf("[needs] descriptors = %d: this node has %d", required.Descriptors, node.Descriptors)
	case node.MemoryMB > 0 && required.MemoryMB > node.MemoryMB:
		return fmt.Sprintf("[needs] memory_mb = %d: this node has %d", required.MemoryMB, node.MemoryMB)
	}
	return ""
}
