package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// request is a request to the platform.
type request struct {
	operation string
	method    string
	path      string
	body      []byte
	write     bool
}

// result is a value of the label Result of the metric of store requests.
type result string

const (
	resultOK          result = "OK"
	resultConflict    result = "Conflict"
	resultNotFound    result = "NotFound"
	resultUnavailable result = "Unavailable"
	resultInDoubt     result = "InDoubt"
	resultRefused     result = "Refused"
	resultLimited     result = "Limited"
	resultBreakerOpen result = "BreakerOpen"
	resultHedged      result = "Hedged"
)

var errRejected = errors.New("rejected by the platform")

// do sends the request within the rate limit. Reads are hedged, writes are sent once.
func (c *Connector) do(ctx context.Context, r request) ([]byte, error) {
	limiter := c.readLimiter
	if r.write {
		limiter = c.writeLimiter
	}
	if err := limiter.wait(ctx, storer.PriorityOf(ctx)); err != nil {
		c.count(r, resultLimited)
		return nil, err
	}
	if r.write {
		return c.attempt(ctx, r)
	}
	return c.sendHedged(ctx, r)
}

// attempt sends the request once.
func (c *Connector) attempt(ctx context.Context, r request) ([]byte, error) {
	if !c.breaker.allow() {
		c.count(r, resultBreakerOpen)
		return nil, fmt.Errorf("%w: circuit breaker open", storer.ErrUnavailable)
	}
	body, err := c.send(ctx, r)
	outcome := resultOf(err)
	if ctx.Err() != nil {
		c.breaker.cancel()
	} else {
		c.breaker.record(outcome != resultUnavailable && outcome != resultInDoubt)
	}
	c.count(r, outcome)
	return body, err
}

// send sends the request, reads the response, and maps failures to the errors of
// package storer.
func (c *Connector) send(ctx context.Context, r request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return nil, err
	}
	response, err := c.client.Do(req)
	if err != nil {
		if ctx.Err() != nil {
			// Other idle connections may have stopped responding too.
			c.transport.CloseIdleConnections()
		}
		return nil, noResponseError(r, connected.Load(), err)
	}
	defer response.Body.Close() //nolint:errcheck // A close error does not affect the response.
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, noResponseError(r, true, err)
	}
	return body, statusError(r, response.StatusCode)
}

// newRequest returns a request that http.Transport does not retry if it is a write:
// its body cannot be read twice, and it has no idempotency header.
func (c *Connector) newRequest(ctx context.Context, r request) (*http.Request, error) {
	var body io.Reader
	if r.body != nil {
		body = struct{ io.Reader }{bytes.NewReader(r.body)}
	}
	req, err := http.NewRequestWithContext(ctx, r.method, c.baseURL+r.path, body)
	if err != nil {
		return nil, eris.Wrap(err, "make request")
	}
	if r.body != nil {
		req.ContentLength = int64(len(r.body))
		req.Header.Set("Content-Type", "application/json")
	}
	if c.key != "" {
		req.Header.Set("Authorization", bearerPrefix+c.key)
	}
	return req, nil
}

// noResponseError returns the error of a request without a complete, valid response.
func noResponseError(r request, sent bool, err error) error {
	if r.write && sent {
		return fmt.Errorf("%w: %s: %w", storer.ErrInDoubt, r.operation, err)
	}
	return fmt.Errorf("%w: %s: %w", storer.ErrUnavailable, r.operation, err)
}

// statusError returns the error for an HTTP status.
func statusError(r request, status int) error {
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusConflict:
		return storer.ErrConflict
	case status == http.StatusNotFound:
		return storer.ErrNotFound
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", storer.ErrUnavailable, status)
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return fmt.Errorf("%w: %s: status %d", errRejected, r.operation, status)
	case r.write:
		return fmt.Errorf("%w: status %d", storer.ErrInDoubt, status)
	}
	return fmt.Errorf("%w: status %d", storer.ErrUnavailable, status)
}

func resultOf(err error) result {
	switch {
	case err == nil:
		return resultOK
	case errors.Is(err, storer.ErrConflict):
		return resultConflict
	case errors.Is(err, storer.ErrNotFound):
		return resultNotFound
	case errors.Is(err, storer.ErrInDoubt):
		return resultInDoubt
	case errors.Is(err, storer.ErrUnavailable):
		return resultUnavailable
	}
	return resultRefused
}

func (c *Connector) count(r request, outcome result) {
	c.meter.StoreRequests.WithLabelValues(r.operation, string(outcome)).Inc()
}

// exchange sends in as JSON, unless it is nil, and decodes the response into out.
func (c *Connector) exchange(ctx context.Context, r request, in, out any) error {
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return eris.Wrap(err, "encode request")
		}
		r.body = body
	}
	response, err := c.do(ctx, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(response, out); err != nil {
		return noResponseError(r, true, err)
	}
	return nil
}
