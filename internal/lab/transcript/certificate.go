package transcript

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// maxSerial is the exclusive upper bound of a certificate's serial number.
const maxSerial = 1 << 62

// WriteCertificate writes a self-signed certificate for one or more names, valid from an hour ago until the given time,
// and its key. Both are PEM files in dir, named after the first name. It returns the paths of the files. Clients can
// use the certificate as a root certificate because it is marked as the certificate of an authority.
func WriteCertificate(tb testing.TB, dir string, until time.Time, names ...string) (certificate, key string) {
	tb.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		tb.Fatal(err)
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(maxSerial))
	if err != nil {
		tb.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: names[0]},
		DNSNames:              names,
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              until,
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	signed, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		tb.Fatal(err)
	}
	encodedKey, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		tb.Fatal(err)
	}
	certificate = filepath.Join(dir, names[0]+".pem")
	key = filepath.Join(dir, names[0]+".key")
	writePEM(tb, certificate, "CERTIFICATE", signed)
	writePEM(tb, key, "EC PRIVATE KEY", encodedKey)
	return certificate, key
}

func writePEM(tb testing.TB, path, blockType string, contents []byte) {
	tb.Helper()
	encoded := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: contents})
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		tb.Fatal(err)
	}
}

// TrustCertificate returns the configuration of an XMPP client that trusts a certificate of WriteCertificate, whose
// first name is given.
func TrustCertificate(tb testing.TB, certificate, name string) *tls.Config {
	tb.Helper()
	raw, err := os.ReadFile(certificate)
	pool := x509.NewCertPool()
	if err != nil || !pool.AppendCertsFromPEM(raw) {
		tb.Fatal("read the certificate: ", err)
	}
	return &tls.Config{RootCAs: pool, ServerName: name, NextProtos: []string{"xmpp-client"}}
}
