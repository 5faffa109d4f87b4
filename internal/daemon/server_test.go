package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// writePair writes a self-signed certificate with a serial number, and its key.
func writePair(t *testing.T, cert, key string, serial int64, modified time.Time) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, key, &pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}, modified)
	renewCertificate(t, cert, key, serial, modified)
}

// renewCertificate writes a self-signed certificate for the key in a file.
func renewCertificate(t *testing.T, cert, key string, serial int64, modified time.Time) {
	t.Helper()
	text, err := os.ReadFile(key)
	if err != nil {
		t.Fatal(err)
	}
	block, _ := pem.Decode(text)
	private, err := x509.ParseECPrivateKey(block.Bytes)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, cert, &pem.Block{Type: "CERTIFICATE", Bytes: der}, modified)
}

// writePEM writes a file with the given modification time.
func writePEM(t *testing.T, file string, block *pem.Block, modified time.Time) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(file, modified, modified); err != nil {
		t.Fatal(err)
	}
}

// serial returns the serial number of the certificate in use, checking the files
// again first.
func serial(t *testing.T, l *certLoader) int64 {
	t.Helper()
	l.checked = time.Time{}
	pair, err := l.get(nil)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	return cert.SerialNumber.Int64()
}

// TestCertificateIsReloaded checks that a new pair is used, and that the previous
// one stays in use if the files become unreadable.
func TestCertificateIsReloaded(t *testing.T) {
	cert, key := filepath.Join(t.TempDir(), "c.pem"), filepath.Join(t.TempDir(), "k.pem")
	if _, err := newCertLoader(cert, key); err == nil {
		t.Fatal("missing files were accepted")
	}
	start := time.Now()
	writePair(t, cert, key, 1, start)
	l, err := newCertLoader(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	writePair(t, cert, key, 2, start.Add(time.Minute))
	if got := serial(t, l); got != 2 {
		t.Fatalf("serial number %d, want 2", got)
	}
	if err := os.WriteFile(key, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := serial(t, l); got != 2 {
		t.Fatalf("serial number %d, want 2", got)
	}
}

// TestRenewedCertificateIsLoaded checks that a renewed certificate beside an unchanged key
// is used.
func TestRenewedCertificateIsLoaded(t *testing.T) {
	cert, key := filepath.Join(t.TempDir(), "c.pem"), filepath.Join(t.TempDir(), "k.pem")
	start := time.Now()
	writePair(t, cert, key, 1, start)
	l, err := newCertLoader(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	renewCertificate(t, cert, key, 2, start.Add(time.Minute))
	if got := serial(t, l); got != 2 {
		t.Fatalf("serial number %d, want 2", got)
	}
}
