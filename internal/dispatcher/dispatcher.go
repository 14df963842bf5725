// Package dispatcher owns the HTTP client to model engines and plain services.
// It tells exactly what is known about a request that failed: whether a byte of
// it can have reached the endpoint, and how much of an answer came back. It
// does not own which endpoint is asked, when, or whether to ask again.
package dispatcher

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

// The defaults of the options.
const (
	defaultConnectTimeout   = time.Second
	defaultFirstByteTimeout = 30 * time.Second
	defaultGapTimeout       = 10 * time.Second
	defaultControlTimeout   = 2 * time.Second
	defaultOrderTimeout     = 10 * time.Second
	defaultCacheTimeout     = 30 * time.Second
	defaultCallTimeout      = 30 * time.Second
	defaultIdleTimeout      = 5 * time.Second
	defaultIdlePerEndpoint  = 8
	defaultAnswerBytes      = 8 << 20
	defaultCacheBytes       = 256 << 20
	// maximumHeaderBytes bounds the header of an answer.
	maximumHeaderBytes = 64 << 10
	// maximumEventBytes bounds one server-sent event.
	maximumEventBytes = 1 << 20
	// initialEventBytes is the buffer that a stream starts with.
	initialEventBytes = 4 << 10
)

// Dial opens a connection to an endpoint.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Dispatcher sends requests to endpoints. It is safe for concurrent use.
type Dispatcher struct {
	dial             Dial
	tls              func() *tls.Config
	connectTimeout   time.Duration
	firstByteTimeout time.Duration
	gapTimeout       time.Duration
	controlTimeout   time.Duration
	orderTimeout     time.Duration
	cacheTimeout     time.Duration
	callTimeout      time.Duration
	idleTimeout      time.Duration
	idlePerEndpoint  int
	answerBytes      int64
	cacheBytes       int64
	leaving          func(endpoint string)

	// pooled reuses connections; fresh never does.
	pooled *http.Transport
	fresh  *http.Transport
}

// Option sets one property of a Dispatcher.
type Option func(*Dispatcher)

// WithDial replaces how connections are opened.
func WithDial(dial Dial) Option { return func(d *Dispatcher) { d.dial = dial } }

// WithTLS sets where the configuration of each connection that is dialled with
// TLS comes from; certifier.Certifier.ClientConfig fits.
func WithTLS(config func() *tls.Config) Option { return func(d *Dispatcher) { d.tls = config } }

// WithConnectTimeout bounds the time to open a connection, its TLS handshake included.
func WithConnectTimeout(t time.Duration) Option {
	return func(d *Dispatcher) { d.connectTimeout = t }
}

// WithStreamTimeouts bounds the time to the first chunk of a generation and
// the time between chunks.
func WithStreamTimeouts(first, gap time.Duration) Option {
	return func(d *Dispatcher) { d.firstByteTimeout, d.gapTimeout = first, gap }
}

// WithOrderTimeout bounds an order, which an engine answers once it is carried out.
func WithOrderTimeout(t time.Duration) Option { return func(d *Dispatcher) { d.orderTimeout = t } }

// WithControlTimeout bounds a whole request for reports and cancels.
func WithControlTimeout(t time.Duration) Option {
	return func(d *Dispatcher) { d.controlTimeout = t }
}

// WithCallTimeout bounds a call to a service that sets no timeout.
func WithCallTimeout(t time.Duration) Option { return func(d *Dispatcher) { d.callTimeout = t } }

// WithIdleConnections sets how many idle connections are kept per endpoint and for how long.
func WithIdleConnections(idle int, life time.Duration) Option {
	return func(d *Dispatcher) { d.idlePerEndpoint, d.idleTimeout = idle, life }
}

// WithResponseLimit bounds the body of a service's answer, in bytes.
func WithResponseLimit(bytes int64) Option { return func(d *Dispatcher) { d.answerBytes = bytes } }

// WithLeavingHandler sets who is told at once when an endpoint answers that it takes
// no new work; prober.Prober.MarkLeaving fits.
func WithLeavingHandler(leaving func(endpoint string)) Option {
	return func(d *Dispatcher) { d.leaving = leaving }
}

// New returns a Dispatcher. Close ends its idle connections.
func New(options ...Option) *Dispatcher {
	d := &Dispatcher{
		dial:             (&net.Dialer{}).DialContext,
		connectTimeout:   defaultConnectTimeout,
		firstByteTimeout: defaultFirstByteTimeout,
		gapTimeout:       defaultGapTimeout,
		controlTimeout:   defaultControlTimeout,
		orderTimeout:     defaultOrderTimeout,
		cacheTimeout:     defaultCacheTimeout,
		callTimeout:      defaultCallTimeout,
		idleTimeout:      defaultIdleTimeout,
		idlePerEndpoint:  defaultIdlePerEndpoint,
		answerBytes:      defaultAnswerBytes,
		cacheBytes:       defaultCacheBytes,
		leaving:          func(string) {},
	}
	for _, option := range options {
		option(d)
	}
	d.pooled = d.transport(true)
	d.fresh = d.transport(false)
	return d
}

// Close ends the idle connections.
func (d *Dispatcher) Close() {
	d.pooled.CloseIdleConnections()
	d.fresh.CloseIdleConnections()
}

// transport returns a transport for HTTP/1.1 only, without proxies,
// compression or redirects.
func (d *Dispatcher) transport(reuse bool) *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:         d.connect,
		DialTLSContext:      d.connectTLS,
		Protocols:           protocols,
		DisableKeepAlives:   !reuse,
		DisableCompression:  true,
		MaxIdleConnsPerHost: d.idlePerEndpoint,
		IdleConnTimeout:     d.idleTimeout,

		MaxResponseHeaderBytes: maximumHeaderBytes,
	}
}

// connect opens a connection that knows whether it was written to.
func (d *Dispatcher) connect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.connectTimeout)
	defer cancel()
	conn, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &sealedConn{Conn: conn}, nil
}

// connectTLS seals above the handshake, whose bytes are no part of a request.
func (d *Dispatcher) connectTLS(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.connectTimeout)
	defer cancel()
	conn, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	secured := tls.Client(conn, d.tlsFor(address))
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &sealedConn{Conn: secured}, nil
}

func (d *Dispatcher) tlsFor(address string) *tls.Config {
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

// WithFreshConnection returns a context whose requests go out on a connection
// of their own. Ask so again after a Silent failure on a reused connection: it
// tells a dead connection from a dead endpoint.
func WithFreshConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, freshKey{}, true)
}

func (d *Dispatcher) transportFor(ctx context.Context) *http.Transport {
	if fresh, _ := ctx.Value(freshKey{}).(bool); fresh {
		return d.fresh
	}
	return d.pooled
}

func address(endpoint *compiler.Endpoint, path string) string {
	scheme := "http://"
	if endpoint.TLS {
		scheme = "https://"
	}
	return scheme + endpoint.Address.String() + path
}
