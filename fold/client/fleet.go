package client

import (
	"context"
	"net/http"

	"plantainfold.example/fold"
)

// Fleet is the instance list over HTTP.
type Fleet struct {
	base string
	http *http.Client
}

var _ fold.Fleet = &Fleet{}

// NewFleet returns the instance list at a base URL.
func NewFleet(base string, c *http.Client) *Fleet {
	return &Fleet{base: base, http: c}
}

// Instances returns the live and leaving instances.
func (f *Fleet) Instances(ctx context.Context) ([]fold.Instance, error) {
	out, err := call[struct {
		Instances []fold.Instance `json:"instances"`
	}](ctx, f.http, http.MethodGet, f.base+"/v1/instances", nil)
	return out.Instances, err
}
