package trace

// Reason is the reason why a node gave an answer of its own. Its value is its name in logs and metrics, which
// operators' tools depend on.
type Reason string

// Reasons for answers that no decision of the balancer caused. choice.Reason has the reasons of the balancer.
const (
	// Stopping means that the node is draining.
	Stopping Reason = "node_stopping"
	// NoFileDescriptor means that the node has no file descriptor left for the connection to a server.
	NoFileDescriptor Reason = "no_descriptor"
	// NoPolicy means that the node has no policy in force for the class.
	NoPolicy Reason = "no_policy_in_force"
	// IDInUse means that another request with the same id is in flight.
	IDInUse Reason = "id_in_use"
	// ServerLost means that the server failed after its first bytes had reached the client.
	ServerLost Reason = "host_lost_after_its_first_bytes"
	// PastDeadline means that the deadline passed before the server answered.
	PastDeadline Reason = "past_deadline"
	// Unreachable means that the node can't reach the server of a connection that was open before the node started.
	Unreachable Reason = "standing_host_unreachable"
	// LostByBalancer means that the balancer did not answer by the deadline.
	LostByBalancer Reason = "lost_by_module"
	// UnsafeToReject means that the balancer decided to promise that a retry is harmless, but the invariant monitor
	// objected.
	UnsafeToReject Reason = "unsafe_to_refuse"
)

// Close is the reason why a client's connection ended. Its value is its name in logs and metrics, which operators'
// tools depend on.
type Close string

// Reasons for closing a client's connection.
const (
	// ClientEnded means that the client closed the connection normally.
	ClientEnded Close = "client_ended"
	// ClientReset means that the client's connection broke.
	ClientReset Close = "client_reset"
	// ClientBrokeProtocol means that the client violated the protocol.
	ClientBrokeProtocol Close = "client_broke_protocol"
	// ClientTimedOut means that the client sent nothing in time.
	ClientTimedOut Close = "client_silent"
	// ClientEvicted means that the client was idle and the node needed its slot for another client.
	ClientEvicted Close = "client_evicted"
	// ServerEnded means that the server closed the connection normally.
	ServerEnded Close = "host_ended"
	// ServerReset means that the server's connection broke.
	ServerReset Close = "host_reset"
	// ServerServed means that the node forwarded the server's complete answer.
	ServerServed Close = "host_served_to_its_end"
	// NodeAnswered means that the node gave an answer of its own.
	NodeAnswered Close = "node_answered"
	// NodeStopping means that the node is stopping.
	NodeStopping Close = "node_stopping"
	// NodeMigratedClient means that the node asked the client to reconnect.
	NodeMigratedClient Close = "node_moved_client"
	// Transferred means that another process of the node took the connection over.
	Transferred Close = "handed_over"
)
