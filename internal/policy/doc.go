// Package policy decides how a fleet's policy changes. The policy is one document, the same for all nodes: request
// classes, tenants' quotas, attempts and the rules of failover between zones. Each accepted document has a number.
//
// A change passes through stages. Each stage is one entry of the fleet's replicated log:
//
//	Propose -> checking: every live member acknowledges that it can apply the document
//	        -> canary:   some members apply it first, and their rejections are compared with the others' (optional)
//	        -> Commit:   the document comes into force
//	        or Abort:    the previous document stays in force
//
// A member applies a document only while it has a lease. A lease lasts for a limited time after a moment at which the
// leader was certainly the leader and named the number in force. Without a lease, the member uses the base policy of
// its last document or rejects requests. A base policy may therefore be in use at the same time as any later document.
// For this reason, Propose rejects a document that forbids what such a base policy allows.
//
// The fleet agent (internal/failover/agent) owns the State, keeps it in the log and on disk, and on the leader also
// owns the Rollout. internal/config reads a Document from TOML, internal/node applies it on top of the node's own
// settings, and spurwinchctl checks and compares documents. The package does no I/O, starts no goroutine and reads no
// clock. Callers pass the time in. States are immutable values; each change creates a new one.
//
// The golden files under testdata fix the encoded forms: CBOR arrays in the log and in messages, and JSON names in
// answers to operators. A type with the tag toarray is encoded by position, so its fields must keep their order.
package policy
