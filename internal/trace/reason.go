package trace

// AnswerReason is the reason why a node gave an answer of its own. Its value is its name in logs and metrics, which
// operators' tools depend on.
type AnswerReason string

// Reasons for answers that no decision of the balancer caused. choice.Reason has the reasons of the balancer.
const (
	// Stopping means that the node is draining.
	Stopping AnswerReason = "node_stopping"
	// NoFileDescriptor means that the node has no file descriptor left for the connection to a server.
	NoFileDescriptor AnswerReason = "no_descriptor"
	// NoPolicy means that the node has no policy in force for the class.
	NoPolicy AnswerReason = "no_policy_in_force"
	// IDInUse means that another request with the same id is in flight.
	IDInUse AnswerReason = "id_in_use"
	// ServerLost means that the server failed after its first bytes had reached the client.
	ServerLost AnswerReason = "host_lost_after_its_first_bytes"
	// PastDeadline means that the deadline passed before the server answered.
	PastDeadline AnswerReason = "past_deadline"
	// Unreachable means that the node can't reach the server of a connection that was open before the node started.
	Unreachable AnswerReason = "standing_host_unreachable"
	// BalancerTimedOut means that the balancer did not answer by the deadline.
	BalancerTimedOut AnswerReason = "lost_by_module"
	// UnsafeToReject means that the balancer decided to promise that a retry is harmless, but the invariant monitor
	// objected.
	UnsafeToReject AnswerReason = "unsafe_to_refuse"
)

// CloseReason is the reason why a client's connection ended. Its value is its name in logs and metrics, which
// operators' tools depend on.
type CloseReason string

// Reasons for closing a client's connection.
const (
	// ClientEnded means that the client closed the connection normally.
	ClientEnded CloseReason = "client_ended"
	// ClientReset means that the client's connection broke.
	ClientReset CloseReason = "client_reset"
	// ClientBrokeProtocol means that the client violated the protocol.
	ClientBrokeProtocol CloseReason = "client_broke_protocol"
	// ClientTimedOut means that the client sent nothing in time.
	ClientTimedOut CloseReason = "client_silent"
	// ClientEvicted means that the client was idle and the node needed its slot for another client.
	ClientEvicted CloseReason = "client_evicted"
	// ServerEnded means that the server closed the connection normally.
	ServerEnded CloseReason = "host_ended"
	// ServerReset means that the server's connection broke.
	ServerReset CloseReason = "host_reset"
	// ServerServed means that the node forwarded the server's complete answer.
	ServerServed CloseReason = "host_served_to_its_end"
	// NodeAnswered means that the node gave an answer of its own.
	NodeAnswered CloseReason = "node_answered"
	// NodeStopping means that the node is stopping.
	NodeStopping CloseReason = "node_stopping"
	// NodeMigratedClient means that the node asked the client to reconnect.
	NodeMigratedClient CloseReason = "node_moved_client"
	// Transferred means that another process of the node took the connection over.
	Transferred CloseReason = "handed_over"
)
