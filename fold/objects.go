package fold

import "context"

// Objects is the platform's object store.
type Objects interface {
	// Put writes a whole object.
	Put(ctx context.Context, key string, body []byte) error
	// Get returns a whole object, or a NotFound error.
	Get(ctx context.Context, key string) ([]byte, error)
	// List returns the keys with the prefix, in order.
	List(ctx context.Context, prefix string) ([]string, error)
	// Delete removes an object; removing an absent one is no error.
	Delete(ctx context.Context, key string) error
}
