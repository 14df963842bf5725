// Package receiver serves the callers' HTTP API. It authenticates the caller,
// validates the request, passes it as a command to a requester.Doer and writes
// the reply as a JSON response or as a stream of server-sent events. Handlers
// are safe for concurrent use.
package receiver

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/meter"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// Default option values.
const (
	defaultTimeout         = time.Minute
	defaultMaximumTimeout  = 10 * time.Minute
	defaultBodyBytes       = 4 << 20
	defaultHeaderBytes     = 16 << 10
	defaultHeaderTimeout   = 5 * time.Second
	defaultBodyTimeout     = 10 * time.Second
	defaultWriteTimeout    = 10 * time.Second
	defaultIdleTimeout     = 30 * time.Second
	defaultDrainTimeout    = 30 * time.Second
	defaultMaximumInFlight = 8192
	closePollInterval      = 20 * time.Millisecond
	// replyGracePeriod is the time after the caller's timeout in which the owner
	// may still report whether the request ran.
	replyGracePeriod = 500 * time.Millisecond
)

// Receiver serves the callers' API.
type Receiver struct {
	doer    requester.Doer
	current func() *compiler.Version
	handler http.Handler
	log     *logger.Logger
	meter   *meter.Meter
	tls     *tls.Config

	timeout            time.Duration
	maximumTimeout     time.Duration
	maximumBodyBytes   int64
	maximumHeaderBytes int
	headerTimeout      time.Duration
	bodyTimeout        time.Duration
	writeTimeout       time.Duration
	idleTimeout        time.Duration
	drainTimeout       time.Duration
	maximumInFlight    int64

	connectionGracePeriod time.Duration

	stopping    atomic.Bool
	inFlight    atomic.Int64
	connections atomic.Int64
}

// Option sets one property of a Receiver.
type Option func(*Receiver)

// WithLogger sets where events are logged.
func WithLogger(l *logger.Logger) Option { return func(r *Receiver) { r.log = l } }

// WithMeter sets where requests and error responses are counted.
func WithMeter(m *meter.Meter) Option { return func(r *Receiver) { r.meter = m } }

// WithTLS makes Serve accept TLS connections with the configuration.
func WithTLS(config *tls.Config) Option { return func(r *Receiver) { r.tls = config } }

// WithTimeouts sets the timeout of a request that does not specify one and the upper limit of those that do.
func WithTimeouts(standard, maximum time.Duration) Option {
	return func(r *Receiver) { r.timeout, r.maximumTimeout = standard, maximum }
}

// WithBodyLimit limits the size of a request body and the time to read it.
func WithBodyLimit(bytes int64, timeout time.Duration) Option {
	return func(r *Receiver) { r.maximumBodyBytes, r.bodyTimeout = bytes, timeout }
}

// WithHeaderLimit limits the size of a request header and the time to read it.
func WithHeaderLimit(bytes int, timeout time.Duration) Option {
	return func(r *Receiver) { r.maximumHeaderBytes, r.headerTimeout = bytes, timeout }
}

// WithWriteTimeout limits the duration of each write to a caller.
func WithWriteTimeout(d time.Duration) Option { return func(r *Receiver) { r.writeTimeout = d } }

// WithIdleTimeout limits how long a connection may stay open without a request.
func WithIdleTimeout(d time.Duration) Option { return func(r *Receiver) { r.idleTimeout = d } }

// WithDrainTimeout limits how long Serve waits for requests in flight after its context is canceled.
func WithDrainTimeout(d time.Duration) Option { return func(r *Receiver) { r.drainTimeout = d } }

// WithConnectionGracePeriod sets how long a planned stop keeps idle connections
// open after the listener is closed. A request that is sent while its connection
// is being closed is lost, so callers must close idle connections within a
// shorter time.
func WithConnectionGracePeriod(d time.Duration) Option {
	return func(r *Receiver) { r.connectionGracePeriod = d }
}

// WithMaximumInFlight limits the number of requests in flight.
func WithMaximumInFlight(n int) Option { return func(r *Receiver) { r.maximumInFlight = int64(n) } }

// New returns a Receiver that passes commands to doer and reads callers' keys
// and services from the document version that current returns. While no version
// is in force current must return nil.
func New(doer requester.Doer, current func() *compiler.Version, options ...Option) *Receiver {
	r := &Receiver{
		doer: doer, current: current,
		log: logger.Discard(), meter: meter.New(),
		timeout: defaultTimeout, maximumTimeout: defaultMaximumTimeout,
		maximumBodyBytes: defaultBodyBytes, maximumHeaderBytes: defaultHeaderBytes,
		headerTimeout: defaultHeaderTimeout, bodyTimeout: defaultBodyTimeout,
		writeTimeout: defaultWriteTimeout, idleTimeout: defaultIdleTimeout,
		drainTimeout: defaultDrainTimeout, maximumInFlight: defaultMaximumInFlight,
	}
	for _, option := range options {
		option(r)
	}
	r.handler = r.routes()
	return r
}

// Handler returns the handler of the callers' API.
func (r *Receiver) Handler() http.Handler { return r.handler }

// InFlight returns the number of requests in flight.
func (r *Receiver) InFlight() int { return int(r.inFlight.Load()) }

// SetStopping sets whether Readyz reports the instance as not ready and every
// response closes its connection, so that callers reconnect to another instance
// while this one still serves.
func (r *Receiver) SetStopping(stopping bool) { r.stopping.Store(stopping) }

// Serve serves requests on the listener until ctx is canceled. It then closes the
// listener, waits for open connections and requests in flight, and returns nil.
// Requests that exceed the drain timeout are aborted and logged. If the listener
// fails Serve returns its error.
func (r *Receiver) Serve(ctx context.Context, listener net.Listener) error {
	server := r.newServer()
	serveErr := make(chan error, 1)
	go func() { serveErr <- r.acceptConnections(server, listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	r.SetStopping(true)
	_ = listener.Close()
	r.awaitConnections(ctx)
	r.drain(ctx, server)
	if err := <-serveErr; !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// awaitConnections waits until all connections are closed or the grace period has
// passed. The next response on a connection closes it.
func (r *Receiver) awaitConnections(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.connectionGracePeriod)
	defer cancel()
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for r.connections.Load() > 0 {
		select {
		case <-waitCtx.Done():
			return
		case <-ticker.C:
		}
	}
}

// trackConnection updates the number of open connections.
func (r *Receiver) trackConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		r.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		r.connections.Add(-1)
	}
}

func (r *Receiver) newServer() *http.Server {
	return &http.Server{
		Handler:           r.handler,
		ReadHeaderTimeout: r.headerTimeout,
		IdleTimeout:       r.idleTimeout,
		MaxHeaderBytes:    r.maximumHeaderBytes,
		TLSConfig:         r.tls,
		ConnState:         r.trackConnection,
		ErrorLog:          connectionLog(r.log),
		TLSNextProto:      map[string]func(*http.Server, *tls.Conn, http.Handler){},
	}
}

func (r *Receiver) acceptConnections(server *http.Server, listener net.Listener) error {
	serve := server.Serve
	if r.tls != nil {
		serve = func(l net.Listener) error { return server.ServeTLS(l, "", "") }
	}
	err := serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (r *Receiver) drain(ctx context.Context, server *http.Server) {
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.drainTimeout)
	defer cancel()
	if err := server.Shutdown(drainCtx); err == nil {
		return
	}
	r.log.Log(requestsCut, "InFlight", r.InFlight())
	if err := server.Close(); err != nil {
		r.log.Log(connectionFailed, "Cause", err)
	}
}
