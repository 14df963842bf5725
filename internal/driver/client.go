package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

const (
	// answerLimit bounds the body of an answer, in bytes.
	answerLimit = 64 << 20
	// headerKey, headerTimeout, headerProgram and headerKind are headers of the API.
	headerKey     = "Wigeonstand-Key"
	headerTimeout = "Wigeonstand-Timeout"
	headerProgram = "Wigeonstand-Program"
	// headerKind is absent from a service's own answer.
	headerKind = "Wigeonstand-Kind"
	// answerMargin is the time left for a refusal to arrive.
	answerMargin = 500 * time.Millisecond
	// leastAttempt is the least time that is left for an attempt.
	leastAttempt = 4 * answerMargin
	// resendPause is the wait before an unanswered request is sent again.
	resendPause = 250 * time.Millisecond
	// defaultAttempts bounds the attempts at one request.
	defaultAttempts = 8
)

// Client speaks the callers' API to several entry instances in turn. It is
// safe for concurrent use.
type Client struct {
	bases    []string
	key      string
	http     *http.Client
	attempts int
	resend   bool
	turn     atomic.Uint64
	sent     atomic.Int64
}

// ClientOption sets one property of a Client.
type ClientOption func(*Client)

// WithHTTPClient sets the client that carries the requests.
func WithHTTPClient(client *http.Client) ClientOption {
	return func(c *Client) { c.http = client }
}

// WithAttempts bounds the attempts at one request.
func WithAttempts(n int) ClientOption {
	return func(c *Client) { c.attempts = n }
}

// WithResend sends a request again with the same key also if it was cut, has
// failed or may have run. Without it only a refusal that says NotRun is retried.
func WithResend() ClientOption {
	return func(c *Client) { c.resend = true }
}

// NewClient returns a Client for the base URLs with the bearer key.
func NewClient(bases []string, key string, options ...ClientOption) *Client {
	c := &Client{bases: bases, key: key, http: http.DefaultClient, attempts: defaultAttempts}
	for _, option := range options {
		option(c)
	}
	return c
}

var _ Target = (*Client)(nil)

// Attempts returns the number of HTTP requests sent so far.
func (c *Client) Attempts() int64 { return c.sent.Load() }

// Open implements Target.
func (c *Client) Open(ctx context.Context, request OpenRequest) (requester.OpenReply, error) {
	return retry(ctx, c, func(ctx context.Context) (requester.OpenReply, error) {
		return exchange[requester.OpenReply](ctx, c, http.MethodPost, "/v1/programs", request)
	})
}

// Turn implements Target. The answer is streamed.
func (c *Client) Turn(ctx context.Context, request TurnRequest) (TurnAnswer, error) {
	request.Stream = true
	path := "/v1/programs/" + url.PathEscape(request.Program) + "/turns"
	return retry(ctx, c, func(ctx context.Context) (TurnAnswer, error) {
		response, err := c.send(ctx, http.MethodPost, path, encode(request), nil)
		if err != nil {
			return TurnAnswer{}, err
		}
		defer func() { _ = response.Body.Close() }()
		return readTurn(response)
	})
}

// Call implements Target.
func (c *Client) Call(ctx context.Context, request CallRequest) (CallAnswer, error) {
	path := "/v1/services/" + url.PathEscape(request.Service) + "/" + request.Path
	header := http.Header{headerKey: {request.Key}}
	if request.Program != "" {
		header.Set(headerProgram, request.Program)
	}
	return retry(ctx, c, func(ctx context.Context) (CallAnswer, error) {
		response, err := c.send(ctx, http.MethodPost, path, request.Body, header)
		if err != nil {
			return CallAnswer{}, err
		}
		defer func() { _ = response.Body.Close() }()
		return readCall(response)
	})
}

// readCall reads a service's own answer, whatever its status, or a refusal.
func readCall(response *http.Response) (CallAnswer, error) {
	body, err := readAnswer(response)
	var refusal *Refusal
	if errors.As(err, &refusal) && response.Header.Get(headerKind) == "" && refusal.Request == "" {
		err = nil
	}
	return CallAnswer{Status: response.StatusCode, Body: body}, err
}

