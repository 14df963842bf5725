package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

const (
	contentTypeJSON = "application/json"
	// maxStatus is the highest status code of HTTP.
	maxStatus = 599
	// maximumErrorBytes bounds how much of the body of an error response is logged.
	maximumErrorBytes = 512
)

// exchange is one request to an endpoint and its response.
type exchange struct {
	endpoint  *compiler.Endpoint
	trace     sendTrace
	context   context.Context
	cancel    context.CancelCauseFunc
	timer     *time.Timer
	onLeaving func(endpoint string)
}

// newExchange returns an exchange that fails with Silent after the timeout unless
// it is extended or closed before.
func (d *Dispatcher) newExchange(ctx context.Context, endpoint *compiler.Endpoint, timeout time.Duration) *exchange {
	x := &exchange{endpoint: endpoint, onLeaving: d.onLeaving}
	x.context, x.cancel = context.WithCancelCause(ctx)
	x.timer = time.AfterFunc(timeout, func() { x.cancel(errTimeout) })
	return x
}

// extend restarts the timer with the timeout.
func (x *exchange) extend(timeout time.Duration) { x.timer.Reset(timeout) }

// close stops the timer and cancels the request.
func (x *exchange) close() {
	x.timer.Stop()
	x.cancel(nil)
}

// newRequest returns a request that net/http never resends if it has a body, since
// GetBody is nil.
func (x *exchange) newRequest(method, path, contentType string, body []byte) (*http.Request, error) {
	ctx := httptrace.WithClientTrace(x.context, x.trace.hooks())
	request, err := http.NewRequestWithContext(ctx, method, requestURL(x.endpoint, path), http.NoBody)
	if err != nil {
		return nil, x.newFailure(NotSent, eris.Wrap(err, "create request"))
	}
	request.GetBody = nil
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
	}
	return request, nil
}

// send sends the request and returns the response with an unread body.
func (x *exchange) send(transport *http.Transport, request *http.Request) (*http.Response, error) {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, x.connFailure(err, Unknown)
	}
	x.trace.responseStarted()
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		_ = response.Body.Close() // The connection is not used again.
		return nil, x.connFailure(eris.Wrapf(errProtocol, "status %03d", response.StatusCode), Unknown)
	}
	return response, nil
}

// connFailure returns the failure of a request whose connection failed. It has the
// given reason if bytes may have been sent and the request was neither timed out
// nor canceled.
func (x *exchange) connFailure(err error, reason Reason) *Failure {
	sent := x.trace.stopSending()
	cause := context.Cause(x.context)
	switch {
	case !sent:
		reason = NotSent
	case errors.Is(cause, errTimeout):
		reason = Silent
	case cause != nil:
		reason = Canceled
	}
	if cause != nil {
		err = cause
	}
	return x.newFailure(reason, err)
}

func (x *exchange) newFailure(reason Reason, cause error) *Failure {
	return &Failure{
		Reason:   reason,
		Endpoint: x.endpoint.Name,
		Reused:   x.trace.wasReused(),
		Cause:    cause,
	}
}

// statusFailure returns the failure for a response with an error status.
func (x *exchange) statusFailure(response *http.Response) *Failure {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maximumErrorBytes))
	failure := x.newFailure(Failed, eris.Errorf("endpoint responded with %q", text))
	failure.Status = response.StatusCode
	failure.Leaving = response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(LeavingHeader) != ""
	if failure.Leaving {
		x.onLeaving(x.endpoint.Name)
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	return failure
}

// boundedRequest is a request that is safe to repeat and whose response is read in
// full.
type boundedRequest struct {
	method      string
	path        string
	contentType string
	body        []byte
	// timeout bounds the whole exchange, and limit the response body in bytes.
	timeout time.Duration
	limit   int64
}

// control sends a request with an optional JSON body and the control timeout, and
// decodes the response into out unless out is nil.
func (d *Dispatcher) control(ctx context.Context, endpoint *compiler.Endpoint, method, path string, in, out any) error {
	return d.exchangeJSON(ctx, endpoint, boundedRequest{method: method, path: path, timeout: d.controlTimeout, limit: d.responseBytes}, in, out)
}

// exchangeJSON sends the request with in as its JSON body unless in is nil, and
// decodes the response into out unless out is nil.
func (d *Dispatcher) exchangeJSON(ctx context.Context, endpoint *compiler.Endpoint, b boundedRequest, in, out any) error {
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return eris.Wrap(err, "encode request")
		}
		b.body = encoded
		b.contentType = contentTypeJSON
	}
	body, err := d.fetch(ctx, endpoint, b)
	if err != nil || out == nil {
		return err
	}
	return eris.Wrap(json.Unmarshal(body, out), "decode response")
}

// fetch sends the request and returns the body of the response.
func (d *Dispatcher) fetch(ctx context.Context, endpoint *compiler.Endpoint, b boundedRequest) ([]byte, error) {
	x := d.newExchange(ctx, endpoint, b.timeout)
	defer x.close()
	request, err := x.newRequest(b.method, b.path, b.contentType, b.body)
	if err != nil {
		return nil, err
	}
	response, err := x.send(d.transportFor(ctx), request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, x.statusFailure(response)
	}
	return x.readAll(response, b.limit)
}

// readAll returns the body of the response, or a failure if the body is truncated
// or larger than the limit.
func (x *exchange) readAll(response *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errResponseSize
	}
	if err != nil {
		failure := x.connFailure(err, Truncated)
		failure.Status = response.StatusCode
		return nil, failure
	}
	return body, nil
}

// wasReused reports whether the request's connection had served other requests.
func (t *sendTrace) wasReused() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.reused
}
