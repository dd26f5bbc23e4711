package plat

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"

	"plantainfold.example/fold"
)

// Objects is an in-memory object store.
type Objects struct {
	mu     sync.Mutex
	bodies map[string][]byte
}

var _ fold.Objects = &Objects{}

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	return &Objects{bodies: make(map[string][]byte)}
}

// Put writes a whole object.
func (o *Objects) Put(_ context.Context, key string, body []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bodies[key] = bytes.Clone(body)
	return nil
}

// Get returns a whole object, or a NotFound error.
func (o *Objects) Get(_ context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	body, ok := o.bodies[key]
	if !ok {
		return nil, fold.Refuse(fold.NotFound, "check the key", "no object %q", key)
	}
	return bytes.Clone(body), nil
}

// List returns the keys with the prefix, sorted.
func (o *Objects) List(_ context.Context, prefix string) ([]string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var keys []string
	for key := range o.bodies {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys, nil
}

// Delete removes an object.
func (o *Objects) Delete(_ context.Context, key string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.bodies, key)
	return nil
}
