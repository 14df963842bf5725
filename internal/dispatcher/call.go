package dispatcher

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

const (
	// headerIdempotencyKey lets net/http resend a request after a reused
	// connection failed, so it is only sent to services that honour it.
	headerIdempotencyKey = "Idempotency-Key"
	// headerKey carries the key to every service. It does not make net/http resend.
	headerKey = "Wigeonstand-Key"
)

// Response is a service's response to a call.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call sends the call once. A call to a service that is not repeatable uses a new
// connection, so that net/http never resends it. Any error is a *Failure with one
// of these reasons:
//   - NotSent: no byte of the call can have reached the endpoint.
//   - Unknown, Silent or Canceled: the call may have run.
//   - Truncated: the endpoint responded, but the response is incomplete or too large.
//   - Failed, with Leaving set: the endpoint takes no new work.
func (d *Dispatcher) Call(ctx context.Context, service *compiler.Service, endpoint *compiler.Endpoint, call requester.Call) (Response, error) {
	x := d.newExchange(ctx, endpoint, d.timeoutFor(service))
	defer x.close()
	if call.Key == "" && !service.Repeatable {
		return Response{}, x.newFailure(NotSent, ErrNoKey)
	}
	request, err := x.newRequest(call.Method, call.Path, call.ContentType, call.Body)
	if err != nil {
		return Response{}, err
	}
	setKeyHeaders(request, service, call.Key)
	transport := d.fresh
	if service.Repeatable {
		transport = d.transportFor(ctx)
	}
	return d.call(x, transport, request)
}

// Status queries the outcome of the call with the key at the service's status
// path. Status 404 means that the service has not seen the key, any other status
// below 500 is the recorded response. A status of 500 or above is a *Failure.
func (d *Dispatcher) Status(ctx context.Context, service *compiler.Service, endpoint *compiler.Endpoint, key string) (Response, error) {
	x := d.newExchange(ctx, endpoint, d.controlTimeout)
	defer x.close()
	if service.StatusPath == "" {
		return Response{}, x.newFailure(NotSent, errNoStatusPath)
	}
	query := url.Values{"Key": {key}}
	request, err := x.newRequest(http.MethodGet, service.StatusPath+"?"+query.Encode(), "", nil)
	if err != nil {
		return Response{}, err
	}
	response, err := d.call(x, d.transportFor(ctx), request)
	if err == nil && response.Status >= http.StatusInternalServerError {
		failure := x.newFailure(Failed, nil)
		failure.Status = response.Status
		return Response{}, failure
	}
	return response, err
}

func (d *Dispatcher) call(x *exchange, transport *http.Transport, request *http.Request) (Response, error) {
	response, err := x.send(transport, request)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(LeavingHeader) != "" {
		return Response{}, x.statusFailure(response)
	}
	body, err := x.readAll(response, d.responseBytes)
	if err != nil {
		return Response{}, err
	}
	return Response{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

func setKeyHeaders(request *http.Request, service *compiler.Service, key string) {
	if key == "" {
		return
	}
	request.Header.Set(headerKey, key)
	if service.HonoursKey {
		request.Header.Set(headerIdempotencyKey, key)
	}
}

func (d *Dispatcher) timeoutFor(service *compiler.Service) time.Duration {
	if service.Timeout > 0 {
		return service.Timeout
	}
	return d.callTimeout
}
