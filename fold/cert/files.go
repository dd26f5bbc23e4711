package cert

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"plantainfold.example/fold"
)

// checkPeriod is how often the files are looked at for a change.
const checkPeriod = time.Second

// Files are a certificate, its key and the authorities of peers as PEM files. A change of the files takes effect at
// the next connection; files that cannot be read leave the earlier certificate in use.
type Files struct {
	cert, key, ca string

	mu      sync.Mutex
	looked  time.Time
	changed time.Time
	loaded  *tls.Certificate
}

// New returns the files; ca may be empty for the authorities of the system.
func New(cert, key, ca string) *Files {
	return &Files{cert: cert, key: key, ca: ca}
}

// Certificate returns the present certificate.
func (f *Files) Certificate() (*tls.Certificate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded != nil && time.Since(f.looked) < checkPeriod {
		return f.loaded, nil
	}
	f.looked = time.Now()
	changed := newest(f.cert, f.key)
	if f.loaded != nil && changed.Equal(f.changed) {
		return f.loaded, nil
	}
	pair, err := tls.LoadX509KeyPair(f.cert, f.key)
	if err != nil {
		if f.loaded != nil {
			return f.loaded, nil
		}
		return nil, fold.Refuse(fold.Invalid, "name readable PEM files that belong together in cert and certkey", "certificate: %v", err)
	}
	f.loaded, f.changed = &pair, changed
	return f.loaded, nil
}

// Server returns a configuration that always presents the present certificate.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return f.Certificate()
		},
	}
}

// Client returns a configuration that checks peers by the present authorities.
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
		return nil, fold.Refuse(fold.Invalid, "name a readable PEM file in ca", "authorities: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fold.Refuse(fold.Invalid, "name a PEM file with certificates in ca", "%s holds no certificate", path)
	}
	return pool, nil
}

// newest returns the later time of change of two files, or zero if one cannot be read.
func newest(a, b string) time.Time {
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
