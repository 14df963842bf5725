// Package receiver owns the callers' HTTP API: it authenticates a caller,
// checks the request, carries it as a command to a requester.Doer and writes
// the whole answer. It does not own any decision about a program, nor where
// its owner is.
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

// The defaults of the options.
const (
	defaultTimeout         = time.Minute
	maximumTimeout         = 10 * time.Minute
	defaultBodyBytes       = 4 << 20
	defaultHeaderBytes     = 16 << 10
	defaultHeaderTimeout   = 5 * time.Second
	defaultBodyTimeout     = 10 * time.Second
	defaultWriteTimeout    = 10 * time.Second
	defaultIdleTimeout     = 30 * time.Second
	defaultDrainTimeout    = 30 * time.Second
	defaultMaximumInFlight = 8192
	closePollInterval      = 20 * time.Millisecond
	// replyGracePeriod is how long past the caller's time the owner may take to say
	// what became of the request.
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

// WithMeter sets where requests and refusals are counted.
func WithMeter(m *meter.Meter) Option { return func(r *Receiver) { r.meter = m } }

// WithTLS serves TLS with the configuration.
func WithTLS(config *tls.Config) Option { return func(r *Receiver) { r.tls = config } }

// WithTimeouts sets the time given to a request that names none and the longest that it may name.
func WithTimeouts(standard, maximum time.Duration) Option {
	return func(r *Receiver) { r.timeout, r.maximumTimeout = standard, maximum }
}

// WithBodyLimit bounds a request's body in bytes and the time to send it.
func WithBodyLimit(bytes int64, timeout time.Duration) Option {
	return func(r *Receiver) { r.maximumBodyBytes, r.bodyTimeout = bytes, timeout }
}

// WithHeaderLimit bounds a request's header in bytes and the time to send it.
func WithHeaderLimit(bytes int, timeout time.Duration) Option {
	return func(r *Receiver) { r.maximumHeaderBytes, r.headerTimeout = bytes, timeout }
}

// WithWriteTimeout bounds each write to a caller.
func WithWriteTimeout(d time.Duration) Option { return func(r *Receiver) { r.writeTimeout = d } }

// WithIdleTimeout bounds how long a connection may stay without a request.
func WithIdleTimeout(d time.Duration) Option { return func(r *Receiver) { r.idleTimeout = d } }

// WithDrainTimeout bounds how long Serve waits for requests in flight once its context has ended.
func WithDrainTimeout(d time.Duration) Option { return func(r *Receiver) { r.drainTimeout = d } }

// WithConnectionGracePeriod sets how long a planned stop leaves idle connections open after the
// listener is closed. A request that is on its way when its connection is closed
// is cut, so callers close their idle connections sooner than that.
func WithConnectionGracePeriod(d time.Duration) Option {
	return func(r *Receiver) { r.connectionGracePeriod = d }
}

// WithMaximumInFlight bounds the requests served at a time.
func WithMaximumInFlight(n int) Option { return func(r *Receiver) { r.maximumInFlight = int64(n) } }

// New returns a Receiver that carries commands to doer and reads callers' keys
// and services from the version that current returns. Current returns nil
// while no version is in force.
func New(doer requester.Doer, current func() *compiler.Version, options ...Option) *Receiver {
	r := &Receiver{
		doer: doer, current: current,
		log: logger.Discard(), meter: meter.New(),
		timeout: defaultTimeout, maximumTimeout: maximumTimeout,
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

// Handler returns the callers' API.
func (r *Receiver) Handler() http.Handler { return r.handler }

// InFlight returns the number of requests being served.
func (r *Receiver) InFlight() int { return int(r.inFlight.Load()) }

// SetStopping makes every answer close its connection, so that callers move to
// another instance while this one still serves.
func (r *Receiver) SetStopping(stopping bool) { r.stopping.Store(stopping) }

// Serve answers requests on the listener until ctx ends. It then takes no new
// connection, waits for the requests in flight, and returns nil; those that
// outlast the drain timeout are cut and logged.
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

// awaitConnections waits until callers have closed their connections, each of which
// is closed by the next answer on it.
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

// trackConnection keeps the number of open connections.
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
