// Package connector owns the HTTP client to the platform's table service,
// object store and list of instances: deadlines, hedged reads, the circuit
// breaker, this instance's share of the rate limits, and the classes of errors.
// It does not own what is read or written, nor does it repeat a write.
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

// The defaults of a Connector. The rates are the platform's in total.
const (
	DefaultTimeout    = 2 * time.Second
	DefaultHedgeDelay = 150 * time.Millisecond
	DefaultWriteRate  = 400
	DefaultReadRate   = 2000

	// commitShare is the part of the write rate that group commits may use.
	commitShare = 0.8
	// leastWriteInterval bounds the rate of commits when the share is large.
	leastWriteInterval = 25 * time.Millisecond
	// leastBurst is the number of requests that may always be sent at once.
	leastBurst = 4

	idleLimit    = 5 * time.Second
	idlePerHost  = 16
	answerLimit  = 256 << 20
	bearerPrefix = "Bearer "
)

// Connector implements storer.Table, storer.Objects and storer.Lister.
type Connector struct {
	base       string
	key        string
	client     *http.Client
	transport  *http.Transport
	meter      *meter.Meter
	deadline   time.Duration
	hedgeAfter time.Duration
	writeRate  float64
	readRate   float64

	breaker breaker
	writes  *gate
	reads   *gate

	mu        sync.Mutex
	instances int
}

var (
	_ storer.Table   = (*Connector)(nil)
	_ storer.Objects = (*Connector)(nil)
	_ storer.Lister  = (*Connector)(nil)
)

// Option sets one property of a Connector.
type Option func(*Connector)

// WithKey sets the bearer key.
func WithKey(key string) Option { return func(c *Connector) { c.key = key } }

// WithTimeout bounds each request.
func WithTimeout(d time.Duration) Option { return func(c *Connector) { c.deadline = d } }

// WithHedgeDelay sets when a read that has no answer is sent a second time.
func WithHedgeDelay(d time.Duration) Option { return func(c *Connector) { c.hedgeAfter = d } }

// WithRates sets the platform's total writes and reads per second.
func WithRates(writes, reads float64) Option {
	return func(c *Connector) { c.writeRate, c.readRate = writes, reads }
}

// WithMeter sets where requests are counted.
func WithMeter(m *meter.Meter) Option { return func(c *Connector) { c.meter = m } }

// WithTLS sets the TLS configuration for an https address.
func WithTLS(config *tls.Config) Option {
	return func(c *Connector) { c.transport.TLSClientConfig = config }
}

// WithDial replaces how connections are opened.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Connector) { c.transport.DialContext = dial }
}

// New returns a Connector to the platform at base, such as http://127.0.0.1:7000.
func New(base string, options ...Option) *Connector {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: DefaultTimeout}).DialContext,
		IdleConnTimeout:     idleLimit,
		MaxIdleConnsPerHost: idlePerHost,
		DisableCompression:  true,
	}
	c := &Connector{
		base:       base,
		transport:  transport,
		client:     &http.Client{Transport: transport, CheckRedirect: useLastResponse},
		deadline:   DefaultTimeout,
		hedgeAfter: DefaultHedgeDelay,
		writeRate:  DefaultWriteRate,
		readRate:   DefaultReadRate,
	}
	for _, option := range options {
		option(c)
	}
	if c.meter == nil {
		c.meter = meter.New()
	}
	c.writes = newGate()
	c.reads = newGate()
	c.SetInstanceCount(1)
	return c
}

func useLastResponse(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// SetInstanceCount tells among how many live instances the rates are shared.
func (c *Connector) SetInstanceCount(n int) {
	n = max(n, 1)
	c.mu.Lock()
	c.instances = n
	c.mu.Unlock()
	c.writes.setRate(rate.Limit(c.writeRate / float64(n)))
	c.reads.setRate(rate.Limit(c.readRate / float64(n)))
}

// WriteInterval returns the time to leave for each write of group commits, so
// that they keep within this instance's share.
func (c *Connector) WriteInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	writes := c.writeRate * commitShare / float64(c.instances)
	return max(leastWriteInterval, time.Duration(float64(time.Second)/writes))
}

// Close closes the idle connections.
func (c *Connector) Close() { c.transport.CloseIdleConnections() }
