package worker

import (
	"net/http"
	"sort"
	"sync"

	"plantainfold.example/fold"
)

// Member is one worker of a site with its endpoint and its faults. Endpoint is nil if the worker has none.
type Member struct {
	Worker   *Worker
	Endpoint *Endpoint
	Rack     string
	Faults   *Faults
}

// NewMember returns a worker with its endpoint, rack and faults.
func NewMember(w *Worker, endpoint *Endpoint, rack string, faults *Faults) *Member {
	return &Member{Worker: w, Endpoint: endpoint, Rack: rack, Faults: faults}
}

// Site serves many workers over HTTP, each under its name, and sets their faults.
type Site struct {
	mu      sync.Mutex
	members map[string]*Member
	routes  map[string]http.Handler
}

// NewSite returns a site without workers.
func NewSite() *Site {
	return &Site{members: make(map[string]*Member), routes: make(map[string]http.Handler)}
}

// Add adds a worker, which is served under /name/.
func (s *Site) Add(name string, m *Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members[name] = m
	s.routes[name] = http.StripPrefix("/"+name, m.Handler())
}

// FaultOrder is an order that sets the fault of one worker, of the workers of a rack, or of all workers if neither is named.
type FaultOrder struct {
	Worker string `json:"worker,omitempty"`
	Rack   string `json:"rack,omitempty"`
	// Restart restarts the workers once, which loses all their tasks.
	Restart bool `json:"restart,omitempty"`
	Fault
}

// Apply replaces the fault of the workers that the order selects and returns their number.
func (s *Site) Apply(o FaultOrder) int {
	n := 0
	for name, m := range s.copyMembers() {
		if (o.Worker != "" && o.Worker != name) || (o.Rack != "" && o.Rack != m.Rack) {
			continue
		}
		n++
		m.Faults.Set(o.Fault)
		if o.Restart {
			m.Worker.Restart()
		}
	}
	return n
}

// Runs returns the runs of all workers, ordered by start time.
func (s *Site) Runs() []Run {
	var runs []Run
	for _, m := range s.copyMembers() {
		runs = append(runs, m.Worker.Runs()...)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].Begin < runs[j].Begin })
	return runs
}

// Served returns how often each request id ran, summed over all endpoints.
func (s *Site) Served() map[string]int {
	served := make(map[string]int)
	for _, m := range s.copyMembers() {
		if m.Endpoint == nil {
			continue
		}
		for id, n := range m.Endpoint.Served() {
			served[id] += n
		}
	}
	return served
}

// Handler serves the workers, the control of their faults, and the runs and served requests of all of them.
func (s *Site) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/faults", func(w http.ResponseWriter, r *http.Request) {
		var order FaultOrder
		if !decodeBody(w, r, &order) {
			return
		}
		n := s.Apply(order)
		if n == 0 {
			writeAnswer(w, struct{}{}, fold.Refuse(fold.NotFound, "check the name", "no such worker or rack"))
			return
		}
		writeAnswer(w, struct {
			Workers int `json:"workers"`
		}{n}, nil)
	})
	mux.HandleFunc("GET /v1/runs", func(w http.ResponseWriter, _ *http.Request) { writeAnswer(w, runsBody{s.Runs()}, nil) })
	mux.HandleFunc("GET /v1/served", func(w http.ResponseWriter, _ *http.Request) { writeAnswer(w, servedBody{s.Served()}, nil) })
	mux.HandleFunc("/{name}/", s.route)
	return mux
}

func (s *Site) route(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	next, ok := s.routes[r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	next.ServeHTTP(w, r)
}

func (s *Site) copyMembers() map[string]*Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]*Member, len(s.members))
	for name, m := range s.members {
		all[name] = m
	}
	return all
}
