package node

import (
	"cmp"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/config"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/drive"
)

// Settings are the boot settings of an entry. Times are in milliseconds.
type Settings struct {
	// Name is the name of the entry.
	Name string `json:"name"`
	// Domain is the failure domain of the entry.
	Domain string `json:"domain"`
	// Callers is the address to listen on for callers.
	Callers string `json:"callers"`
	// Ready is the address to listen on for probes of the load balancer.
	Ready string `json:"ready"`
	// Peers is the address to listen on for other entries and for metrics.
	Peers string `json:"peers"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// Adviser is the address of the adviser; it may be empty.
	Adviser string `json:"adviser"`
	// Cloud is the address of the platform's cloud service; it may be empty.
	Cloud string `json:"cloud"`
	// Level is the lowest level of log lines that are written.
	Level string `json:"level"`
	// Lease is the longest lease that a host grants.
	Lease float64 `json:"lease"`
	// Stop is how long it takes to stop a run.
	Stop float64 `json:"stop"`
	// Restore is how long it takes to resume from a checkpoint.
	Restore float64 `json:"restore"`
	// Save is the time between checkpoints.
	Save float64 `json:"save"`
	// Early is how long before its due time an occurrence may start.
	Early float64 `json:"early"`
	// Grace is how long the process may take to stop.
	Grace float64 `json:"grace"`
	// Cores is the number of CPU cores that the process may use.
	Cores float64 `json:"cores"`
	// Link is the speed of the network link in Mbit/s.
	Link float64 `json:"link"`
	// Memory is the memory limit of the process in MiB.
	Memory float64 `json:"memory"`
	// Fds is the number of descriptors that the process may have open, or 0 if it is not known.
	Fds int `json:"fds,omitempty"`
	// Row is the longest value of a row of the store in bytes. 0 means drive.DefaultMaxRow.
	Row int `json:"row"`
	// Near is the difference between the times that the table takes to answer two entries from which on the nearer one is
	// preferred as the owner; 0 leaves these times out of account.
	Near float64 `json:"near"`
	// Speeds makes the owner learn the speeds of hosts and the run times within steps, and use them for its decisions.
	Speeds bool `json:"speeds"`
	// PastUse turns on the order of late work by the past use of the teams; without it, past use is not recorded.
	PastUse *PastUseSettings `json:"pastuse,omitempty"`
}

// PastUseSettings configure how past use is counted.
type PastUseSettings struct {
	// HalfLife is the time after which past use counts half.
	HalfLife float64 `json:"halflife"`
	// Floor is the use in core-seconds per unit of weight below which a team is not set back.
	Floor float64 `json:"floor"`
}

const (
	// keepTime is how long an owner without contact to the table continues to renew leases. It covers the usual outage of a
	// few seconds; a longer time would delay the reuse of hosts that a later owner cannot reach.
	keepTime = 3 * time.Second
	// minLease is the shortest lease that an owner can renew at all its hosts in time.
	minLease = 2 * time.Second
)

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (Settings, error) {
	s, err := config.Load[Settings](path)
	if err != nil {
		return s, err
	}
	return s, s.Check()
}

// Check returns an error if the entry cannot run with the settings.
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
	if ms(s.Lease) < minLease {
		return fold.Refuse(fold.Invalid, "set the longest lease that hosts grant, in milliseconds", "the setting \"lease\" is below %s", minLease)
	}
	if s.Stop < 0 || s.Restore < 0 || s.Save < 0 || s.Early < 0 || s.Grace <= 0 {
		return fold.Refuse(fold.Invalid, "use a positive time", "\"stop\", \"restore\", \"save\" or \"early\" is negative, or \"grace\" is not positive")
	}
	if s.Near < 0 {
		return fold.Refuse(fold.Invalid, "set a time in milliseconds, or leave it out", "the setting \"near\" is negative")
	}
	if s.Fds < 0 || s.Memory < 0 {
		return fold.Refuse(fold.Invalid, "set the limits of the machine, or leave them out", "the setting \"memory\" or \"fds\" is negative")
	}
	if s.Row < 0 || s.Row > 0 && s.Row < minRow {
		return fold.Refuse(fold.Invalid, "set the longest value of a row in bytes, or leave it out", "the setting \"row\" is not 0 and below %d", minRow)
	}
	return s.PastUse.check()
}

const (
	// minHalfLife is the shortest half-life of past use. The use of seconds is shared by the rates of the teams, and a new owner
	// misses the use of several seconds.
	minHalfLife = time.Minute
	// maxHalfLife is the longest half-life of past use. Twenty times as long is the oldest use that a new owner reads.
	maxHalfLife = 90 * 24 * time.Hour
)

// check returns an error if past use cannot be counted with the settings.
func (p *PastUseSettings) check() error {
	if p == nil {
		return nil
	}
	if p.HalfLife < float64(minHalfLife.Milliseconds()) || p.HalfLife > float64(maxHalfLife.Milliseconds()) {
		return fold.Refuse(fold.Invalid, "set the half-life in milliseconds, or leave \"pastuse\" out", "the setting \"pastuse.halflife\" is not between %s and %s", minHalfLife, maxHalfLife)
	}
	if p.Floor < 0 {
		return fold.Refuse(fold.Invalid, "set the floor in core-seconds, or leave it out", "the setting \"pastuse.floor\" is negative")
	}
	return nil
}

// pastUse returns the configuration of past use, which is the zero value if it is off.
func (s Settings) pastUse() core.PastUse {
	if s.PastUse == nil {
		return core.PastUse{}
	}
	return core.PastUse{HalfLife: ms(s.PastUse.HalfLife), Floor: s.PastUse.Floor}
}

// minRow is the smallest limit of a row, in bytes, with which a record of maximum size takes few enough rows for a commit.
const minRow = 16 << 10

// MaxRow returns the longest value of a row of the store in bytes.
func (s Settings) MaxRow() int {
	return cmp.Or(s.Row, drive.DefaultMaxRow)
}

// fullStrengthLink is the link speed in Mbit/s below which the strength of an entry is reduced. An owner of a few hundred
// hosts uses only a small part of such a link.
const fullStrengthLink = 100

// Strength rates how well the entry can own the pool: its number of cores, reduced in proportion for a slow link.
func (s Settings) Strength() float64 {
	if s.Link <= 0 {
		return s.Cores
	}
	return s.Cores * min(1, s.Link/fullStrengthLink)
}

const (
	// hostsPerCore is how many hosts one core can supervise besides other work. Under frequent urgent tasks a host takes about
	// 2 ms of CPU time per second.
	hostsPerCore = 200
	// hostsPerMbit is how many hosts 1 Mbit/s of the link can serve. Under the same load a host takes about 3 KB per second.
	hostsPerMbit = 10
)

// Options returns the parts of the decisions that are switched on.
func (s Settings) Options() core.Options {
	return core.Options{Speeds: s.Speeds, PastUse: s.pastUse()}
}

// RelayCapacity returns the number of hosts that the entry can supervise.
func (s Settings) RelayCapacity() int {
	room := s.Cores * hostsPerCore
	if s.Link > 0 {
		room = min(room, s.Link*hostsPerMbit)
	}
	return int(room)
}

// Times returns the time limits of the platform's hosts.
func (s Settings) Times() core.Times {
	return core.Times{Lease: ms(s.Lease), Stop: ms(s.Stop), Restore: ms(s.Restore), CheckpointInterval: ms(s.Save), Early: ms(s.Early), RenewWithoutTable: keepTime}
}

func ms(v float64) time.Duration {
	return time.Duration(v * float64(time.Millisecond))
}
