package dispatcher

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// Paths of the engine protocol.
const (
	pathGenerate = "/v1/generate"
	pathCancel   = "/v1/cancel"
	pathLoad     = "/v1/load"
	pathHoldings = "/v1/holdings"
	pathRelease  = "/v1/release"
	pathEvents   = "/v1/events"
	pathExport   = "/v1/export"
	pathImport   = "/v1/import"
	pathOrders   = "/v1/orders"
	pathState    = "/v1/state"
	pathHealth   = "/healthz"
)

const contentTypeBinary = "application/octet-stream"

// Cancel stops the attempt. An attempt that the engine does not know is not an
// error.
func (d *Dispatcher) Cancel(ctx context.Context, endpoint *compiler.Endpoint, request string) error {
	return d.control(ctx, endpoint, http.MethodPost, pathCancel, generator.CancelRequest{Request: request}, nil)
}

// Release frees the program's cache entries.
func (d *Dispatcher) Release(ctx context.Context, endpoint *compiler.Endpoint, program string) error {
	return d.control(ctx, endpoint, http.MethodPost, pathRelease, generator.ReleaseRequest{Program: program}, nil)
}

// Load returns the engine's load report, which is delayed.
func (d *Dispatcher) Load(ctx context.Context, endpoint *compiler.Endpoint) (generator.LoadReport, error) {
	var report generator.LoadReport
	err := d.control(ctx, endpoint, http.MethodGet, pathLoad, nil, &report)
	return report, err
}

// Holdings returns the number of tokens that the engine's cache holds of each
// program.
func (d *Dispatcher) Holdings(ctx context.Context, endpoint *compiler.Endpoint) (generator.HoldingReport, error) {
	var report generator.HoldingReport
	err := d.control(ctx, endpoint, http.MethodGet, pathHoldings, nil, &report)
	return report, err
}

// Events returns the cache events after the given number.
func (d *Dispatcher) Events(ctx context.Context, endpoint *compiler.Endpoint, after int64) (generator.CacheEventPage, error) {
	query := url.Values{"After": {strconv.FormatInt(after, 10)}}
	var page generator.CacheEventPage
	err := d.control(ctx, endpoint, http.MethodGet, pathEvents+"?"+query.Encode(), nil, &page)
	return page, err
}

// Export returns the program's cache entries as opaque bytes.
func (d *Dispatcher) Export(ctx context.Context, endpoint *compiler.Endpoint, program string) ([]byte, error) {
	body, err := json.Marshal(generator.ReleaseRequest{Program: program})
	if err != nil {
		return nil, eris.Wrap(err, "encode request")
	}
	return d.fetch(ctx, endpoint, boundedRequest{
		method: http.MethodPost, path: pathExport, contentType: contentTypeJSON, body: body,
		timeout: d.cacheTimeout, limit: d.cacheBytes,
	})
}

// Import adds cache entries exported from another engine.
func (d *Dispatcher) Import(ctx context.Context, endpoint *compiler.Endpoint, body []byte) error {
	_, err := d.fetch(ctx, endpoint, boundedRequest{
		method: http.MethodPost, path: pathImport, contentType: contentTypeBinary, body: body,
		timeout: d.cacheTimeout, limit: d.responseBytes,
	})
	return err
}

// SendOrder sends an order to the engine. The error wraps ErrFenced if the engine
// has seen a higher fencing token.
func (d *Dispatcher) SendOrder(ctx context.Context, endpoint *compiler.Endpoint, order generator.Order) (generator.OrderReport, error) {
	var report generator.OrderReport
	b := boundedRequest{method: http.MethodPost, path: pathOrders, timeout: d.orderTimeout, limit: d.responseBytes}
	err := d.exchangeJSON(ctx, endpoint, b, order, &report)
	var failure *Failure
	if errors.As(err, &failure) && failure.Status == http.StatusConflict {
		failure.Cause = ErrFenced
	}
	return report, err
}

// State returns the part of the engine's state that orders change.
func (d *Dispatcher) State(ctx context.Context, endpoint *compiler.Endpoint) (generator.OrderReport, error) {
	var report generator.OrderReport
	err := d.control(ctx, endpoint, http.MethodGet, pathState, nil, &report)
	return report, err
}

// Ping checks the health of the endpoint.
func (d *Dispatcher) Ping(ctx context.Context, endpoint *compiler.Endpoint) error {
	return d.control(ctx, endpoint, http.MethodGet, pathHealth, nil, nil)
}
