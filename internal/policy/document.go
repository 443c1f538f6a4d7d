package policy

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Document holds the settings that are the same on all nodes of a fleet. Package config reads it from TOML.
type Document struct {
	Attempts          int           // maximum for one request, 1 to MaxAttempts
	RetryAfter        time.Duration // advertised to clients whose request is rejected
	OverQuotaPriority float64       // fraction of its priority that a connection beyond its tenant's quota keeps
	Classes           []Class
	Tenants           []Tenant
	Base              BasePolicy
	Requirements      Requirements
	Failover          *FailoverRules // nil: the rules of the list of nodes apply
}

// Class is a class of requests.
type Class struct {
	Name             string
	SetupObjective   time.Duration // latency objective of the connection's setup
	Deadline         time.Duration // for the setup, including all attempts
	MessageObjective time.Duration // latency objective of a message on an open connection; 0: none
	Priority         float64
	ServedByBase     bool // without a lease: true applies the base policy, false rejects requests at once
}

// Tenant holds a customer's quota over all nodes. A value of 0 means unlimited.
type Tenant struct {
	Name        string
	Connections float64 // open connections
	Rate        float64 // requests a second
}

// BasePolicy is the policy that a node without a lease uses. It must be safe to use alongside every document that may
// be in force at that time.
type BasePolicy struct {
	Attempts int           // maximum for one request; 0: there is no base policy
	Deadline time.Duration // deadline of a request
}

// Requirements holds the resources that a node must have. A value of 0 means no requirement.
type Requirements struct {
	Descriptors int // file descriptors that the process may open
	MemoryMB    int // megabytes
}

// FailoverRules holds the rules for the plans that move load between zones.
type FailoverRules struct {
	UtilizationLimit float64       // fraction of a server's capacity that plans may use
	RecoveryRamp     float64       // fraction of a recovered zone's capacity that is restored each second
	RecoveryDelay    time.Duration // how long a zone must be healthy before it takes load again
	RegionalClasses  []string      // names of the classes that must stay in their region
	RegionDistances  []RegionDistance
}

// RegionDistance is the relative cost of traffic between two regions, in either direction.
type RegionDistance struct {
	A, B string
	Cost float64 // at least 1, which is the cost within a region
}

// Limits of a document.
const (
	// MaxTextBytes bounds a document's text, in bytes.
	MaxTextBytes = 32 << 10
	// MaxAttempts is the most attempts that a request may take.
	MaxAttempts = 4

	maxClasses          = 32
	maxTenants          = 256
	maxRetryAfter       = time.Minute
	maxDeadline         = time.Hour
	maxPriority         = 1e9 // exclusive
	minUtilizationLimit = 0.1 // exclusive
	minRecoveryDelay    = time.Second
	maxRecoveryDelay    = time.Hour
	minRegionCost       = 1
)

// Digest returns a checksum that identifies a document's text in logs and in answers to operators. It does not protect
// against forgery.
func Digest(text []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(text)) }
