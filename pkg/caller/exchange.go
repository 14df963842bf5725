package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// The headers of the API.
const (
	headerTimeout  = "Wigeonstand-Timeout"
	headerKey      = "Wigeonstand-Key"
	headerKind     = "Wigeonstand-Kind"
	headerReplayed = "Wigeonstand-Replayed"
	headerProgram  = "Wigeonstand-Program"
)

const (
	contentJSON = "application/json"
	// maxBodyBytes limits the size of a response body.
	maxBodyBytes = 64 << 20
)

// call is one API request.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte
}

func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			Protocols:           protocols,
			IdleConnTimeout:     idleConnTimeout,
			MaxIdleConnsPerHost: http.DefaultMaxIdleConnsPerHost,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func newCall(method, path string, body any) (call, error) {
	c := call{method: method, path: path, header: http.Header{}}
	if body == nil {
		return c, nil
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return c, eris.Wrap(err, "encode request")
	}
	c.header.Set("Content-Type", contentJSON)
	c.body = encoded
	return c, nil
}

// withTimeout limits the time of a request including its retries and the grace.
func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.timeout+responseGrace)
}

// send sends the call once. It returns an *Error if the response is an error of the
// API.
func (c *Client) send(ctx context.Context, call call) (*http.Response, error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, call.method, c.entry()+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	request.Header = call.header.Clone()
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set(headerTimeout, c.requestTimeout(ctx).String())
	response, err := c.http.Do(request)
	if err != nil {
		return nil, connectionError(err, connected.Load())
	}
	if response.Header.Get(headerKind) != "" {
		return nil, decodeRefusal(response)
	}
	return response, nil
}

// requestTimeout returns the timeout to send with a request. It is shorter than the
// remaining time of ctx, so that the response can arrive before the deadline.
func (c *Client) requestTimeout(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return c.timeout
	}
	remaining := time.Until(deadline)
	grace := min(responseGrace, remaining/graceDivisor)
	return max(time.Millisecond, min(c.timeout, remaining-grace))
}

// connectionError returns the error of a request without a response. The request was
// not run if there was no connection.
func connectionError(err error, connected bool) *Error {
	if connected {
		return &Error{Kind: KindCut, Ran: Unknown, Detail: "the connection failed before the response", cause: err}
	}
	return &Error{
		Kind: KindUnreachable, Ran: NotRun, Detail: "cannot connect to the entry",
		RetryAfter: minRetryDelay, cause: err,
	}
}

func decodeRefusal(response *http.Response) *Error {
	defer func() { _ = response.Body.Close() }()
	var wire wireError
	if err := json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(&wire); err != nil {
		return &Error{
			Status: response.StatusCode, Kind: KindCut, Ran: Unknown,
			Detail: "cannot decode the error response", cause: err,
		}
	}
	return wire.err(response.StatusCode)
}

// do sends a request, retries it while it was not run, and decodes the response.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	request, err := newCall(method, path, in)
	if err != nil {
		return err
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	return c.retry(ctx, func(ctx context.Context) error {
		return c.sendAndDecode(ctx, request, out)
	})
}

func (c *Client) sendAndDecode(ctx context.Context, request call, out any) error {
	response, err := c.send(ctx, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &Error{Status: response.StatusCode, Kind: KindCut, Ran: Unknown, Detail: "cannot decode the response", cause: err}
	}
	return nil
}

var errTooLarge = errors.New("response body is larger than the limit")

func readBody(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = errTooLarge
	}
	if err != nil {
		return nil, &Error{Status: response.StatusCode, Kind: KindCut, Ran: Unknown, Detail: "cannot read the response body", cause: err}
	}
	return body, nil
}