// History implements Target.
func (c *Client) History(ctx context.Context, program string) (requester.HistoryPage, error) {
	path := "/v1/programs/" + url.PathEscape(program) + "/history"
	return retry(ctx, c, func(ctx context.Context) (requester.HistoryPage, error) {
		return exchange[requester.HistoryPage](ctx, c, http.MethodGet, path, nil)
	})
}

// End implements Target.
func (c *Client) End(ctx context.Context, program string) error {
	path := "/v1/programs/" + url.PathEscape(program)
	_, err := retry(ctx, c, func(ctx context.Context) (json.RawMessage, error) {
		return exchange[json.RawMessage](ctx, c, http.MethodDelete, path, nil)
	})
	return err
}

// retry makes attempts until one is answered whole or must not be repeated. The
// error is that of the last attempt that may have run, if any may have.
func retry[T any](ctx context.Context, c *Client, attempt func(context.Context) (T, error)) (T, error) {
	var ran error
	for n := 1; ; n++ {
		value, err := attempt(ctx)
		if err == nil {
			return value, nil
		}
		if ran == nil || outcomeOf(ran) == NotRun || outcomeOf(err) != NotRun {
			ran = err
		}
		wait, again := c.again(err)
		if !again || n >= c.attempts || !leaves(ctx, wait) || pause(ctx, wait) != nil {
			return value, ran
		}
	}
}

// leaves says whether an attempt after the wait leaves time for its refusal to
// arrive; one without would end as cut by the tool itself.
func leaves(ctx context.Context, wait time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline)-wait >= leastAttempt
}

// again says whether the request may be sent again after the error, and when.
func (c *Client) again(err error) (time.Duration, bool) {
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		return resendPause, c.resend
	}
	if refusal.Ran != answerer.NotRun && !c.resend {
		return 0, false
	}
	return max(refusal.RetryAfter, resendPause), refusal.retryable()
}

// exchange sends a value as JSON and reads the answer as JSON.
func exchange[T any](ctx context.Context, c *Client, method, path string, request any) (T, error) {
	var answer T
	var body []byte
	if request != nil {
		body = encode(request)
	}
	response, err := c.send(ctx, method, path, body, nil)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	read, err := readAnswer(response)
	if err != nil || len(read) == 0 {
		return answer, err
	}
	if err := json.Unmarshal(read, &answer); err != nil {
		return answer, fmt.Errorf("%w: %w", ErrCut, err)
	}
	return answer, nil
}

// encode returns the value as JSON; the package's own requests always can be.
func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return body
}

// send makes one attempt at the next entry instance.
func (c *Client) send(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	base := c.bases[c.turn.Add(1)%uint64(len(c.bases))]
	request, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Refusal{Kind: answerer.BadRequest, Ran: answerer.NotRun, Detail: err.Error()}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(headerTimeout, allowed(time.Until(deadline)).String())
	}
	c.sent.Add(1)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, notSent(err)
	}
	return response, nil
}

// allowed returns the time that the scheduler is given out of the time left, so
// that its refusal still arrives.
func allowed(left time.Duration) time.Duration {
	return max(left-answerMargin, left/2)
}

// notSent returns a refusal if no connection was made, so that nothing can
// have run, and ErrCut otherwise.
func notSent(err error) error {
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		return &Refusal{Kind: Unreachable, Ran: answerer.NotRun, Detail: err.Error()}
	}
	return fmt.Errorf("%w: %w", ErrCut, err)
}

// readAnswer reads a whole body, or the refusal in it.
func readAnswer(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, answerLimit))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCut, err)
	}
	if response.StatusCode < http.StatusBadRequest {
		return body, nil
	}
	return body, readRefusal(response, body)
}

// readRefusal returns the refusal in a body. An answer without a known kind
// comes from something else on the way, so that nothing is known of the request.
func readRefusal(response *http.Response, body []byte) *Refusal {
	var wire wireRefusal
	if json.Unmarshal(body, &wire) == nil && wire.Ran != "" {
		return wire.refusal()
	}
	return &Refusal{
		Kind:   answerer.Kind(fmt.Sprintf("Status%d", response.StatusCode)),
		Ran:    answerer.Unknown,
		Detail: strings.TrimSpace(string(body)),
	}
}

// pause waits for d or until the context ends.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
