// Package caller is a client of wigeonstand's API for callers: agent programs
// and their turns, and calls to plain services. It repeats only what is known
// not to have run. It does not keep a program's history.
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
	// answerGrace is how long past the request's time the client waits for the
	// answer, and graceShare the part of the time that it takes at most.
	answerGrace    = 2 * time.Second
	graceShare     = 10
	shortestPause  = 50 * time.Millisecond
	longestPause   = 5 * time.Second
	idleLife       = 10 * time.Second
	connectTimeout = 2 * time.Second
)

// Client talks to one or more entry addresses. It is safe for concurrent use.
type Client struct {
	entries  []string
	key      string
	http     *http.Client
	attempts int
	timeout  time.Duration
	next     atomic.Uint64
}

// Option sets one property of a Client.
type Option func(*Client)

// WithHTTPClient replaces the HTTP client. It must not repeat requests of its own accord.
func WithHTTPClient(h *http.Client) Option { return func(c *Client) { c.http = h } }

// WithAttempts bounds how often a request that was not run is sent in all.
func WithAttempts(n int) Option { return func(c *Client) { c.attempts = n } }

// WithTimeout sets the time that a request may take in all, repeats included.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// New returns a Client of the entries, which are base URLs such as
// http://192.0.2.1:8080, that presents the business's key.
func New(entries []string, key string, options ...Option) (*Client, error) {
	if len(entries) == 0 {
		return nil, eris.New("no entry is given")
	}
	c := &Client{key: key, attempts: defaultAttempts, timeout: defaultTimeout}
	for _, entry := range entries {
		c.entries = append(c.entries, strings.TrimRight(entry, "/"))
	}
	for _, option := range options {
		option(c)
	}
	if c.http == nil {
		c.http = newHTTPClient()
	}
	c.next.Store(rand.Uint64N(uint64(len(entries))))
	return c, nil
}

// Close ends the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// entry returns the entry to ask next. A failure moves the client on.
func (c *Client) entry() string {
	return c.entries[c.next.Load()%uint64(len(c.entries))]
}

// retry runs once until it succeeds, fails in a way that may not be repeated,
// or the attempts or the time are used up.
func (c *Client) retry(ctx context.Context, once func(context.Context) error) error {
	pauses := &backoff.ExponentialBackOff{
		InitialInterval:     shortestPause,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          backoff.DefaultMultiplier,
		MaxInterval:         longestPause,
	}
	for attempt := 1; ; attempt++ {
		err := once(ctx)
		if err == nil || attempt >= c.attempts || !repeatable(err) {
			return err
		}
		c.next.Add(1)
		if !pause(ctx, max(pauses.NextBackOff(), retryAfter(err))) {
			return err
		}
	}
}

// repeatable reports whether the error says that the request was not run and
// that it may succeed later.
func repeatable(err error) bool {
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

// pause waits and reports whether the time to repeat was reached.
func pause(ctx context.Context, d time.Duration) bool {
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
