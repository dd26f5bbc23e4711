package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"plantainfold.example/fold"
)

// Table is the table service over HTTP.
type Table struct {
	base string
	http *http.Client
}

var _ fold.Table = &Table{}

// NewTable returns the table service at a base URL.
func NewTable(base string, c *http.Client) *Table {
	return &Table{base: base, http: c}
}

// Get returns a row, or a NotFound error.
func (t *Table) Get(ctx context.Context, key string) (fold.Row, error) {
	q := url.Values{"key": {key}}
	return call[fold.Row](ctx, t.http, http.MethodGet, t.base+"/v1/table/row?"+q.Encode(), nil)
}

// Scan returns rows with the prefix after a key, in key order.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]fold.Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	out, err := call[struct {
		Rows []fold.Row `json:"rows"`
	}](ctx, t.http, http.MethodGet, t.base+"/v1/table/rows?"+q.Encode(), nil)
	return out.Rows, err
}

// Commit applies a transaction.
func (t *Table) Commit(ctx context.Context, txn fold.Txn) (int64, error) {
	out, err := call[struct {
		Version int64 `json:"version"`
	}](ctx, t.http, http.MethodPost, t.base+"/v1/table/commit", txn)
	return out.Version, err
}

// conflictOn returns the conflict that the body of a 409 names.
func conflictOn(body []byte) error {
	var refused struct {
		Key string `json:"key"`
	}
	if json.Unmarshal(body, &refused) != nil || refused.Key == "" {
		return fold.Refuse(fold.Conflict, "read again and retry", "%s", body[:min(len(body), maxErrorText)])
	}
	return fold.ConflictOn(refused.Key)
}
