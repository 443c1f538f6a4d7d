// Package policy decides how a fleet's policy changes. The policy is one document, the same for all nodes: request
// classes, tenants' quotas, attempts and the rules of failover between zones. Each accepted document has a number.
//
// A change passes through stages, each of them one entry of the fleet's replicated log:
//
//	Propose -> checking: every live member acknowledges that it can serve by the document
//	        -> canary:   some members serve by it first, and their rejections are compared with the others' (optional)
//	        -> Commit:   the document is in force, or Abort: the one before it stays in force
//
// A member serves by a number only while it has a lease: for a limited time after a moment at which the leader surely
// led and named the number in force. Without a lease it serves by the base policy of its last document, or rejects. A
// base policy may therefore be in use beside any later document, and a document that forbids what such a base policy
// allows is not accepted.
//
// Who calls it: the fleet agent (internal/failover/agent) owns the State, keeps it on the log and on disk, and on the
// leader owns the Rollout. internal/config reads a Document from TOML, internal/node puts it over the node's own
// settings, and spurwinchctl checks and compares documents. The package does no I/O, starts no goroutine and reads no
// clock: time is passed in, and States are values that are replaced, never modified.
//
// The encoded forms (CBOR arrays on the log and in messages, JSON names in answers to operators) are fixed by the
// golden files under testdata. The order of the fields of a type with the tag toarray is its form.
package policy
