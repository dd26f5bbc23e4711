package entry

import (
	"net"
	"net/url"
	"strings"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/config"
)

const (
	// minSecret is the minimum length of cellkey and rootkey.
	minSecret = 16
	// defaultBody is the default of MaxBody.
	defaultBody = 1 << 20
	// maxBody is the maximum of MaxBody.
	maxBody = 16 << 20
	// defaultKeep is the default of RenewWithoutStanding.
	defaultKeep = 20 * time.Second
	// defaultNotice is the default of ShutdownNotice. It exceeds the usual period at which load balancers check readyz.
	defaultNotice = 2 * time.Second
	// maxNotice is the maximum of ShutdownNotice.
	maxNotice = time.Minute
	// defaultConns is the default of MaxConns.
	defaultConns = 8192
)

// Settings are the contents of the settings file of an entry.
type Settings struct {
	// Name is the name of the entry, which is unique in the cell.
	Name string `json:"name"`
	// Region is the region of the entry.
	Region string `json:"region"`
	// Domain is the failure domain of the entry.
	Domain string `json:"domain"`
	// Listen is the IP address and port of the listener.
	Listen string `json:"listen"`
	// Advertise is the address by which peers reach the entry; empty means Listen.
	Advertise string `json:"advertise,omitempty"`
	// Table is the URL of the table service.
	Table string `json:"table"`
	// Objects is the URL of the object store.
	Objects string `json:"objects"`
	// InstanceList is the URL of the service that lists the instances.
	InstanceList string `json:"fleet"`
	// Cellkey authenticates entries to each other and keys the hashes of caller keys.
	Cellkey string `json:"cellkey"`
	// Rootkey is the secret of the first operator key, pf.root.<rootkey>.
	Rootkey string `json:"rootkey"`
	// Level is the log level.
	Level string `json:"level,omitempty"`
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64 `json:"body,omitempty"`
	// RenewWithoutStanding is how long an entry that has lost standing continues to renew task leases.
	RenewWithoutStanding config.Duration `json:"keep,omitempty"`
	// ShutdownNotice is how long a stopping entry continues to accept requests while readyz tells load balancers to use
	// another one.
	ShutdownNotice config.Duration `json:"notice,omitempty"`
	// MaxConns is the maximum number of connections of the listener.
	MaxConns int `json:"conns,omitempty"`
	// Cert is the PEM file of the certificate for TLS with callers and peers. If it is empty, the entry serves without TLS.
	Cert string `json:"cert,omitempty"`
	// Certkey is the PEM file of the private key of the certificate.
	Certkey string `json:"certkey,omitempty"`
	// CA is a PEM file with the authorities by which entries verify each other. If it is empty, those of the system are
	// used.
	CA string `json:"ca,omitempty"`
}

// LoadSettings reads a settings file, fills in defaults and checks the result.
func LoadSettings(path string) (Settings, error) {
	s, err := config.Load[Settings](path)
	if err != nil {
		return Settings{}, err
	}
	s = s.WithDefaults()
	return s, s.Check()
}

// WithDefaults returns the settings with defaults for absent fields.
func (s Settings) WithDefaults() Settings {
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	if s.Level == "" {
		s.Level = "info"
	}
	if s.MaxBody == 0 {
		s.MaxBody = defaultBody
	}
	if s.RenewWithoutStanding == 0 {
		s.RenewWithoutStanding = config.Duration(defaultKeep)
	}
	if s.MaxConns == 0 {
		s.MaxConns = defaultConns
	}
	if s.ShutdownNotice == 0 {
		s.ShutdownNotice = config.Duration(defaultNotice)
	}
	return s
}

// Check returns an error that names the first invalid setting and how to correct it.
func (s Settings) Check() error {
	switch {
	case s.Name == "" || strings.ContainsAny(s.Name, "/ "):
		return settingError("name", "give a name without slash or space")
	case s.Domain == "":
		return settingError("domain", "name the failure domain of this instance")
	case s.Region == "":
		return settingError("region", "name the region of this instance")
	case len(s.Cellkey) < minSecret:
		return settingError("cellkey", "give at least 16 characters, the same on all entries")
	case len(s.Rootkey) < minSecret || strings.Contains(s.Rootkey, "."):
		return settingError("rootkey", "give at least 16 characters without a dot")
	case s.MaxBody < 0 || s.MaxBody > maxBody:
		return settingError("body", "give at most 16777216 bytes")
	case s.MaxConns < 1:
		return settingError("conns", "give at least 1")
	case (s.Cert == "") != (s.Certkey == ""):
		return settingError("certkey", "give both cert and certkey, or neither")
	case s.ShutdownNotice < 0 || s.ShutdownNotice.Std() > maxNotice:
		return settingError("notice", `give a time of at most a minute, such as "2s"`)
	case s.RenewWithoutStanding < 0:
		return settingError("keep", `give a positive time such as "20s"`)
	}
	return s.checkAddresses()
}

// checkAddresses checks the settings that are addresses or URLs.
func (s Settings) checkAddresses() error {
	for _, a := range []struct{ field, address string }{{"listen", s.Listen}, {"advertise", s.Advertise}} {
		if err := checkAddress(a.field, a.address); err != nil {
			return err
		}
	}
	for _, u := range []struct{ field, url string }{{"table", s.Table}, {"objects", s.Objects}, {"fleet", s.InstanceList}} {
		if err := checkURL(u.field, u.url); err != nil {
			return err
		}
	}
	return nil
}

func checkAddress(field, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return settingError(field, "give an IP number and a port, such as 127.0.0.1:7001")
	}
	return nil
}

func checkURL(field, text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return settingError(field, "give a URL such as http://127.0.0.1:7000")
	}
	return nil
}

func settingError(field, remedy string) error {
	return fold.Refuse(fold.Invalid, remedy, "setting %s is invalid", field)
}
