package daemon_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/cert"
	"plantainfold.example/fold/daemon"
	"plantainfold.example/fold/entry"
	"plantainfold.example/fold/httpd"
	"plantainfold.example/fold/plat"
)

// writeCert writes a self-signed certificate for 127.0.0.1 with the given serial number.
func writeCert(t *testing.T, dir string, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	spec := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, spec, spec, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for name, block := range map[string]*pem.Block{"cert.pem": {Type: "CERTIFICATE", Bytes: der}, "key.pem": {Type: "EC PRIVATE KEY", Bytes: secret}} {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// startEntry runs an entry over TLS and returns its address.
func startEntry(t *testing.T, platform, dir, name string, fleet *plat.Fleet) string {
	t.Helper()
	listener, err := httpd.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	s := entry.Settings{
		Name: name, Region: "lima", Domain: "a", Listen: address, Table: platform, Objects: platform, InstanceList: platform,
		Cellkey: "cell-key-of-the-test", Rootkey: "root-key-of-the-test", Level: "error", MaxBody: 4096,
		Cert: filepath.Join(dir, "cert.pem"), Certkey: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "cert.pem"),
	}.WithDefaults()
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	d, err := daemon.New(s, daemon.Outputs{Logs: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	fleet.Set(fold.Instance{Name: name, Role: fold.RoleEntry, Address: address, Region: "lima", Domain: "a", State: fold.Live})
	return address
}

func eventually(t *testing.T, fn func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if fn() {
			return
		}
	}
	t.Fatal("the condition did not hold within a minute")
}

// servedSerial returns the serial number of the certificate that a listener presents.
func servedSerial(t *testing.T, dir, address string) int64 {
	t.Helper()
	pool, err := cert.Authorities(filepath.Join(dir, "cert.pem"))
	if err != nil {
		return 0
	}
	conn, err := tls.Dial("tcp", address, &tls.Config{RootCAs: pool})
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// Guards against an entry that needs a restart to use a new certificate, cannot reach its peers over TLS, or accepts
// oversized headers and bodies.
func TestEntriesServeAndMeetOverTLS(t *testing.T) {
	dir := t.TempDir()
	writeCert(t, dir, 1)
	fleet := plat.NewFleet()
	platform := httptest.NewServer(plat.Handler(plat.NewTable(), plat.NewObjects(), fleet))
	t.Cleanup(platform.Close)
	address := startEntry(t, platform.URL, dir, "entry-0", fleet)
	startEntry(t, platform.URL, dir, "entry-1", fleet)
	if n := servedSerial(t, dir, address); n != 1 {
		t.Errorf("serial number %d, want 1", n)
	}
	get := func(path string) string {
		pool, err := cert.Authorities(filepath.Join(dir, "cert.pem"))
		if err != nil {
			t.Fatal(err)
		}
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, DisableKeepAlives: true}, Timeout: 5 * time.Second}
		resp, err := client.Get("https://" + address + path)
		if err != nil {
			return err.Error()
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		return string(body)
	}
	eventually(t, func() bool { return strings.Contains(get("/v1/status"), `"entries":["entry-0","entry-1"]`) })
	for _, want := range []string{"plantainfold_waiting_p99", "plantainfold_packing", "plantainfold_control_cpu", "plantainfold_invariant_excess", "plantainfold_invariant_over"} {
		if !strings.Contains(get("/metrics"), want) {
			t.Errorf("/metrics has no metric %s", want)
		}
	}
	eventually(t, func() bool { return strings.Count(get("/status"), "<polyline points=\"4") == 4 })
	checkLimits(t, dir, address)

	writeCert(t, dir, 2)
	eventually(t, func() bool { return servedSerial(t, dir, address) == 2 })
	if err := os.WriteFile(filepath.Join(dir, "key.pem"), []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if n := servedSerial(t, dir, address); n != 2 {
			t.Errorf("serial number %d after a broken key file, want 2", n)
		}
	}
}

func checkLimits(t *testing.T, dir, address string) {
	t.Helper()
	pool, err := cert.Authorities(filepath.Join(dir, "cert.pem"))
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}, Timeout: 5 * time.Second}
	for _, c := range []struct {
		header, body, want int
	}{{100_000, 0, http.StatusRequestHeaderFieldsTooLarge}, {10, 10_000, http.StatusRequestEntityTooLarge}} {
		r, err := http.NewRequest(http.MethodPost, "https://"+address+"/v1/jobs", strings.NewReader(`{"id": "`+strings.Repeat("x", c.body)+`"}`))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Padding", strings.Repeat("x", c.header))
		resp, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != c.want {
			t.Errorf("header of %d and body of %d bytes: status %d, want %d", c.header, c.body, resp.StatusCode, c.want)
		}
	}
}
