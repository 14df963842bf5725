// Package connector is the HTTP client of the platform's table service, object
// store and list of instances. It applies timeouts, hedged reads, a circuit breaker
// and this instance's share of the platform's rate limits, and maps failures to the
// errors of package storer. It does not retry writes.
package connector

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wigeonstand/wigeonstand/internal/meter"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// The defaults of a Connector. The rates are per second, over all instances.
const (
	DefaultTimeout    = 2 * time.Second
	DefaultHedgeDelay = 150 * time.Millisecond
	DefaultWriteRate  = 400
	DefaultReadRate   = 2000

	// commitShare is the share of the write rate that group commits may use.
	commitShare = 0.8
	// minWriteInterval limits the rate of group commits when the instance's share of
	// the write rate is large.
	minWriteInterval = 25 * time.Millisecond
	// minBurst is the minimum burst of a rate limiter, in requests.
	minBurst = 4

	idleTimeout      = 5 * time.Second
	maxIdlePerHost   = 16
	maxResponseBytes = 256 << 20
	bearerPrefix     = "Bearer "
)

// Connector implements storer.Table, storer.Objects and storer.Lister. It is safe
// for concurrent use.
type Connector struct {
	baseURL    string
	key        string
	client     *http.Client
	transport  *http.Transport
	meter      *meter.Meter
	timeout    time.Duration
	hedgeDelay time.Duration
	writeRate  float64
	readRate   float64

	breaker      breaker
	writeLimiter *priorityLimiter
	readLimiter  *priorityLimiter

	mu            sync.Mutex
	instanceCount int
}

var (
	_ storer.Table   = (*Connector)(nil)
	_ storer.Objects = (*Connector)(nil)
	_ storer.Lister  = (*Connector)(nil)
)

// Option configures a Connector.
type Option func(*Connector)

// WithKey sets the bearer token that authorizes requests.
func WithKey(key string) Option { return func(c *Connector) { c.key = key } }

// WithTimeout bounds each attempt at a request, including its response body.
func WithTimeout(d time.Duration) Option { return func(c *Connector) { c.timeout = d } }

// WithHedgeDelay sets the time without a response after which a read is sent a
// second time.
func WithHedgeDelay(d time.Duration) Option { return func(c *Connector) { c.hedgeDelay = d } }

// WithRates sets the platform's limits of writes and reads per second, over all
// instances.
func WithRates(writes, reads float64) Option {
	return func(c *Connector) { c.writeRate, c.readRate = writes, reads }
}

// WithMeter sets the metrics of requests and hedged reads.
func WithMeter(m *meter.Meter) Option { return func(c *Connector) { c.meter = m } }

// WithTLS sets the TLS configuration for https.
func WithTLS(config *tls.Config) Option {
	return func(c *Connector) { c.transport.TLSClientConfig = config }
}

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Connector) { c.transport.DialContext = dial }
}

// New returns a Connector to the platform at baseURL, such as http://127.0.0.1:7000.
func New(baseURL string, options ...Option) *Connector {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: DefaultTimeout}).DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdlePerHost,
		DisableCompression:  true,
	}
	c := &Connector{
		baseURL:    baseURL,
		transport:  transport,
		client:     &http.Client{Transport: transport, CheckRedirect: useLastResponse},
		timeout:    DefaultTimeout,
		hedgeDelay: DefaultHedgeDelay,
		writeRate:  DefaultWriteRate,
		readRate:   DefaultReadRate,
	}
	for _, option := range options {
		option(c)
	}
	if c.meter == nil {
		c.meter = meter.New()
	}
	c.writeLimiter = newPriorityLimiter()
	c.readLimiter = newPriorityLimiter()
	c.SetInstanceCount(1)
	return c
}

func useLastResponse(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// SetInstanceCount sets the number of live instances that share the rates.
func (c *Connector) SetInstanceCount(n int) {
	n = max(n, 1)
	c.mu.Lock()
	c.instanceCount = n
	c.mu.Unlock()
	c.writeLimiter.setRate(rate.Limit(c.writeRate / float64(n)))
	c.readLimiter.setRate(rate.Limit(c.readRate / float64(n)))
}

// WriteInterval returns the time between two writes of group commits that keeps
// them within this instance's share of the write rate.
func (c *Connector) WriteInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	writes := c.writeRate * commitShare / float64(c.instanceCount)
	return max(minWriteInterval, time.Duration(float64(time.Second)/writes))
}

// Close closes the idle connections.
func (c *Connector) Close() { c.transport.CloseIdleConnections() }
