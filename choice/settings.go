package choice

import (
	"errors"
	"fmt"
	"time"
)

// ServerID identifies a server. The package compares, sorts and hashes IDs but does not interpret them.
type ServerID string

// RequestID identifies a request and the connection that results from it. The package does not interpret it.
type RequestID string

// Settings is the configuration of one node. Zero values mean "unknown" or "not allowed".
type Settings struct {
	Nodes     int    // number of nodes that share the fleet, including this one
	Node      int    // this node's number, from 0
	Processes int    // processes that currently share this node's quota in equal parts; 0: one
	Zone      string // this node's zone
	Classes   []Class
	Tenants   []Tenant
	// GroupAffinity indicates that connections of one group share work. Each server with a connection of the group has
	// to do that work once.
	GroupAffinity bool
	// PacketPassThrough indicates that nodes pass packets through, so that an open connection can move to another node,
	// where it arrives as a mid-flow request.
	PacketPassThrough bool
	Park              time.Duration // parkS of the platform's settings; not used by the package
	Subscribe         bool          // the server list must be polled with WatchList; otherwise changes are pushed
	Reports           ReportSource  // source of load reports
	ReportFields      []ReportField // the values of a report, in order
	Sizes             SizeKind      // meaning of Server.Size
	// DelaysObserved indicates that the node sends a DelayObservation for slow messages. Otherwise only reports show
	// that a server is full.
	DelaysObserved bool
	// OverQuotaPriority is the fraction of its priority that a request keeps if its tenant is over its quota.
	OverQuotaPriority float64
	PriorityPerWork   bool          // priorities are per unit of work instead of per request
	RoundTrip         time.Duration // longest time between a decision and the event that answers it
	// InitialCost is the load that a mean connection adds to a server of size 1; 0: a default is used until it is
	// learned.
	InitialCost float64
	Limits      Limits
	Rules       Rules
	Costs       Costs
}

// Class is a class of requests. It is passed to the next process with each open connection, and the tags are the field
// names in that encoding.
type Class struct {
	Name string `cbor:"Name"`
	// Removed indicates that the class was removed from the settings. Only requests that arrived before still have it.
	Removed        bool          `cbor:"Former"`
	SetupObjective time.Duration `cbor:"SetupAim"` // latency objective of a connection setup
	Deadline       time.Duration `cbor:"Deadline"` // how long a client waits in total
	// MessageObjective is the latency objective of a message on an open connection; 0: none.
	MessageObjective time.Duration `cbor:"MessageAim"`
	Priority         float64       `cbor:"Worth"`
	Idempotency      Idempotency   `cbor:"Repeat"`
	// IdempotencyScope is, for IdempotentByKey, the set of servers that recognize a repeated request.
	IdempotencyScope Scope `cbor:"Scope"`
	// IdempotencyWindow is, for IdempotentByKey, how long servers recognize a repeated request, counted from the start
	// of the attempt that may have run.
	IdempotencyWindow time.Duration `cbor:"Window"`
}

// keyExpiresAt returns the time at which the servers forget the idempotency key of a request that was sent at the given
// time. It returns 0 if requests of the class have no keys.
func (c *Class) keyExpiresAt(sent time.Duration) time.Duration {
	if c.Idempotency != IdempotentByKey {
		return 0
	}
	return sent + c.IdempotencyWindow
}

// Tenant is a customer with a quota of the fleet.
type Tenant struct {
	Name        string
	Rate        float64 // quota of requests per second, over all nodes
	Connections float64 // quota of open connections, over all nodes; 0: unknown
	Share       float64 // quota as a fraction of the fleet
}

// Idempotency determines whether a request may run twice.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run twice
	IdempotentByKey                    // may run twice within the class's scope and window
	NotIdempotent                      // must not run twice
)

// Scope is the set of servers that share the idempotency keys of requests.
type Scope uint8

// The scopes of an idempotency key.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// ReportSource is the source of load reports. It must not have a String method, since its number is part of stored
// data.
type ReportSource uint8

// The sources of load reports.
const (
	NoReports          ReportSource = iota
	HealthCheckReports              // in the results of health checks only
	AllReports                      // in the results of health checks and in outcomes of attempts
)

// ReportField identifies one value of a load report. It must not have a String method, since its number is part of
// stored data.
type ReportField uint8

