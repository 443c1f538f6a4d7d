// Package hotrestart lets a new process of a node take over from the running one without a client noticing.
//
// The running process (the parent) listens on a Unix socket at a path that both derive from the node's address. A
// process that starts (the successor) connects there and sends a hello; the parent answers with a Grant: its listening
// sockets, its endpoint list, what it has learned, and a quota of the node's descriptors. The connection between the
// two, the link, stays open as long as both run, so that its end shows that the other process has ended, for whatever
// cause.
//
// Once the successor is ready and the parent is draining, open connections follow in batches. A batch is offered by the
// parent with its descriptors, accepted or rejected by the successor, and committed by the parent, which has closed its
// own copies by then. At each moment exactly one of the two may touch a connection; docs/operators-days.md says what
// follows when either process ends in between.
//
// The package moves descriptors and messages and decides nothing: what is granted, and which connections go, is the
// node's. A Coordinator runs on the event loop and owns the links; RequestGrant runs before that loop does.
package hotrestart
