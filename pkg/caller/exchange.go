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
	// maximumAnswerBytes bounds the body of an answer.
	maximumAnswerBytes = 64 << 20
)

// call is one request of the API.
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
			IdleConnTimeout:     idleLife,
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

// bound gives the request its time in all.
func (c *Client) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.timeout+answerGrace)
}

// send sends the call once and returns the response if it isn't a refusal.
func (c *Client) send(ctx context.Context, call call) (*http.Response, error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, call.method, c.entry()+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, eris.Wrap(err, "make request")
	}
	request.Header = call.header.Clone()
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set(headerTimeout, c.left(ctx).String())
	response, err := c.http.Do(request)
	if err != nil {
		return nil, brokenError(err, connected.Load())
	}
	if response.Header.Get(headerKind) != "" {
		return nil, refusalOf(response)
	}
	return response, nil
}

// left returns the time that the system is given, which is a little less than
// the client waits.
func (c *Client) left(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return c.timeout
	}
	remaining := time.Until(deadline)
	grace := min(answerGrace, remaining/graceShare)
	return max(time.Millisecond, min(c.timeout, remaining-grace))
}

// brokenError says that the request was not run if no connection was had.
func brokenError(err error, connected bool) *Error {
	if connected {
		return &Error{Kind: KindCut, Ran: Unknown, Detail: "the connection failed before an answer", cause: err}
	}
	return &Error{
		Kind: KindUnreachable, Ran: NotRun, Detail: "the entry could not be reached",
		RetryAfter: shortestPause, cause: err,
	}
}

func refusalOf(response *http.Response) *Error {
	defer func() { _ = response.Body.Close() }()
	var wire wireError
	if err := json.NewDecoder(io.LimitReader(response.Body, maximumAnswerBytes)).Decode(&wire); err != nil {
		return &Error{
			Status: response.StatusCode, Kind: KindCut, Ran: Unknown,
			Detail: "the refusal could not be read", cause: err,
		}
	}
	return wire.err(response.StatusCode)
}

// do sends the call, repeats it while it was not run, and decodes the answer.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	request, err := newCall(method, path, in)
	if err != nil {
		return err
	}
	ctx, cancel := c.bound(ctx)
	defer cancel()
	return c.retry(ctx, func(ctx context.Context) error {
		return c.once(ctx, request, out)
	})
}

func (c *Client) once(ctx context.Context, request call, out any) error {
	response, err := c.send(ctx, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readWhole(response)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &Error{Status: response.StatusCode, Kind: KindCut, Ran: Unknown, Detail: "the answer could not be read", cause: err}
	}
	return nil
}

var errTooLarge = errors.New("answer is larger than the limit")

func readWhole(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswerBytes+1))
	if err == nil && len(body) > maximumAnswerBytes {
		err = errTooLarge
	}
	if err != nil {
		return nil, &Error{Status: response.StatusCode, Kind: KindCut, Ran: Unknown, Detail: "the answer was cut", cause: err}
	}
	return body, nil
}
