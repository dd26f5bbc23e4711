package spec

import (
	"strings"

	"plantainfold.example/fold"
	"plantainfold.example/fold/config"
)

// Manifest is the declared configuration of the fleet.
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

// Team has a share of the cell when the cell is full, and an upper limit for its resources in the whole fleet.
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

// Queue accepts work of the given teams, or of any caller if it is open.
type Queue struct {
	Name string `json:"name"`
	Open bool   `json:"open,omitempty"`
	// Team is the team to which an open queue assigns the work of callers without a key.
	Team  string   `json:"team,omitempty"`
	Teams []string `json:"teams,omitempty"`
	// Service is the service whose endpoints answer the synchronous requests of the queue; it is empty for a queue of jobs.
	Service string `json:"service,omitempty"`
}

// Service is long-running work of which the system keeps a declared number of replicas running.
type Service struct {
	Name      string         `json:"name"`
	Team      string         `json:"team"`
	Replicas  int            `json:"replicas"`
	Resources fold.Resources `json:"resources"`
}

// Job is work that the system submits periodically, such as a nightly batch.
type Job struct {
	Name      string          `json:"name"`
	Queue     string          `json:"queue"`
	Team      string          `json:"team"`
	Kind      fold.Kind       `json:"kind"`
	Count     int             `json:"count"`
	Resources fold.Resources  `json:"resources"`
	Duration  config.Duration `json:"duration"`
	// Period is the period of the submissions; the first period begins at the Unix epoch.
	Period config.Duration `json:"every"`
	// Offset is the time from the beginning of a period to its submission.
	Offset     config.Duration `json:"at,omitempty"`
	Priority   int             `json:"priority,omitempty"`
	Retries    int             `json:"retries,omitempty"`
	Idempotent bool            `json:"idempotent,omitempty"`
}

// Policy holds the weights by which the scheduler balances short waiting times, packing and fairness.
type Policy struct {
	Waiting  float64 `json:"waiting,omitempty"`
	Packing  float64 `json:"packing,omitempty"`
	Fairness float64 `json:"fairness,omitempty"`
}

// Pool configures the size of the pools.
type Pool struct {
	Racks int `json:"racks,omitempty"`
}

const (
	// KindService is the kind of Retire that retires a service.
	KindService = "service"
	// KindQueue is the kind of Retire that retires a queue.
	KindQueue = "queue"
	// KindTeam is the kind of Retire that retires a team.
	KindTeam = "team"
)

// Retire ends a service, queue or team.
type Retire struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Grace is the time that running work has to end by itself before it is stopped.
	Grace config.Duration `json:"grace"`
}

// Parse decodes and checks a manifest. Errors refer to the text by name.
func Parse(name string, text []byte) (Manifest, error) {
	m, err := config.Parse[Manifest](name, text)
	if err != nil {
		return Manifest{}, err
	}
	return m, m.Check()
}

// servicePrefix is the prefix of the names of the queues that belong to declared services.
const servicePrefix = "service/"

// ServiceQueue returns the name of the queue through which the system submits a declared service.
func ServiceQueue(service string) string {
	return servicePrefix + service
}

// Queue returns the queue with the name. Each declared service has an implicit queue that only the team of the service
// may use.
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

// Retires reports whether the manifest retires the service, queue or team.
func (m Manifest) Retires(kind, name string) bool {
	for _, r := range m.Retire {
		if r.Kind == kind && r.Name == name {
			return true
		}
	}
	return false
}

// ShareOf returns the weight of a client account; an account that is not declared has the weight 1.
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
