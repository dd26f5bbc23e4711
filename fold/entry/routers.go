package entry

import (
	"math/rand/v2"
	"sync"

	"plantainfold.example/fold"
	"plantainfold.example/fold/route"
)

// routers holds one router for each service.
type routers struct {
	// self is the name of this entry.
	self string
	// domain is the failure domain of this entry.
	domain string
	random *rand.Rand

	mu sync.Mutex
	// services holds the routers by service.
	services map[string]*router
}

func newRouters(self, domain string, random *rand.Rand) *routers {
	return &routers{self: self, domain: domain, random: random, services: make(map[string]*router)}
}

// update replaces the endpoints of all services by those of the instance list.
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
	for service, svc := range r.services {
		svc.update(now, route.Subset(r.self, entries, byService[service]))
	}
}

// get returns the router of a service, if the service has had an endpoint.
func (r *routers) get(service string) (*router, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	found, ok := r.services[service]
	return found, ok
}