// The values of a load report.
const (
	OtherField  ReportField = iota // a value that the package does not use
	Load                           // offered load as a fraction of the server's capacity
	Backlog                        // seconds of work queued
	InFlight                       // requests or connections in flight
	Queue                          // requests waiting
	Utilization                    // busy fraction of the CPU
	Latency                        // recent service time, ms
	Throughput                     // requests served per second
	ErrorRate                      // errors per second
)

// SizeKind is the meaning of Server.Size. It must not have a String method, since its number is part of stored data.
type SizeKind uint8

// The kinds of sizes.
const (
	NoSize      SizeKind = iota
	NominalSize          // the registered size, at least approximately
	LiveSize             // the registered size divided by 1 + requests in flight per core, as of some time ago
)

// Limits determines what a node may do.
type Limits struct {
	MaxAttempts    int  // maximum number of attempts of one request
	HealthChecks   bool // HealthCheck actions are allowed
	Cancellation   bool // attempts may be cancelled
	PeerMessages   bool // nodes may send messages to each other
	HedgedRequests bool // a request may have two attempts at the same time; the package doesn't use this
	RetryAfter     bool // rejections tell clients how long to wait before they retry
	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration
}

// Rules has the parameters of the four rules (see the package comment).
type Rules struct {
	AnswerSlack       time.Duration // how long after its deadline a request may be answered
	MaxPollInterval   time.Duration // longest time between polls for a list that is unavailable
	DrainGrace        time.Duration // how long a server may still get new connections after it began to drain
	SlowStartFraction float64       // minimum fraction of its capacity with which a server starts
	WarmUp            time.Duration // time from the start until a server has its complete capacity
	OverloadMultiple  float64       // a server fails if sent more than this multiple of its capacity for OverloadTime
	OverloadTime      time.Duration // how long such an overload must last before the server fails
}

// Costs has the costs of activities, each as the fraction of the service that one unit of the activity costs. The
// package uses only HealthCheck and PeerMessage.
type Costs struct {
	HealthCheck float64
	Migration   float64
	PeerMessage float64 // 256 bytes of messages to other nodes
	CrossZone   float64
	LateFailure float64
	Waste       float64
}

var (
	// ErrNoClasses is returned for settings without a request class.
	ErrNoClasses = errors.New("choice: settings have no request class; at least one is required")
	// ErrNegativeCount is returned for settings with a negative number of nodes, processes or attempts.
	ErrNegativeCount = errors.New("choice: numbers of nodes, processes and attempts must not be negative")
)

// ClassError is returned for a class with an unknown idempotency or scope.
type ClassError struct {
	Class int // index in Settings.Classes
}

// Error returns a message with the index of the class.
func (e *ClassError) Error() string {
	return fmt.Sprintf("choice: class %d: unknown idempotency or scope", e.Class)
}

// Check validates settings for New and SettingsChanged. It returns ErrNoClasses, ErrNegativeCount or a *ClassError if
// they are invalid.
func (s Settings) Check() error {
	switch {
	case len(s.Classes) == 0:
		return ErrNoClasses
	case s.Limits.MaxAttempts < 0 || s.Nodes < 0 || s.Processes < 0:
		return ErrNegativeCount
	}
	for i, class := range s.Classes {
		if class.Idempotency > NotIdempotent || class.IdempotencyScope > ScopeCell {
			return &ClassError{Class: i}
		}
	}
	return nil
}

// meaning returns a text with the settings that determine the meaning of learned values. Values learned under a
// different meaning belong to another deployment. The text is stored and sent with numbers, so the types above must not
// get String methods.
func (s Settings) meaning() string {
	//nolint:staticcheck // QF1010 would print the fields as characters, but the stored text has their numbers
	return fmt.Sprint(s.Reports, s.ReportFields, s.Sizes, s.PriorityPerWork, s.DelaysObserved)
}

// shortestMessageObjective returns the strictest latency objective of messages among the classes in use, or 0 if there
// is none.
func (s Settings) shortestMessageObjective() (shortest time.Duration) {
	for _, class := range s.Classes {
		objective := class.MessageObjective
		if !class.Removed && objective > 0 && (shortest == 0 || objective < shortest) {
			shortest = objective
		}
	}
	return shortest
}
