package client

import (
	"context"
	"net/http"

	"plantainfold.example/fold"
)

// Fleet reads the instance list of the platform over HTTP.
type Fleet struct {
	base string
	http *http.Client
}

var _ fold.Fleet = &Fleet{}

// NewFleet returns a client of the instance list at a base URL.
func NewFleet(base string, c *http.Client) *Fleet {
	return &Fleet{base: base, http: c}
}

// Instances returns the live and the leaving instances.
func (f *Fleet) Instances(ctx context.Context) ([]fold.Instance, error) {
	out, err := callJSON[struct {
		Instances []fold.Instance `json:"instances"`
	}](ctx, f.http, http.MethodGet, f.base+"/v1/instances", nil)
	return out.Instances, err
}
