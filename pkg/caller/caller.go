// Package caller implements a client of wigeonstand's API for callers: agent programs
// and their turns, and calls to plain services. It retries only requests that are
// known not to have run. It does not store the history of a program.
package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
)

const (
	defaultAttempts = 6
	defaultTimeout  = time.Minute
	// responseGrace is how much longer the client waits for the response than the
	// timeout sent with the request. It is limited to the remaining time divided by
	// graceDivisor.
	responseGrace   = 2 * time.Second
	graceDivisor    = 10
	minRetryDelay   = 50 * time.Millisecond
	maxRetryDelay   = 5 * time.Second
	idleConnTimeout = 10 * time.Second
	connectTimeout  = 2 * time.Second
)

// Client sends requests to one or more entries. It is safe for concurrent use.
type Client struct {
	entries     []string
	key         string
	http        *http.Client
	maxAttempts int
	timeout     time.Duration
	entryIndex  atomic.Uint64
}

// Option configures a Client.
type Option func(*Client)

// WithHTTPClient sets the HTTP client, which must not retry requests itself.
func WithHTTPClient(h *http.Client) Option { return func(c *Client) { c.http = h } }

// WithAttempts sets the maximum number of times that a request is sent; the default
// is 6.
func WithAttempts(n int) Option { return func(c *Client) { c.maxAttempts = n } }

// WithTimeout sets the timeout of a request including its retries; the default is one
// minute.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// New returns a Client of the entries, which are base URLs such as
// http://192.0.2.1:8080. The key is the API key of the business.
func New(entries []string, key string, options ...Option) (*Client, error) {
	if len(entries) == 0 {
		return nil, eris.New("no entry address given")
	}
	c := &Client{key: key, maxAttempts: defaultAttempts, timeout: defaultTimeout}
	for _, entry := range entries {
		c.entries = append(c.entries, strings.TrimRight(entry, "/"))
	}
	for _, option := range options {
		option(c)
	}
	if c.http == nil {
		c.http = newHTTPClient()
	}
	c.entryIndex.Store(rand.Uint64N(uint64(len(entries))))
	return c, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// entry returns the current entry. Each retry moves on to the next one.
func (c *Client) entry() string {
	return c.entries[c.entryIndex.Load()%uint64(len(c.entries))]
}

// retry calls send until it succeeds or fails with an error that is not retryable, or
// until the attempts are used up or the deadline leaves no time for the next delay.
func (c *Client) retry(ctx context.Context, send func(context.Context) error) error {
	delays := &backoff.ExponentialBackOff{
		InitialInterval:     minRetryDelay,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          backoff.DefaultMultiplier,
		MaxInterval:         maxRetryDelay,
	}
	for attempt := 1; ; attempt++ {
		err := send(ctx)
		if err == nil || attempt >= c.maxAttempts || !isRetryable(err) {
			return err
		}
		c.entryIndex.Add(1)
		if !sleep(ctx, max(delays.NextBackOff(), retryAfter(err))) {
			return err
		}
	}
}

// isRetryable reports whether the request was not run and may succeed later.
func isRetryable(err error) bool {
	var refused *Error
	return errors.As(err, &refused) && refused.Ran == NotRun && refused.RetryAfter > 0
}

func retryAfter(err error) time.Duration {
	var refused *Error
	if errors.As(err, &refused) {
		return refused.RetryAfter
	}
	return 0
}

// sleep waits for d and reports whether it did. It returns false at once if the
// deadline of ctx is not later than the end of the wait.
func sleep(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
