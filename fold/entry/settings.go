package entry

import (
	"net"
	"net/url"
	"strings"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/config"
)

// Bounds of settings.
const (
	minSecret   = 16
	defaultBody = 1 << 20
	maxBody     = 16 << 20
	defaultKeep = 20 * time.Second
	// defaultNotice exceeds the period at which balancers usually look at readyz.
	defaultNotice = 2 * time.Second
	maxNotice     = time.Minute
	defaultConns  = 8192
)

// Settings are what an entry learns before it starts.
type Settings struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Domain string `json:"domain"`
	// Listen is the IP address and port of the listener.
	Listen string `json:"listen"`
	// Advertise is the address by which peers reach the entry; empty means Listen.
	Advertise string `json:"advertise,omitempty"`
	Table     string `json:"table"`
	Objects   string `json:"objects"`
	Fleet     string `json:"fleet"`
	// Cellkey authenticates entries to each other and keys the hashes of caller keys.
	Cellkey string `json:"cellkey"`
	// Rootkey is the secret of the first operator key, pf.root.<rootkey>.
	Rootkey string `json:"rootkey"`
	Level   string `json:"level,omitempty"`
	// Body bounds a request body, in bytes.
	Body int64 `json:"body,omitempty"`
	// Keep is how long an entry without standing goes on renewing task leases.
	Keep config.Duration `json:"keep,omitempty"`
	// Notice is how long a stopping entry goes on accepting requests while readyz tells the balancer to move on.
	Notice config.Duration `json:"notice,omitempty"`
	// Conns bounds the connections of the listener.
	Conns int `json:"conns,omitempty"`
	// Cert and Certkey are PEM files for TLS to callers and between entries; empty serves in the clear.
	Cert    string `json:"cert,omitempty"`
	Certkey string `json:"certkey,omitempty"`
	// CA is a PEM file with the authorities by which entries check each other; empty means those of the system.
	CA string `json:"ca,omitempty"`
}

// LoadSettings reads, completes and checks a settings file.
func LoadSettings(path string) (Settings, error) {
	s, err := config.Load[Settings](path)
	if err != nil {
		return Settings{}, err
	}
	s = s.WithDefaults()
	return s, s.Check()
}

// WithDefaults returns the settings with defaults for what is absent.
func (s Settings) WithDefaults() Settings {
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	if s.Level == "" {
		s.Level = "info"
	}
	if s.Body == 0 {
		s.Body = defaultBody
	}
	if s.Keep == 0 {
		s.Keep = config.Duration(defaultKeep)
	}
	if s.Conns == 0 {
		s.Conns = defaultConns
	}
	if s.Notice == 0 {
		s.Notice = config.Duration(defaultNotice)
	}
	return s
}

// Check returns an error that names the first wrong setting and the remedy.
func (s Settings) Check() error {
	switch {
	case s.Name == "" || strings.ContainsAny(s.Name, "/ "):
		return wrong("name", "give a name without slash or space")
	case s.Domain == "":
		return wrong("domain", "name the failure domain of this instance")
	case s.Region == "":
		return wrong("region", "name the region of this instance")
	case len(s.Cellkey) < minSecret:
		return wrong("cellkey", "give at least 16 characters, the same on all entries")
	case len(s.Rootkey) < minSecret || strings.Contains(s.Rootkey, "."):
		return wrong("rootkey", "give at least 16 characters without a dot")
	case s.Body < 0 || s.Body > maxBody:
		return wrong("body", "give at most 16777216 bytes")
	case s.Conns < 1:
		return wrong("conns", "give at least 1")
	case (s.Cert == "") != (s.Certkey == ""):
		return wrong("certkey", "give both cert and certkey, or neither")
	case s.Notice < 0 || s.Notice.Std() > maxNotice:
		return wrong("notice", `give a time of at most a minute, such as "2s"`)
	case s.Keep < 0:
		return wrong("keep", `give a positive time such as "20s"`)
	}
	return s.checkPlaces()
}

// checkPlaces checks addresses and URLs.
func (s Settings) checkPlaces() error {
	for _, a := range []struct{ field, address string }{{"listen", s.Listen}, {"advertise", s.Advertise}} {
		if err := checkAddress(a.field, a.address); err != nil {
			return err
		}
	}
	for _, u := range []struct{ field, url string }{{"table", s.Table}, {"objects", s.Objects}, {"fleet", s.Fleet}} {
		if err := checkURL(u.field, u.url); err != nil {
			return err
		}
	}
	return nil
}

func checkAddress(field, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return wrong(field, "give an IP number and a port, such as 127.0.0.1:7001")
	}
	return nil
}

func checkURL(field, text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return wrong(field, "give a URL such as http://127.0.0.1:7000")
	}
	return nil
}

func wrong(field, remedy string) error {
	return fold.Refuse(fold.Invalid, remedy, "setting %s is wrong", field)
}
