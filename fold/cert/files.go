package cert

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"plantainfold.example/fold"
)

// checkPeriod is the minimum time between two checks of the files for changes.
const checkPeriod = time.Second

// Files names the PEM files of a certificate, its private key and the certificate authorities of peers. A changed
// certificate takes effect at the next connection after the check of the files. If the files cannot be read, the earlier
// certificate stays in use.
type Files struct {
	cert, key, ca string

	mu sync.Mutex
	// checkedAt is the time of the last check of the files.
	checkedAt time.Time
	// modifiedAt is the modification time of the loaded files.
	modifiedAt time.Time
	// loaded is the certificate in use; it is nil before the first load.
	loaded *tls.Certificate
}

// New returns Files with the given paths. If ca is empty, peers are verified by the authorities of the system.
func New(cert, key, ca string) *Files {
	return &Files{cert: cert, key: key, ca: ca}
}

// Certificate returns the current certificate, and reloads it if the files have changed since the last check.
func (f *Files) Certificate() (*tls.Certificate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded != nil && time.Since(f.checkedAt) < checkPeriod {
		return f.loaded, nil
	}
	f.checkedAt = time.Now()
	modifiedAt := newestChange(f.cert, f.key)
	if f.loaded != nil && modifiedAt.Equal(f.modifiedAt) {
		return f.loaded, nil
	}
	pair, err := tls.LoadX509KeyPair(f.cert, f.key)
	if err != nil {
		if f.loaded != nil {
			return f.loaded, nil
		}
		return nil, fold.Refuse(fold.Invalid, "name readable PEM files that belong together in cert and certkey", "load certificate: %v", err)
	}
	f.loaded, f.modifiedAt = &pair, modifiedAt
	return f.loaded, nil
}

// Server returns a configuration for servers that uses the current certificate for each new connection.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return f.Certificate()
		},
	}
}

// Client returns a configuration for clients that verifies servers by the authorities in the file at present.
func (f *Files) Client() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if f.ca == "" {
		return config, nil
	}
	pool, err := Authorities(f.ca)
	config.RootCAs = pool
	return config, err
}

// Authorities reads a PEM file of certificate authorities.
func Authorities(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fold.Refuse(fold.Invalid, "name a readable PEM file in ca", "read certificate authorities: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fold.Refuse(fold.Invalid, "name a PEM file with certificates in ca", "%s contains no certificate", path)
	}
	return pool, nil
}

// newestChange returns the later modification time of two files, or the zero time if one cannot be read.
func newestChange(a, b string) time.Time {
	one, err := os.Stat(a)
	if err != nil {
		return time.Time{}
	}
	other, err := os.Stat(b)
	if err != nil {
		return time.Time{}
	}
	if other.ModTime().After(one.ModTime()) {
		return other.ModTime()
	}
	return one.ModTime()
}
