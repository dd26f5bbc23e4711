package spec

import (
	"strings"

	"plantainfold.example/fold"
	"plantainfold.example/fold/config"
)

// Manifest is all that operators declare.
type Manifest struct {
	Teams    []Team    `json:"teams"`
	Accounts []Account `json:"accounts,omitempty"`
	Queues   []Queue   `json:"queues"`
	Services []Service `json:"services,omitempty"`
	Jobs     []Job     `json:"jobs,omitempty"`
	Policy   Policy    `json:"policy,omitempty"`
	Pool     Pool      `json:"pool,omitempty"`
	Retire   []Retire  `json:"retire,omitempty"`
}

// Team holds a share of the full cell and an upper limit across the fleet.
type Team struct {
	Name string `json:"name"`
	// Share is a weight relative to the other teams.
	Share int            `json:"share"`
	Limit fold.Resources `json:"limit"`
}

// Account is a client account that sends service requests.
type Account struct {
	Name string `json:"name"`
	// Share is a weight relative to the other accounts.
	Share int `json:"share"`
}

// Queue accepts work of the given teams, or of anyone when open.
type Queue struct {
	Name string `json:"name"`
	Open bool   `json:"open,omitempty"`
	// Team owns the work of callers without a key on an open queue.
	Team  string   `json:"team,omitempty"`
	Teams []string `json:"teams,omitempty"`
	// Service makes this a queue of synchronous requests to the endpoints of the service.
	Service string `json:"service,omitempty"`
}

// Service is long-running work that the system keeps at a number of replicas.
type Service struct {
	Name      string         `json:"name"`
	Team      string         `json:"team"`
	Replicas  int            `json:"replicas"`
	Resources fold.Resources `json:"resources"`
}

// Job is work that the system submits by itself, such as a nightly batch.
type Job struct {
	Name      string          `json:"name"`
	Queue     string          `json:"queue"`
	Team      string          `json:"team"`
	Kind      fold.Kind       `json:"kind"`
	Count     int             `json:"count"`
	Resources fold.Resources  `json:"resources"`
	Duration  config.Duration `json:"duration"`
	// Every is the period; periods are counted from the Unix epoch.
	Every config.Duration `json:"every"`
	// At shifts the begin of each period.
	At         config.Duration `json:"at,omitempty"`
	Priority   int             `json:"priority,omitempty"`
	Retries    int             `json:"retries,omitempty"`
	Idempotent bool            `json:"idempotent,omitempty"`
}

// Policy weighs the measures of the cell against each other.
type Policy struct {
	Waiting  float64 `json:"waiting,omitempty"`
	Packing  float64 `json:"packing,omitempty"`
	Fairness float64 `json:"fairness,omitempty"`
}

// Pool says how many racks one pool has.
type Pool struct {
	Racks int `json:"racks,omitempty"`
}

// Kinds of what can be retired.
const (
	KindService = "service"
	KindQueue   = "queue"
	KindTeam    = "team"
)

// Retire ends a service, queue or team.
type Retire struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Grace is how long work may end by itself before it is stopped.
	Grace config.Duration `json:"grace"`
}

// Parse reads and checks a manifest; name is used in errors.
func Parse(name string, text []byte) (Manifest, error) {
	m, err := config.Parse[Manifest](name, text)
	if err != nil {
		return Manifest{}, err
	}
	return m, m.Check()
}

// servicePrefix begins the name of the queue that belongs to a declared service.
const servicePrefix = "service/"

// ServiceQueue returns the name of the queue through which the system submits a declared service.
func ServiceQueue(service string) string {
	return servicePrefix + service
}

// Queue returns the queue with the name. Each declared service has a queue of its own that only its team may use.
func (m Manifest) Queue(name string) (Queue, bool) {
	if service, ok := strings.CutPrefix(name, servicePrefix); ok {
		s, ok := m.Service(service)
		return Queue{Name: name, Teams: []string{s.Team}}, ok
	}
	for _, q := range m.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Team returns the team with the name.
func (m Manifest) Team(name string) (Team, bool) {
	for _, t := range m.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// Service returns the service with the name.
func (m Manifest) Service(name string) (Service, bool) {
	for _, s := range m.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Account returns the client account with the name.
func (m Manifest) Account(name string) (Account, bool) {
	for _, a := range m.Accounts {
		if a.Name == name {
			return a, true
		}
	}
	return Account{}, false
}

// Retires reports whether the manifest ends the service, queue or team.
func (m Manifest) Retires(kind, name string) bool {
	for _, r := range m.Retire {
		if r.Kind == kind && r.Name == name {
			return true
		}
	}
	return false
}

// ShareOf returns the weight of an account; accounts that are not declared have 1.
func (m Manifest) ShareOf(account string) int {
	if a, ok := m.Account(account); ok {
		return max(a.Share, 1)
	}
	return 1
}

// RacksPerPool returns the number of racks in one pool.
func (m Manifest) RacksPerPool() int {
	return max(m.Pool.Racks, 1)
}

// Allows reports whether the team may use the queue.
func (q Queue) Allows(team string) bool {
	if q.Open {
		return true
	}
	for _, t := range q.Teams {
		if t == team && team != "" {
			return true
		}
	}
	return false
}
