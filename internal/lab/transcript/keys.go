package transcript

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Keys writes a certificate for the names, signed by itself and good until then, with its key, and returns the files' paths.
func Keys(t testing.TB, dir string, until time.Time, names ...string) (cert, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	serial, _ := rand.Int(rand.Reader, big.NewInt(1<<62))
	of := &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: names[0]}, DNSNames: names, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: until, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, of, of, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	write := func(name, kind string, body []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: body}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return write(names[0]+".pem", "CERTIFICATE", der), write(names[0]+".key", "EC PRIVATE KEY", secret)
}
