package plat

import (
	"context"
	"sort"
	"sync"

	"plantainfold.example/fold"
)

// Fleet is an in-memory instance list.
type Fleet struct {
	mu        sync.Mutex
	instances map[string]fold.Instance
}

var _ Registry = &Fleet{}

// NewFleet returns a list of the given instances.
func NewFleet(instances ...fold.Instance) *Fleet {
	f := &Fleet{instances: make(map[string]fold.Instance)}
	for _, in := range instances {
		f.instances[in.Name] = in
	}
	return f
}

// Instances returns all instances, sorted by name.
func (f *Fleet) Instances(context.Context) ([]fold.Instance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]fold.Instance, 0, len(f.instances))
	for _, in := range f.instances {
		list = append(list, in)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, nil
}

// Set adds or replaces an instance.
func (f *Fleet) Set(in fold.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances[in.Name] = in
}

// Remove removes an instance.
func (f *Fleet) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.instances, name)
}
