package policy

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Document is what all nodes of a fleet do alike. Package config reads it from TOML.
type Document struct {
	Attempts          int           // attempts of one request at most, 1 to config.MaxAttempts
	RetryAfter        time.Duration // advice to clients whose request is rejected
	OverQuotaPriority float64       // fraction of its priority that a connection keeps beyond its tenant's quota
	Classes           []Class
	Tenants           []Tenant
	Base              BasePolicy
	Requirements      Requirements
	Failover          *FailoverRules // nil: as the list of nodes says
}

// Class is a class of requests.
type Class struct {
	Name             string
	SetupObjective   time.Duration // latency objective of the connection's setup
	Deadline         time.Duration // of the setup with all its attempts
	MessageObjective time.Duration // latency objective of a message on an open connection; 0: none
	Priority         float64
	ServedByBase     bool // without a lease it is served by the base policy; else it is rejected at once
}

// Tenant is a customer's quota over all nodes. A value of 0 is not limited.
type Tenant struct {
	Name        string
	Connections float64 // open connections
	Rate        float64 // requests a second
}

// BasePolicy is what a node without a lease serves by. It must be safe beside each document that may be in force
// meanwhile.
type BasePolicy struct {
	Attempts int           // attempts of one request at most; 0: there is no base policy
	Deadline time.Duration // deadline of a request
}

// Requirements are the resources that a node must have. A value of 0 is not required.
type Requirements struct {
	Descriptors int // file descriptors that the process may open
	MemoryMB    int // megabytes
}

// FailoverRules are the rules of the plans that move load between zones.
type FailoverRules struct {
	UtilizationLimit float64       // fraction of a server's capacity that is planned for
	RecoveryRamp     float64       // fraction of a recovered zone's capacity that is given back each second
	RecoveryDelay    time.Duration // a zone must be healthy for so long before it takes load again
	RegionalClasses  []string      // names of the classes that must stay in their region
	RegionDistances  []RegionDistance
}

// RegionDistance is the relative cost of traffic between two regions, in either direction.
type RegionDistance struct {
	A, B string
	Cost float64 // 1 or more; within a region it is 1
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

// Digest identifies a document's text in logs and answers to operators. It is a checksum, no protection from forgery.
func Digest(text []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(text)) }
