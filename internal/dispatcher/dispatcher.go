// Package dispatcher is the HTTP client for model engines and plain services. The
// Failure of a request says whether a byte of it can have reached the endpoint and
// how much of the response was received. The callers choose the endpoint and
// decide whether to retry.
package dispatcher

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

// Default values of the options.
const (
	defaultConnectTimeout    = time.Second
	defaultFirstChunkTimeout = 30 * time.Second
	defaultChunkTimeout      = 10 * time.Second
	defaultControlTimeout    = 2 * time.Second
	defaultOrderTimeout      = 10 * time.Second
	defaultCacheTimeout      = 30 * time.Second
	defaultCallTimeout       = 30 * time.Second
	defaultIdleTimeout       = 5 * time.Second
	defaultIdleConnections   = 8
	defaultResponseBytes     = 8 << 20
	defaultCacheBytes        = 256 << 20
	// maximumHeaderBytes bounds the header of a response.
	maximumHeaderBytes = 64 << 10
	// maximumEventBytes bounds one server-sent event.
	maximumEventBytes = 1 << 20
	// initialEventBytes is the initial size of the read buffer of a stream.
	initialEventBytes = 4 << 10
)

// Dial opens a connection to an endpoint.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Dispatcher sends requests to endpoints. It is safe for concurrent use.
type Dispatcher struct {
	dial              Dial
	tls               func() *tls.Config
	connectTimeout    time.Duration
	firstChunkTimeout time.Duration
	chunkTimeout      time.Duration
	controlTimeout    time.Duration
	orderTimeout      time.Duration
	cacheTimeout      time.Duration
	callTimeout       time.Duration
	idleTimeout       time.Duration
	idleConnections   int
	responseBytes     int64
	cacheBytes        int64
	onLeaving         func(endpoint string)

	// pooled reuses connections; fresh opens a new one for each request.
	pooled *http.Transport
	fresh  *http.Transport
}

// Option sets one property of a Dispatcher.
type Option func(*Dispatcher)

// WithDial sets the function that opens connections.
func WithDial(dial Dial) Option { return func(d *Dispatcher) { d.dial = dial } }

// WithTLS sets the function that returns the client configuration of each new TLS
// connection, such as certifier.Certifier.ClientConfig.
func WithTLS(config func() *tls.Config) Option { return func(d *Dispatcher) { d.tls = config } }

// WithConnectTimeout bounds the time to open a connection, including the TLS handshake.
func WithConnectTimeout(t time.Duration) Option {
	return func(d *Dispatcher) { d.connectTimeout = t }
}

// WithStreamTimeouts bounds the time to the first chunk of a generation and
// the time between chunks.
func WithStreamTimeouts(first, between time.Duration) Option {
	return func(d *Dispatcher) { d.firstChunkTimeout, d.chunkTimeout = first, between }
}

// WithOrderTimeout bounds an order, which an engine answers after carrying it out.
func WithOrderTimeout(t time.Duration) Option { return func(d *Dispatcher) { d.orderTimeout = t } }

// WithControlTimeout bounds a control request (reports, cancels, releases, status
// queries) and its response.
func WithControlTimeout(t time.Duration) Option {
	return func(d *Dispatcher) { d.controlTimeout = t }
}

// WithCallTimeout bounds a call to a service that has no timeout of its own.
func WithCallTimeout(t time.Duration) Option { return func(d *Dispatcher) { d.callTimeout = t } }

// WithIdleConnections sets how many idle connections are kept per endpoint and for how long.
func WithIdleConnections(perEndpoint int, timeout time.Duration) Option {
	return func(d *Dispatcher) { d.idleConnections, d.idleTimeout = perEndpoint, timeout }
}

// WithResponseLimit bounds the body of a response, in bytes. Exported caches have
// a limit of their own.
func WithResponseLimit(bytes int64) Option { return func(d *Dispatcher) { d.responseBytes = bytes } }

// WithLeavingHandler sets the function that is called when an endpoint refuses a
// request because it takes no new work, such as prober.Prober.MarkLeaving.
func WithLeavingHandler(handle func(endpoint string)) Option {
	return func(d *Dispatcher) { d.onLeaving = handle }
}

// New returns a Dispatcher. Close closes its idle connections.
func New(options ...Option) *Dispatcher {
	d := &Dispatcher{
		dial:              (&net.Dialer{}).DialContext,
		connectTimeout:    defaultConnectTimeout,
		firstChunkTimeout: defaultFirstChunkTimeout,
		chunkTimeout:      defaultChunkTimeout,
		controlTimeout:    defaultControlTimeout,
		orderTimeout:      defaultOrderTimeout,
		cacheTimeout:      defaultCacheTimeout,
		callTimeout:       defaultCallTimeout,
		idleTimeout:       defaultIdleTimeout,
		idleConnections:   defaultIdleConnections,
		responseBytes:     defaultResponseBytes,
		cacheBytes:        defaultCacheBytes,
		onLeaving:         func(string) {},
	}
	for _, option := range options {
		option(d)
	}
	d.pooled = d.newTransport(true)
	d.fresh = d.newTransport(false)
	return d
}

// Close closes the idle connections.
func (d *Dispatcher) Close() {
	d.pooled.CloseIdleConnections()
	d.fresh.CloseIdleConnections()
}

// newTransport returns a transport that uses HTTP/1.1 without proxies, compression
// or redirects.
func (d *Dispatcher) newTransport(reuse bool) *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:         d.connect,
		DialTLSContext:      d.connectTLS,
		Protocols:           protocols,
		DisableKeepAlives:   !reuse,
		DisableCompression:  true,
		MaxIdleConnsPerHost: d.idleConnections,
		IdleConnTimeout:     d.idleTimeout,

		MaxResponseHeaderBytes: maximumHeaderBytes,
	}
}

// connect opens a connection whose writes are tracked.
func (d *Dispatcher) connect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.connectTimeout)
	defer cancel()
	conn, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

// connectTLS opens a TLS connection. Writes are tracked above TLS, so that the
// handshake does not count as part of a request.
func (d *Dispatcher) connectTLS(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.connectTimeout)
	defer cancel()
	conn, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tlsConn := tls.Client(conn, d.tlsConfigFor(address))
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &trackedConn{Conn: tlsConn}, nil
}

func (d *Dispatcher) tlsConfigFor(address string) *tls.Config {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if d.tls != nil {
		config = d.tls().Clone()
	}
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err == nil {
			config.ServerName = host
		}
	}
	return config
}

type freshKey struct{}

// WithFreshConnection returns a context whose requests each use a new connection.
// Retrying this way after a Silent failure on a reused connection distinguishes a
// dead connection from a dead endpoint.
func WithFreshConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, freshKey{}, true)
}

func (d *Dispatcher) transportFor(ctx context.Context) *http.Transport {
	if fresh, _ := ctx.Value(freshKey{}).(bool); fresh {
		return d.fresh
	}
	return d.pooled
}

func requestURL(endpoint *compiler.Endpoint, path string) string {
	scheme := "http://"
	if endpoint.TLS {
		scheme = "https://"
	}
	return scheme + endpoint.Address.String() + path
}
