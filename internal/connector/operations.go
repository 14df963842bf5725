package connector

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// Commit implements storer.Table.
func (c *Connector) Commit(ctx context.Context, commit storer.Commit) (storer.Result, error) {
	var out storer.Result
	r := request{operation: "Commit", method: http.MethodPost, path: storer.PathCommit, write: true}
	err := c.exchange(ctx, r, commit, &out)
	return out, err
}

// Read implements storer.Table.
func (c *Connector) Read(ctx context.Context, keys ...string) ([]storer.Row, error) {
	var out storer.ReadResponse
	r := request{operation: "Read", method: http.MethodPost, path: storer.PathRead}
	if err := c.exchange(ctx, r, storer.ReadRequest{Keys: keys}, &out); err != nil {
		return nil, err
	}
	if len(out.Rows) != len(keys) {
		return nil, eris.Errorf("read returned %d rows for %d keys", len(out.Rows), len(keys))
	}
	return out.Rows, nil
}

// Scan implements storer.Table.
func (c *Connector) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	var out storer.ReadResponse
	r := request{operation: "Scan", method: http.MethodPost, path: storer.PathScan}
	err := c.exchange(ctx, r, storer.ScanRequest{Prefix: prefix, After: after, Limit: limit}, &out)
	return out.Rows, err
}

// Put implements storer.Objects.
func (c *Connector) Put(ctx context.Context, key string, body []byte) error {
	_, err := c.do(ctx, request{
		operation: "Put", method: http.MethodPut, path: objectPath(key), body: body, write: true,
	})
	return err
}

// Get implements storer.Objects.
func (c *Connector) Get(ctx context.Context, key string) ([]byte, error) {
	return c.do(ctx, request{operation: "Get", method: http.MethodGet, path: objectPath(key)})
}

// Delete implements storer.Objects.
func (c *Connector) Delete(ctx context.Context, key string) error {
	_, err := c.do(ctx, request{
		operation: "Delete", method: http.MethodDelete, path: objectPath(key), write: true,
	})
	return err
}

// List implements storer.Objects.
func (c *Connector) List(ctx context.Context, prefix string, limit int) ([]string, error) {
	query := url.Values{"Prefix": {prefix}, "Limit": {strconv.Itoa(limit)}}
	var out storer.ObjectList
	r := request{operation: "List", method: http.MethodGet, path: storer.PathObjects + "?" + query.Encode()}
	err := c.exchange(ctx, r, nil, &out)
	return out.Keys, err
}

// Instances implements storer.Lister.
func (c *Connector) Instances(ctx context.Context) ([]storer.Listing, error) {
	var out storer.ListingPage
	r := request{operation: "Instances", method: http.MethodGet, path: storer.PathInstances}
	err := c.exchange(ctx, r, nil, &out)
	return out.Instances, err
}

// objectPath returns the URL path of an object. Slashes in the key are kept, and
// characters that a path cannot contain are escaped.
func objectPath(key string) string {
	return storer.PathObjects + "/" + (&url.URL{Path: key}).EscapedPath()
}
