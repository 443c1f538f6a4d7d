// Package hotrestart lets a new process of a node take over from the running one without a client noticing.
//
// The running process (the parent) listens on a Unix socket at a path that both processes derive from the node's
// address. A starting process (the successor) connects there and sends a hello. The parent answers with a Grant, which
// holds its listening sockets, its endpoint list, its learned state and a quota of the node's descriptors. The
// connection between the two, the link, stays open as long as both run, so the end of the link shows that the other
// process has ended, for whatever cause.
//
// Once the successor is ready and the parent is draining, the parent transfers its open connections in batches. The
// parent offers a batch with its descriptors, the successor accepts or rejects the batch, and the parent closes its own
// copies of an accepted batch and then commits it. At each moment exactly one of the two processes may use a
// connection; docs/operators-days.md describes what happens when either process ends during a transfer.
//
// The package only moves descriptors and messages. The node decides what to grant and which connections to transfer. A
// Coordinator runs on the event loop and owns the links; RequestGrant is called before the event loop runs.
package hotrestart
