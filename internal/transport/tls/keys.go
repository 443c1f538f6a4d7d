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

// ExpiryWarning is how long before its expiry a certificate is reported.
const ExpiryWarning = 14 * 24 * time.Hour

var (
	errNoCertificate = errors.New("no certificate is configured")
	errNoAuthority   = errors.New("no PEM certificate in the file")
)

// Pair names the files of a certificate with its chain, and of its private key.
type Pair struct{ Cert, Key string }

// Keys are the certificates in force. Handshakes may read them while the event loop replaces them.
type Keys struct{ current atomic.Pointer[Set] }

// Set is a number of certificates that were read and checked together.
type Set struct {
	certificates      []tls.Certificate
	files             []string       // of the certificates, in the same order
	clientAuthorities *x509.CertPool // nil: clients are asked for no certificate
	// configs has one *tls.Config a list of protocols, which is the key. A set keeps its configurations, as a session
	// ticket is valid only with the configuration that issued it.
	configs sync.Map
}

// Read reads certificates and, where clientAuthorities names a PEM file, the authorities that sign clients'
// certificates. If any of them is faulty, none is accepted. The set isn't in force until Keys.Use.
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

// Use makes later handshakes use a set. Connections that are up stay as they are.
func (k *Keys) Use(set *Set) { k.current.Store(set) }

// Expiry is a certificate that expires soon, or has expired.
type Expiry struct {
	File  string
	Names []string // DNS names
	At    time.Time
}

// Expiring lists the certificates in force that expire within ExpiryWarning.
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

// Config returns a configuration for handshakes, each of which uses the set in force when it begins. The protocols are
// offered by ALPN; without any, what the client asks for is ignored.
func (k *Keys) Config(protocols ...string) *tls.Config {
	configOfSet := func(*tls.ClientHelloInfo) (*tls.Config, error) {
		set := k.current.Load()
		if set == nil || len(set.certificates) == 0 {
			return nil, errNoCertificate
		}
		return set.config(protocols), nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: configOfSet}
}

// config returns the set's configuration for a list of protocols. It is safe for concurrent use.
func (s *Set) config(protocols []string) *tls.Config {
	name := strings.Join(protocols, " ")
	if cached, ok := s.configs.Load(name); ok {
		return cached.(*tls.Config) //nolint:forcetypeassert // only this method stores in configs
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: protocols, GetCertificate: s.pick}
	if s.clientAuthorities != nil {
		config.ClientAuth = tls.VerifyClientCertIfGiven
		config.ClientCAs = s.clientAuthorities
	}
	cached, _ := s.configs.LoadOrStore(name, config)
	return cached.(*tls.Config) //nolint:forcetypeassert // only this method stores in configs
}

// pick returns the first certificate that has the name in the client's hello and suits the client. Where there is none,
// it returns the first of the set.
func (s *Set) pick(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
	hello.ServerName = strings.TrimSuffix(hello.ServerName, ".")
	for i := range s.certificates {
		if hello.SupportsCertificate(&s.certificates[i]) == nil {
			return &s.certificates[i], nil
		}
	}
	return &s.certificates[0], nil
}
