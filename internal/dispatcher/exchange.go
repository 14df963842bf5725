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
	contentJSON = "application/json"
	// maximumErrorBytes bounds what is read of an error's body for the log.
	maximumErrorBytes = 512
)

// exchange is one request to an endpoint and its answer.
type exchange struct {
	endpoint *compiler.Endpoint
	trace    sendTrace
	context  context.Context
	cancel   context.CancelCauseFunc
	watch    *time.Timer
	leaving  func(endpoint string)
}

// newExchange returns an exchange that is silent if it isn't extended within the bound.
func (d *Dispatcher) newExchange(ctx context.Context, endpoint *compiler.Endpoint, bound time.Duration) *exchange {
	x := &exchange{endpoint: endpoint, leaving: d.leaving}
	x.context, x.cancel = context.WithCancelCause(ctx)
	x.watch = time.AfterFunc(bound, func() { x.cancel(errSilent) })
	return x
}

// extend gives the next bytes their own bound.
func (x *exchange) extend(bound time.Duration) { x.watch.Reset(bound) }

// close ends the exchange and what belongs to it.
func (x *exchange) close() {
	x.watch.Stop()
	x.cancel(nil)
}

// newRequest returns a request that net/http can't replay: its body can be
// read once only.
func (x *exchange) newRequest(method, path, contentType string, body []byte) (*http.Request, error) {
	ctx := httptrace.WithClientTrace(x.context, x.trace.hooks())
	request, err := http.NewRequestWithContext(ctx, method, address(x.endpoint, path), http.NoBody)
	if err != nil {
		return nil, x.fail(NotSent, eris.Wrap(err, "make request"))
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

// send sends the request and returns its answer's header.
func (x *exchange) send(transport *http.Transport, request *http.Request) (*http.Response, error) {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, x.broken(err, Unknown)
	}
	x.trace.answered()
	return response, nil
}

// broken returns the failure of a request whose connection failed; reason
// holds if bytes were sent and neither the bound nor the caller ended it.
func (x *exchange) broken(err error, reason Reason) *Failure {
	sent := x.trace.sent()
	cause := context.Cause(x.context)
	switch {
	case !sent:
		reason = NotSent
	case errors.Is(cause, errSilent):
		reason = Silent
	case cause != nil:
		reason = Canceled
	}
	if cause != nil {
		err = cause
	}
	return x.fail(reason, err)
}

func (x *exchange) fail(reason Reason, cause error) *Failure {
	return &Failure{
		Reason:   reason,
		Endpoint: x.endpoint.Name,
		Reused:   x.trace.wasReused(),
		Cause:    cause,
	}
}

// refused returns the failure for an answer that is an error by its status.
func (x *exchange) refused(response *http.Response) *Failure {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maximumErrorBytes))
	failure := x.fail(Failed, eris.Errorf("endpoint answered %q", text))
	failure.Status = response.StatusCode
	failure.Leaving = response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(LeavingHeader) != ""
	if failure.Leaving {
		x.leaving(x.endpoint.Name)
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	return failure
}

// short is a request whose answer is read whole. It may be repeated.
type short struct {
	method      string
	path        string
	contentType string
	body        []byte
	// bound is the time in all, and limit the size of the answer in bytes.
	bound time.Duration
	limit int64
}

// control sends a short request with an optional JSON body, and decodes the
// answer into out unless it is nil.
func (d *Dispatcher) control(ctx context.Context, endpoint *compiler.Endpoint, method, path string, in, out any) error {
	return d.exchangeJSON(ctx, endpoint, short{method: method, path: path, bound: d.controlTimeout, limit: d.answerBytes}, in, out)
}

func (d *Dispatcher) exchangeJSON(ctx context.Context, endpoint *compiler.Endpoint, s short, in, out any) error {
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return eris.Wrap(err, "encode request")
		}
		s.body = encoded
		s.contentType = contentJSON
	}
	answer, err := d.fetch(ctx, endpoint, s)
	if err != nil || out == nil {
		return err
	}
	return eris.Wrap(json.Unmarshal(answer, out), "decode answer")
}

// fetch sends a short request and returns the whole body of its answer.
func (d *Dispatcher) fetch(ctx context.Context, endpoint *compiler.Endpoint, s short) ([]byte, error) {
	x := d.newExchange(ctx, endpoint, s.bound)
	defer x.close()
	request, err := x.newRequest(s.method, s.path, s.contentType, s.body)
	if err != nil {
		return nil, err
	}
	response, err := x.send(d.transportFor(ctx), request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, x.refused(response)
	}
	return x.readAll(response, s.limit)
}

// readAll returns the whole body of the answer, or a failure if it is cut or too large.
func (x *exchange) readAll(response *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errTooLarge
	}
	if err != nil {
		failure := x.broken(err, Truncated)
		failure.Status = response.StatusCode
		return nil, failure
	}
	return body, nil
}

// wasReused reports whether the request's connection had served others.
func (t *sendTrace) wasReused() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.reused
}
