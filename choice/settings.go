package choice

import (
	"errors"
	"fmt"
	"time"
)

// ServerID identifies a server. The package compares, sorts and hashes ids and reads nothing in them.
type ServerID string

// RequestID identifies a request, and the connection that comes of it. The package reads nothing in it.
type RequestID string

// Settings is the configuration of one node. Zero values mean "not known" or "not allowed".
type Settings struct {
	Nodes     int    // nodes that share the fleet, this one among them
	Node      int    // this node's number, from 0
	Processes int    // processes that share this node's quota for now, in equal parts; 0: one
	Zone      string // this node's zone
	Classes   []Class
	Tenants   []Tenant
	// GroupAffinity says that connections of one group share work: each server that has any of a group pays for it.
	GroupAffinity bool
	// PacketPassThrough says that packets pass through: an open connection can reach another node, as a mid-flow
	// request.
	PacketPassThrough bool
	Park              time.Duration // parkS of the platform's settings; the package doesn't use it
	Subscribe         bool          // the server list has to be polled by WatchList; else changes are pushed
	Reports           ReportSource  // where load reports come from
	ReportFields      []ReportField // the values of a report, in order
	Sizes             SizeKind      // what Server.Size means
	// DelaysObserved says that a DelayObservation comes where messages take long; else only reports show a full server.
	DelaysObserved bool
	// OverQuotaPriority is the fraction of its priority that a connection keeps beyond its tenant's quota.
	OverQuotaPriority float64
	PriorityPerWork   bool          // priority counts for each unit of work, not for each request
	RoundTrip         time.Duration // the longest time between a decision and the event that answers it
	// InitialCost is the load that a mean connection puts on a server of size 1; 0: a guess until it is learned.
	InitialCost float64
	Limits      Limits
	Rules       Rules
	Costs       Costs
}

// Class is a class of requests. It goes to the next process with each open connection: the tags name that form.
type Class struct {
	Name string `cbor:"Name"`
	// Removed says that the class left the settings: only requests that came before have it.
	Removed        bool          `cbor:"Former"`
	SetupObjective time.Duration `cbor:"SetupAim"` // latency objective of setting a connection up
	Deadline       time.Duration `cbor:"Deadline"` // how long a client waits in all
	// MessageObjective is the latency objective of a message on an open connection; 0: there is none.
	MessageObjective time.Duration `cbor:"MessageAim"`
	Priority         float64       `cbor:"Worth"`
	Idempotency      Idempotency   `cbor:"Repeat"`
	// IdempotencyScope says, for IdempotentByKey, which servers recognize a repeated request.
	IdempotencyScope Scope `cbor:"Scope"`
	// IdempotencyWindow says, for IdempotentByKey, for how long, from the start of the attempt that may have run.
	IdempotencyWindow time.Duration `cbor:"Window"`
}

// keyExpires is when servers no longer recognize a repeat of what was sent at a time; 0: the class has no key.
func (c *Class) keyExpires(sent time.Duration) time.Duration {
	if c.Idempotency != IdempotentByKey {
		return 0
	}
	return sent + c.IdempotencyWindow
}

// Tenant is a customer with a quota of the fleet.
type Tenant struct {
	Name        string
	Rate        float64 // requests a second inside its quota, over all nodes
	Connections float64 // open connections inside its quota, over all nodes; 0: not known
	Share       float64 // fraction of the fleet that the quota is
}

// Idempotency says what happens when a request runs twice.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // harmless
	IdempotentByKey                    // harmless inside the class's scope and window
	NotIdempotent                      // never allowed
)

// Scope is the set of servers that share what they know of a request with an idempotency key.
type Scope uint8

// The scopes of an idempotency key.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// ReportSource says where load reports come from. It has no String method: its number is part of stored data.
type ReportSource uint8

// The sources of load reports.
const (
	NoReports          ReportSource = iota
	HealthCheckReports              // in the results of health checks only
	AllReports                      // in the results of health checks and in outcomes of attempts
)

// ReportField names one value of a load report. It has no String method: its number is part of stored data.
type ReportField uint8

// The values of a load report.
const (
	OtherField  ReportField = iota // a value that the package has no use for
	Load                           // load offered over what the server can do
	Backlog                        // seconds of work queued
	InFlight                       // requests or connections in flight
	Queue                          // requests waiting
	Utilization                    // busy fraction of the CPU
	Latency                        // recent service time, ms
	Throughput                     // requests served a second
	ErrorRate                      // errors a second
)

// SizeKind says what Server.Size means. It has no String method: its number is part of stored data.
type SizeKind uint8

// The kinds of sizes.
const (
	NoSize      SizeKind = iota
	NominalSize          // the registered size, or about
	LiveSize             // the registered size over 1 + requests in flight a core, some time ago
)

// Limits is what a node may do.
type Limits struct {
	MaxAttempts    int  // for one request
	HealthChecks   bool // HealthCheck actions are allowed
	Cancellation   bool // attempts may be called off
	PeerMessages   bool // nodes may send one another messages
	HedgedRequests bool // two attempts of one request may be out at once; the package never does that
	RetryAfter     bool // rejections say how long clients should stay away
	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration
}

// Rules holds the figures of the four rules.
type Rules struct {
	AnswerSlack       time.Duration // how late after its deadline a request may be answered
	MaxPollInterval   time.Duration // the longest time without asking for a list that was lost
	DrainGrace        time.Duration // a draining server gets no new connection from this after its state changed
	SlowStartFraction float64       // a server starts with this fraction of its capacity or more
	WarmUp            time.Duration // and has all of it after this
	OverloadMultiple  float64       // sent more than this multiple of what it can do
	OverloadTime      time.Duration // for this long, a server fails
}

// Costs are the fractions of the service that one unit of each costs. The package uses HealthCheck and PeerMessage.
type Costs struct {
	HealthCheck float64
	Migration   float64
	PeerMessage float64 // 256 bytes of messages to other nodes
	CrossZone   float64
	LateFailure float64
	Waste       float64
}

var (
	// ErrNoClasses is the error of settings without a request class.
	ErrNoClasses = errors.New("choice: settings have no request class")
	// ErrNegativeCount is the error of settings with a negative number of nodes, processes or attempts.
	ErrNegativeCount = errors.New("choice: settings have a negative count")
)

// ClassError is the error of a class whose idempotency or scope is none of the known ones.
type ClassError struct {
	Class int // index in Settings.Classes
}

// Error names the class by its index.
func (e *ClassError) Error() string {
	return fmt.Sprintf("choice: class %d: unknown idempotency or scope", e.Class)
}

// Check says what is wrong with settings, for New and for SettingsChanged: ErrNoClasses, ErrNegativeCount or a
// *ClassError.
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

// meaning is what of the settings gives learned values their sense: under another meaning they belong to some other
// deployment. The text is stored and sent; numbers stand in it, so the types above must not get String methods.
func (s Settings) meaning() string {
	//nolint:staticcheck // QF1010 would have the fields printed as characters; the stored text has their numbers
	return fmt.Sprint(s.Reports, s.ReportFields, s.Sizes, s.PriorityPerWork, s.DelaysObserved)
}

// shortestMessageObjective is the strictest latency objective of messages among the classes in use; 0: there is none.
func (s Settings) shortestMessageObjective() (shortest time.Duration) {
	for _, class := range s.Classes {
		objective := class.MessageObjective
		if !class.Removed && objective > 0 && (shortest == 0 || objective < shortest) {
			shortest = objective
		}
	}
	return shortest
}
