package client

import (
	"context"
	"net/http"
	"net/url"

	"plantainfold.example/fold"
)

// Objects is a client of the object store over HTTP.
type Objects struct {
	base string
	http *http.Client
}

var _ fold.Objects = &Objects{}

// NewObjects returns a client of the object store at a base URL.
func NewObjects(base string, c *http.Client) *Objects {
	return &Objects{base: base, http: c}
}

// Put writes an object, or replaces it.
func (o *Objects) Put(ctx context.Context, key string, body []byte) error {
	_, err := sendBody(ctx, o.http, http.MethodPut, o.base+"/v1/objects/"+key, body)
	return err
}

// Get returns the content of an object, or a NotFound error.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	return sendBody(ctx, o.http, http.MethodGet, o.base+"/v1/objects/"+key, nil)
}

// List returns the keys with the prefix, in key order.
func (o *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	q := url.Values{"prefix": {prefix}}
	out, err := callJSON[struct {
		Keys []string `json:"keys"`
	}](ctx, o.http, http.MethodGet, o.base+"/v1/objects?"+q.Encode(), nil)
	return out.Keys, err
}

// Delete removes an object.
func (o *Objects) Delete(ctx context.Context, key string) error {
	_, err := sendBody(ctx, o.http, http.MethodDelete, o.base+"/v1/objects/"+key, nil)
	return err
}
