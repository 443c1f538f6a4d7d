package trace

// Reason is why a node gave an answer of its own. Its value is its name in logs and figures, which operators' tools
// know.
type Reason string

// The reasons of answers that no decision of the balancer stands behind; choice.Reason has the balancer's.
const (
	// Stopping: the node is draining.
	Stopping Reason = "node_stopping"
	// NoFileDescriptor: the node has no file descriptor left for the connection to a server.
	NoFileDescriptor Reason = "no_descriptor"
	// NoPolicy: the node has no policy in force for the class.
	NoPolicy Reason = "no_policy_in_force"
	// IDInUse: another request with the same id is in flight.
	IDInUse Reason = "id_in_use"
	// ServerLost: the server failed after its first bytes had reached the client.
	ServerLost Reason = "host_lost_after_its_first_bytes"
	// PastDeadline: the deadline came first.
	PastDeadline Reason = "past_deadline"
	// Unreachable: the server of a connection that was open before the node started can't be reached.
	Unreachable Reason = "standing_host_unreachable"
	// LostByBalancer: the balancer did not answer by the deadline.
	LostByBalancer Reason = "lost_by_module"
	// UnsafeToReject: the balancer meant to promise that a retry is harmless, and the invariant monitor objected.
	UnsafeToReject Reason = "unsafe_to_refuse"
)

// Close is why a client's connection ended. Its value is its name in logs and figures, which operators' tools know.
type Close string

// The reasons of closes.
const (
	// ClientEnded: the client ended it in order.
	ClientEnded Close = "client_ended"
	// ClientReset: the client's connection broke.
	ClientReset Close = "client_reset"
	// ClientBrokeProtocol: the client broke the protocol.
	ClientBrokeProtocol Close = "client_broke_protocol"
	// ClientTimedOut: the client sent nothing in time.
	ClientTimedOut Close = "client_silent"
	// ClientEvicted: the node needed the place of an idle client.
	ClientEvicted Close = "client_evicted"
	// ServerEnded: the server ended it in order.
	ServerEnded Close = "host_ended"
	// ServerReset: the server's connection broke.
	ServerReset Close = "host_reset"
	// ServerServed: the server's complete answer was forwarded.
	ServerServed Close = "host_served_to_its_end"
	// NodeAnswered: the node gave an answer of its own.
	NodeAnswered Close = "node_answered"
	// NodeStopping: the node stops.
	NodeStopping Close = "node_stopping"
	// NodeMigratedClient: the node asked the client to reconnect.
	NodeMigratedClient Close = "node_moved_client"
	// Transferred: another process of the node has it now.
	Transferred Close = "handed_over"
)
