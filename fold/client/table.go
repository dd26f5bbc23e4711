package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"plantainfold.example/fold"
)

// Table is a client of the table service over HTTP.
type Table struct {
	base string
	http *http.Client
}

var _ fold.Table = &Table{}

// NewTable returns a client of the table service at a base URL.
func NewTable(base string, c *http.Client) *Table {
	return &Table{base: base, http: c}
}

// Get returns a row, or a NotFound error.
func (t *Table) Get(ctx context.Context, key string) (fold.Row, error) {
	q := url.Values{"key": {key}}
	return callJSON[fold.Row](ctx, t.http, http.MethodGet, t.base+"/v1/table/row?"+q.Encode(), nil)
}

// Scan returns up to limit rows with the prefix whose keys are greater than after, in key order.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]fold.Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	out, err := callJSON[struct {
		Rows []fold.Row `json:"rows"`
	}](ctx, t.http, http.MethodGet, t.base+"/v1/table/rows?"+q.Encode(), nil)
	return out.Rows, err
}

// Commit applies a transaction and returns the version of its writes, or a Conflict error.
func (t *Table) Commit(ctx context.Context, txn fold.Txn) (int64, error) {
	out, err := callJSON[struct {
		Version int64 `json:"version"`
	}](ctx, t.http, http.MethodPost, t.base+"/v1/table/commit", txn)
	return out.Version, err
}

// conflictError returns the error for the body of an answer with the status 409, which may name the key in conflict.
func conflictError(body []byte) error {
	var refused struct {
		Key string `json:"key"`
	}
	if json.Unmarshal(body, &refused) != nil || refused.Key == "" {
		return fold.Refuse(fold.Conflict, "read again and retry", "%s", body[:min(len(body), maxErrorText)])
	}
	return fold.ConflictOn(refused.Key)
}
