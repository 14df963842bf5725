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
	// headerIdempotencyKey makes net/http repeat a request on a reused
	// connection, so it is only sent to services that honour it.
	headerIdempotencyKey = "Idempotency-Key"
	// headerKey carries the key to every service; net/http takes no notice of it.
	headerKey = "Wigeonstand-Key"
)

// Response is a service's own answer to a call.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call sends the call once. A call that may not be repeated goes out on a
// connection of its own, so that net/http never sends it again. Any error is a
// *Failure: NotSent if no byte of the call can have reached the endpoint,
// Unknown, Silent or Canceled if it may have run, Truncated if it ran and its
// answer was cut, and Failed with Leaving set if the endpoint said that it
// takes no new work.
func (d *Dispatcher) Call(ctx context.Context, service *compiler.Service, endpoint *compiler.Endpoint, call requester.Call) (Response, error) {
	x := d.newExchange(ctx, endpoint, d.timeoutOf(service))
	defer x.close()
	if call.Key == "" && !service.Repeatable {
		return Response{}, x.fail(NotSent, ErrNoKey)
	}
	request, err := x.newRequest(call.Method, call.Path, call.ContentType, call.Body)
	if err != nil {
		return Response{}, err
	}
	setKey(request, service, call.Key)
	transport := d.fresh
	if service.Repeatable {
		transport = d.transportFor(ctx)
	}
	return d.call(x, transport, request)
}

// Status asks the service what became of the call with the key. A status of
// 404 says that the service has not seen the key; any other below 500 is the
// recorded answer.
func (d *Dispatcher) Status(ctx context.Context, service *compiler.Service, endpoint *compiler.Endpoint, key string) (Response, error) {
	x := d.newExchange(ctx, endpoint, d.controlTimeout)
	defer x.close()
	if service.StatusPath == "" {
		return Response{}, x.fail(NotSent, errNoStatus)
	}
	query := url.Values{"Key": {key}}
	request, err := x.newRequest(http.MethodGet, service.StatusPath+"?"+query.Encode(), "", nil)
	if err != nil {
		return Response{}, err
	}
	answer, err := d.call(x, d.transportFor(ctx), request)
	if err == nil && answer.Status >= http.StatusInternalServerError {
		failure := x.fail(Failed, nil)
		failure.Status = answer.Status
		return Response{}, failure
	}
	return answer, err
}

func (d *Dispatcher) call(x *exchange, transport *http.Transport, request *http.Request) (Response, error) {
	response, err := x.send(transport, request)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(LeavingHeader) != "" {
		return Response{}, x.refused(response)
	}
	body, err := x.readAll(response, d.answerBytes)
	if err != nil {
		return Response{}, err
	}
	return Response{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

func setKey(request *http.Request, service *compiler.Service, key string) {
	if key == "" {
		return
	}
	request.Header.Set(headerKey, key)
	if service.HonoursKey {
		request.Header.Set(headerIdempotencyKey, key)
	}
}

func (d *Dispatcher) timeoutOf(service *compiler.Service) time.Duration {
	if service.Timeout > 0 {
		return service.Timeout
	}
	return d.callTimeout
}
