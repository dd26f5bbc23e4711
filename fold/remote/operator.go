package remote

import (
	"context"
	"net/http"
	"net/url"

	"plantainfold.example/fold"
)

// Drain starts to drain a worker, endpoint, service, queue, team or entry.
func (c *Client) Drain(ctx context.Context, d fold.Drain) (fold.DrainStatus, error) {
	return call[fold.DrainStatus](ctx, c, http.MethodPost, "/v1/drains", d)
}

// Undrain ends a drain and puts its target back into use.
func (c *Client) Undrain(ctx context.Context, kind, name string) (fold.Revision, error) {
	return call[fold.Revision](ctx, c, http.MethodDelete, "/v1/drains/"+url.PathEscape(kind)+"/"+url.PathEscape(name), nil)
}

// Drains lists the drains and their progress.
func (c *Client) Drains(ctx context.Context) ([]fold.DrainStatus, error) {
	return call[[]fold.DrainStatus](ctx, c, http.MethodGet, "/v1/drains", nil)
}

// Events lists the actions that the system took on its own, newest last.
func (c *Client) Events(ctx context.Context) ([]fold.Event, error) {
	return call[[]fold.Event](ctx, c, http.MethodGet, "/v1/events", nil)
}

// History lists earlier configuration changes, newest last.
func (c *Client) History(ctx context.Context) ([]fold.Change, error) {
	return call[[]fold.Change](ctx, c, http.MethodGet, "/v1/history", nil)
}

// Cell returns the status of all entries that answer.
func (c *Client) Cell(ctx context.Context) ([]fold.Status, error) {
	return call[[]fold.Status](ctx, c, http.MethodGet, "/v1/cell", nil)
}

// Spread returns the newest configuration revision that the entry knows and which entries use it.
func (c *Client) Spread(ctx context.Context) (fold.Revision, error) {
	return call[fold.Revision](ctx, c, http.MethodGet, "/v1/spread", nil)
}

// Raw returns the body of the response to a GET request for a path of the entry.
func (c *Client) Raw(ctx context.Context, path string) ([]byte, error) {
	got, err := c.send(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, err
	}
	if got.status >= http.StatusBadRequest {
		return nil, got.refusal()
	}
	return got.body, nil
}
