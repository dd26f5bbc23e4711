package entry

import (
	"math/rand/v2"
	"sync"

	"plantainfold.example/fold"
	"plantainfold.example/fold/route"
)

// routers holds one router for each service.
type routers struct {
	self   string
	domain string
	random *rand.Rand

	mu       sync.Mutex
	services map[string]*router
}

func newRouters(self, domain string, random *rand.Rand) *routers {
	return &routers{self: self, domain: domain, random: random, services: make(map[string]*router)}
}

// update replaces the endpoints of all services.
func (r *routers) update(now fold.Instant, list []fold.Instance) {
	var entries []fold.Instance
	byService := make(map[string][]fold.Instance)
	for _, in := range list {
		switch {
		case in.Role == fold.RoleEndpoint:
			byService[in.Service] = append(byService[in.Service], in)
		case in.Role == fold.RoleEntry && in.State == fold.Live:
			entries = append(entries, in)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for service := range byService {
		if r.services[service] == nil {
			seeded := rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64()))
			r.services[service] = newRouter(r.domain, seeded)
		}
	}
	for service, one := range r.services {
		one.update(now, route.Subset(r.self, entries, byService[service]))
	}
}

func (r *routers) of(service string) (*router, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one, ok := r.services[service]
	return one, ok
}
