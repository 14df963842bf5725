package caller

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/oklog/ulid/v2"
)

// Result is the response of a service to a call.
type Result struct {
	// Key is the idempotency key of the call, which Client.Outcome takes.
	Key         string
	Status      int
	ContentType string
	Body        []byte
	// Replayed is true if the response is the recorded one of an earlier call.
	Replayed bool
}

// Outcome is the recorded outcome of a call.
type Outcome struct {
	Key     string
	Service string
	// State is "Pending", "Done", "Unknown", "Resolved" or "Absent".
	State  string
	Status int
	Body   []byte
	Note   string
}

// CallOption configures a call.
type CallOption func(*call)

// WithCallKey sets the idempotency key of the call. A second call with the same key
// returns the recorded response. The default is a new key for each call.
func WithCallKey(key string) CallOption {
	return func(c *call) { c.header.Set(headerKey, key) }
}

// WithBody sets the body of the call and its content type.
func WithBody(contentType string, body []byte) CallOption {
	return func(c *call) {
		c.header.Set("Content-Type", contentType)
		c.body = body
	}
}

// WithProgram sets the program that the call belongs to.
func WithProgram(p *Program) CallOption {
	return func(c *call) { c.header.Set(headerProgram, p.id) }
}

// Call calls a plain service. If it returns an error whose Ran is Unknown, the call may
// have run; Outcome returns its state for the key in the Result, which is set also
// when there is an error.
func (c *Client) Call(ctx context.Context, service, method, path string, options ...CallOption) (Result, error) {
	request := call{
		method: method,
		path:   "/v1/services/" + url.PathEscape(service) + "/" + strings.TrimPrefix(path, "/"),
		header: http.Header{},
	}
	request.header.Set(headerKey, ulid.Make().String())
	for _, option := range options {
		option(&request)
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	result := Result{Key: request.header.Get(headerKey)}
	err := c.retry(ctx, func(ctx context.Context) error {
		return c.sendCall(ctx, request, &result)
	})
	return result, err
}

func (c *Client) sendCall(ctx context.Context, request call, result *Result) error {
	response, err := c.send(ctx, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response)
	if err != nil {
		return err
	}
	result.Status = response.StatusCode
	result.ContentType = response.Header.Get("Content-Type")
	result.Body = body
	result.Replayed = response.Header.Get(headerReplayed) == "true"
	return nil
}

// Outcome returns the recorded outcome of the call with the key.
func (c *Client) Outcome(ctx context.Context, key string) (Outcome, error) {
	var outcome Outcome
	err := c.do(ctx, http.MethodGet, "/v1/outcomes/"+url.PathEscape(key), nil, &outcome)
	return outcome, err
}
