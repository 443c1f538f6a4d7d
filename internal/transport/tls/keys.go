package tls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ExpiryWarning is how long before its expiry a certificate starts to be reported.
const ExpiryWarning = 14 * 24 * time.Hour

var (
	errNoCertificate = errors.New("no certificate is configured")
	errNoAuthority   = errors.New("the file contains no PEM certificate")
)

// Pair names the files of a certificate with its chain, and of its private key.
type Pair struct{ Cert, Key string }

// Keys holds the certificates in force. Handshakes may read them while the event loop replaces them.
type Keys struct{ current atomic.Pointer[Set] }

// Set holds certificates that were read and checked together.
type Set struct {
	certificates      []tls.Certificate
	files             []string       // file names of the certificates, in the same order
	clientAuthorities *x509.CertPool // nil: clients are not asked for a certificate
	// configs maps a list of protocols to its *tls.Config. A set keeps its configurations, since a session ticket is
	// valid only with the configuration that issued it.
	configs sync.Map
}

// Read reads certificates and, if clientAuthorities names a PEM file, the authorities that sign the certificates of
// clients. It fails if any of them is invalid. The set is not in force until it is passed to Keys.Use.
func Read(pairs []Pair, clientAuthorities string) (*Set, error) {
	set := &Set{}
	for _, pair := range pairs {
		certificate, err := tls.LoadX509KeyPair(pair.Cert, pair.Key)
		if err != nil {
			return nil, fmt.Errorf("certificate %s with key %s: %w", pair.Cert, pair.Key, err)
		}
		set.certificates = append(set.certificates, certificate)
		set.files = append(set.files, pair.Cert)
	}
	if clientAuthorities == "" {
		return set, nil
	}
	pem, err := os.ReadFile(clientAuthorities)
	if err != nil {
		return nil, fmt.Errorf("read client authorities: %w", err)
	}
	set.clientAuthorities = x509.NewCertPool()
	if !set.clientAuthorities.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("read client authorities %s: %w", clientAuthorities, errNoAuthority)
	}
	return set, nil
}

// Use makes later handshakes use a set. It does not affect established connections.
func (k *Keys) Use(set *Set) { k.current.Store(set) }

// Expiry describes a certificate that expires soon or has expired.
type Expiry struct {
	File  string
	Names []string // DNS names
	At    time.Time
}

// Expiring returns the certificates in force that expire within ExpiryWarning or have expired.
func (k *Keys) Expiring(now time.Time) []Expiry {
	set := k.current.Load()
	if set == nil {
		return nil
	}
	var expiries []Expiry
	for i, certificate := range set.certificates {
		leaf := certificate.Leaf
		if leaf != nil && leaf.NotAfter.Sub(now) < ExpiryWarning {
			expiries = append(expiries, Expiry{File: set.files[i], Names: leaf.DNSNames, At: leaf.NotAfter})
		}
	}
	return expiries
}

// Config returns a configuration for handshakes. Each handshake uses the set that is in force when it begins. The
// protocols are offered by ALPN; if there are none, the client's ALPN request is ignored.
func (k *Keys) Config(protocols ...string) *tls.Config {
	configForClient := func(*tls.ClientHelloInfo) (*tls.Config, error) {
		set := k.current.Load()
		if set == nil || len(set.certificates) == 0 {
			return nil, errNoCertificate
		}
		return set.config(protocols), nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: configForClient}
}

// config returns the set's configuration for a list of protocols. It is safe for concurrent use.
func (s *Set) config(protocols []string) *tls.Config {
	key := strings.Join(protocols, " ")
	if cached, ok := s.configs.Load(key); ok {
		return cached.(*tls.Config) //nolint:forcetypeassert // only this method stores in configs
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: protocols, GetCertificate: s.selectCertificate}
	if s.clientAuthorities != nil {
		config.ClientAuth = tls.VerifyClientCertIfGiven
		config.ClientCAs = s.clientAuthorities
	}
	cached, _ := s.configs.LoadOrStore(key, config)
	return cached.(*tls.Config) //nolint:forcetypeassert // only this method stores in configs
}

// selectCertificate returns the first certificate that is valid for the server name in the client's hello and that the
// client supports. If there is none, it returns the first certificate of the set.
func (s *Set) selectCertificate(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
	hello.ServerName = strings.TrimSuffix(hello.ServerName, ".")
	for i := range s.certificates {
		if hello.SupportsCertificate(&s.certificates[i]) == nil {
			return &s.certificates[i], nil
		}
	}
	return &s.certificates[0], nil
}
