package remote

import (
	"context"
	"net/http"
	"net/url"

	"plantainfold.example/fold"
)

// Drain begins a drain.
func (c *Client) Drain(ctx context.Context, d fold.Drain) (fold.DrainStatus, error) {
	return call[fold.DrainStatus](ctx, c, http.MethodPost, "/v1/drains", d)
}

// Undrain returns what was drained to use.
func (c *Client) Undrain(ctx context.Context, kind, name string) (fold.Revision, error) {
	return call[fold.Revision](ctx, c, http.MethodDelete, "/v1/drains/"+url.PathEscape(kind)+"/"+url.PathEscape(name), nil)
}

// Drains lists drains and their progress.
func (c *Client) Drains(ctx context.Context) ([]fold.DrainStatus, error) {
	return call[[]fold.DrainStatus](ctx, c, http.MethodGet, "/v1/drains", nil)
}

// Events lists what the system did by itself, newest last.
func (c *Client) Events(ctx context.Context) ([]fold.Event, error) {
	return call[[]fold.Event](ctx, c, http.MethodGet, "/v1/events", nil)
}

// History lists earlier changes of the configuration, newest last.
func (c *Client) History(ctx context.Context) ([]fold.Change, error) {
	return call[[]fold.Change](ctx, c, http.MethodGet, "/v1/history", nil)
}

// Cell describes all entries that answer.
func (c *Client) Cell(ctx context.Context) ([]fold.Status, error) {
	return call[[]fold.Status](ctx, c, http.MethodGet, "/v1/cell", nil)
}

// Spread says at which entries the newest revision known to the entry is in force.
func (c *Client) Spread(ctx context.Context) (fold.Revision, error) {
	return call[fold.Revision](ctx, c, http.MethodGet, "/v1/spread", nil)
}

// Raw returns the body of a page or document of the entry.
func (c *Client) Raw(ctx context.Context, path string) ([]byte, error) {
	got, err := c.send(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, err
	}
	if got.status >= http.StatusBadRequest {
		return nil, got.problem()
	}
	return got.body, nil
}
