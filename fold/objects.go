package fold

import "context"

// Objects is the platform's object store.
type Objects interface {
	// Put creates or replaces an object.
	Put(ctx context.Context, key string, body []byte) error
	// Get returns the body of an object, or a NotFound error.
	Get(ctx context.Context, key string) ([]byte, error)
	// List returns the keys with the prefix in sorted order.
	List(ctx context.Context, prefix string) ([]string, error)
	// Delete removes an object. It returns no error if the object does not exist.
	Delete(ctx context.Context, key string) error
}
