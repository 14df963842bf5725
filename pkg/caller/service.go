package caller

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/oklog/ulid/v2"
)

// Result is a service's own answer to a call.
type Result struct {
	// Key is the call's key, under which its outcome can be asked for.
	Key         string
	Status      int
	ContentType string
	Body        []byte
	// Replayed is set when a recorded answer was sent again.
	Replayed bool
}

// Outcome is what is recorded of a call.
type Outcome struct {
	Key     string
	Service string
	// State is "Pending", "Done", "Unknown", "Resolved" or "Absent".
	State  string
	Status int
	Body   []byte
	Note   string
}

// CallOption sets one property of a call.
type CallOption func(*call)

// WithCallKey identifies the call. Calling again with the same key gives the
// recorded answer. The default is a new key.
func WithCallKey(key string) CallOption {
	return func(c *call) { c.header.Set(headerKey, key) }
}

// WithBody sets the call's body.
func WithBody(contentType string, body []byte) CallOption {
	return func(c *call) {
		c.header.Set("Content-Type", contentType)
		c.body = body
	}
}

// WithProgram says which program the call belongs to.
func WithProgram(p *Program) CallOption {
	return func(c *call) { c.header.Set(headerProgram, p.id) }
}

// Call calls a plain service. An error whose Ran is Unknown means that the call
// may have run; ask for it with Outcome under the key that Result holds.
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
	ctx, cancel := c.bound(ctx)
	defer cancel()
	result := Result{Key: request.header.Get(headerKey)}
	err := c.retry(ctx, func(ctx context.Context) error {
		return c.callOnce(ctx, request, &result)
	})
	return result, err
}

func (c *Client) callOnce(ctx context.Context, request call, result *Result) error {
	response, err := c.send(ctx, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readWhole(response)
	if err != nil {
		return err
	}
	result.Status = response.StatusCode
	result.ContentType = response.Header.Get("Content-Type")
	result.Body = body
	result.Replayed = response.Header.Get(headerReplayed) == "true"
	return nil
}

// Outcome returns what is recorded of the call with the key.
func (c *Client) Outcome(ctx context.Context, key string) (Outcome, error) {
	var outcome Outcome
	err := c.do(ctx, http.MethodGet, "/v1/outcomes/"+url.PathEscape(key), nil, &outcome)
	return outcome, err
}
