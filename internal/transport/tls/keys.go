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

// Warn is how long before its end a certificate is told of.
const Warn = 14 * 24 * time.Hour

// Pair names the files of a certificate with its chain, and of its key.
type Pair struct{ Cert, Key string }

// Keys are the certificates in force. Handshakes read them while the loop changes them.
type Keys struct{ now atomic.Pointer[Set] }

// Set is some certificates, read and checked together.
type Set struct {
	certs   []tls.Certificate
	files   []string
	clients *x509.CertPool
	configs sync.Map // by the protocols' names: one a set, so that tickets of its sessions hold
}

// Read reads certificates, and the authorities of clients' certificates where a file is named. One fault has none of it taken.
func Read(pairs []Pair, clientAuthorities string) (*Set, error) {
	s := &Set{}
	for _, p := range pairs {
		c, err := tls.LoadX509KeyPair(p.Cert, p.Key)
		if err != nil {
			return nil, fmt.Errorf("certificate %s with key %s: %w", p.Cert, p.Key, err)
		}
		s.certs, s.files = append(s.certs, c), append(s.files, p.Cert)
	}
	if clientAuthorities != "" {
		raw, err := os.ReadFile(clientAuthorities)
		if err != nil {
			return nil, fmt.Errorf("authorities of clients: %w", err)
		}
		if s.clients = x509.NewCertPool(); !s.clients.AppendCertsFromPEM(raw) {
			return nil, fmt.Errorf("authorities of clients %s: no certificate in it", clientAuthorities)
		}
	}
	return s, nil
}

// Use has new handshakes use a set.
func (k *Keys) Use(s *Set) { k.now.Store(s) }

// Expiry is a certificate that ends soon, or has ended.
type Expiry struct {
	File  string
	Names []string
	At    time.Time
}

// Ending are the certificates in force that end within Warn.
func (k *Keys) Ending(now time.Time) (all []Expiry) {
	s := k.now.Load()
	if s == nil {
		return nil
	}
	for i, c := range s.certs {
		if leaf := c.Leaf; leaf != nil && leaf.NotAfter.Sub(now) < Warn {
			all = append(all, Expiry{s.files[i], leaf.DNSNames, leaf.NotAfter})
		}
	}
	return all
}

// Config is for handshakes by these keys, as they are when each begins. protocols are for ALPN; none: whatever the client asks for.
func (k *Keys) Config(protocols ...string) *tls.Config {
	name := strings.Join(protocols, " ")
	return &tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		s := k.now.Load()
		if s == nil || len(s.certs) == 0 {
			return nil, errors.New("no certificate")
		}
		if c, ok := s.configs.Load(name); ok {
			return c.(*tls.Config), nil
		}
		c := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: protocols, GetCertificate: s.pick}
		if s.clients != nil {
			c.ClientAuth, c.ClientCAs = tls.VerifyClientCertIfGiven, s.clients
		}
		kept, _ := s.configs.LoadOrStore(name, c)
		return kept.(*tls.Config), nil
	}}
}

// pick is the first certificate for the name that the client asks for and that it can use; else the first that it can use.
func (s *Set) pick(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
	hello.ServerName = strings.TrimSuffix(hello.ServerName, ".")
	for i := range s.certs {
		if hello.SupportsCertificate(&s.certs[i]) == nil {
			return &s.certs[i], nil
		}
	}
	return &s.certs[0], nil
}
