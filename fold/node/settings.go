package node

import (
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/config"
	"plantainfold.example/fold/core"
)

// Settings are what an entry is told at its start. Times are in milliseconds.
type Settings struct {
	// Name is the entry's name; Domain its failure domain.
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Callers, Ready and Peers are the addresses for callers, for the balancer's probe, and for other entries and metrics.
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Peers   string `json:"peers"`
	// Store, Adviser and Cloud are addresses of the platform; Adviser and Cloud may be empty.
	Store   string `json:"store"`
	Adviser string `json:"adviser"`
	Cloud   string `json:"cloud"`
	// Level is the least level of log lines.
	Level string `json:"level"`
	// Lease is the longest lease of a host, Stop how long it takes to stop a run, Restore to resume from a checkpoint, Save
	// the time between checkpoints, Early how much before it is due an occurrence may start.
	Lease   float64 `json:"lease"`
	Stop    float64 `json:"stop"`
	Restore float64 `json:"restore"`
	Save    float64 `json:"save"`
	Early   float64 `json:"early"`
	// Grace is how long the process may take to stop.
	Grace float64 `json:"grace"`
	// Cores is the processor time that the process may use, in cores; Link is the speed of its network link in Mbit/s.
	Cores float64 `json:"cores"`
	Link  float64 `json:"link"`
	// Memory bounds the process, in MiB.
	Memory float64 `json:"memory"`
}

const (
	// keepTime is how long an owner without contact to the table goes on renewing leases; it outlasts the usual outage of
	// a few seconds, and delays the reuse of hosts that a later owner cannot reach.
	keepTime = 4 * time.Second
	// leastLease is the shortest lease with which an owner can look at its hosts in time.
	leastLease = 2 * time.Second
)

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (Settings, error) {
	s, err := config.Load[Settings](path)
	if err != nil {
		return s, err
	}
	return s, s.Check()
}

// Check refuses settings with which the entry cannot run.
func (s Settings) Check() error {
	required := []struct{ field, value string }{
		{"name", s.Name}, {"callers", s.Callers}, {"ready", s.Ready}, {"peers", s.Peers}, {"store", s.Store},
	}
	for _, r := range required {
		if r.value == "" {
			return fold.Refuse(fold.Invalid, "set the field", "the setting %q is missing", r.field)
		}
	}
	addresses := make(map[string]string)
	for _, r := range required[1:] {
		if other, ok := addresses[r.value]; ok {
			return fold.Refuse(fold.Invalid, "use an address for one purpose", "the settings %q and %q are both %s", other, r.field, r.value)
		}
		addresses[r.value] = r.field
	}
	if ms(s.Lease) < leastLease {
		return fold.Refuse(fold.Invalid, "set the longest lease that hosts grant, in milliseconds", "the setting \"lease\" is below %s", leastLease)
	}
	if s.Stop < 0 || s.Restore < 0 || s.Save < 0 || s.Early < 0 || s.Grace <= 0 {
		return fold.Refuse(fold.Invalid, "use a positive time", "a time in the settings is negative, or \"grace\" is missing")
	}
	return nil
}

// ownerLink is the link that an owner of a few hundred hosts fills to a small part, in Mbit/s; a slower one counts
// against an entry.
const ownerLink = 100

// Strength rates how well the entry can own the pool: its cores, less with a slow link.
func (s Settings) Strength() float64 {
	if s.Link <= 0 {
		return s.Cores
	}
	return s.Cores * min(1, s.Link/ownerLink)
}

const (
	// hostsPerCore is how many hosts a core looks after beside other work, hostsPerLink the same for a link of 1 Mbit/s: a
	// host takes about 2 ms of processor time and 3 KB a second while urgent tasks come and go.
	hostsPerCore = 200
	hostsPerLink = 10
)

// RelayCapacity returns how many hosts the entry can look after.
func (s Settings) RelayCapacity() int {
	room := s.Cores * hostsPerCore
	if s.Link > 0 {
		room = min(room, s.Link*hostsPerLink)
	}
	return int(room)
}

// Times returns the bounds of the platform's hosts.
func (s Settings) Times() core.Times {
	return core.Times{Lease: ms(s.Lease), Stop: ms(s.Stop), Restore: ms(s.Restore), CheckpointInterval: ms(s.Save), Early: ms(s.Early), RenewWithoutTable: keepTime}
}

func ms(v float64) time.Duration {
	return time.Duration(v * float64(time.Millisecond))
}
