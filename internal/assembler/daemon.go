package assembler

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/certifier"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/configurer"
	"github.com/wigeonstand/wigeonstand/internal/connector"
	"github.com/wigeonstand/wigeonstand/internal/decider"
	"github.com/wigeonstand/wigeonstand/internal/dispatcher"
	"github.com/wigeonstand/wigeonstand/internal/forwarder"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/meter"
	"github.com/wigeonstand/wigeonstand/internal/prober"
	"github.com/wigeonstand/wigeonstand/internal/publisher"
	"github.com/wigeonstand/wigeonstand/internal/receiver"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

const (
	// healthInterval is the time between health reports to the executor.
	healthInterval = 200 * time.Millisecond
	// shutdownTimeout bounds the shutdown of the HTTP servers for operators, health and metrics.
	shutdownTimeout = 5 * time.Second
	// callerConnectionGracePeriod is how long callers' idle connections stay open in a
	// graceful shutdown.
	callerConnectionGracePeriod = 5 * time.Second
)

var (
	errNotReady     = errors.New("no lease is held or the document is not known")
	errServeCallers = errors.New("the caller listener has failed")
)

func newDaemon(settings *configurer.Settings, w io.Writer, options ...Option) (*daemon, error) {
	l, err := newLogger(settings.Log, w)
	if err != nil {
		return nil, err
	}
	d := &daemon{
		settings: settings, meter: meter.New(),
		log: l.With("Instance", settings.Instance, "DataCentre", settings.DataCentre), network: newTCP(), drainRequested: make(chan struct{}),
	}
	for _, option := range options {
		option(d)
	}
	for _, build := range []func() error{d.buildStore, d.buildFollower, d.buildPeers, d.buildEndpoints, d.buildReceiver, d.buildAdministrator} {
		if err := build(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *daemon) buildStore() error {
	platform := d.settings.Platform
	key, err := readKeyFile(platform.KeyFile)
	if err != nil {
		return err
	}
	base := "http://" + platform.Address.String()
	options := []connector.Option{
		connector.WithKey(key), connector.WithMeter(d.meter), connector.WithDial(d.network.DialContext),
		connector.WithRates(float64(d.settings.Store.WritesPerSecond), float64(d.settings.Store.ReadsPerSecond)),
	}
	if platform.TLS {
		base = "https://" + platform.Address.String()
		certs, err := certifier.New(certifier.Files{Authority: platform.CAFile}, certifier.WithLogger(d.log))
		if err != nil {
			return eris.Wrap(err, "platform certificates")
		}
		options = append(options, connector.WithTLS(certs.ClientConfig()))
	}
	d.store = connector.New(base, options...)
	d.store.SetInstanceCount(d.settings.Store.ShareOf)
	return nil
}

func (d *daemon) buildFollower() error {
	d.peerDirectory = newPeerDirectory(d.settings.Instance, d.store)
	d.follower = publisher.NewFollower(d.store, d.store,
		publisher.WithInterval(d.settings.Document.PollInterval), publisher.WithLogger(d.log),
		publisher.WithPeer(documentPeer{d}), publisher.WithNotify(d.versionChanged))
	return nil
}

// versionChanged updates the metrics, the lease and the executor to a new document version.
func (d *daemon) versionChanged(version *compiler.Version) {
	d.meter.DocumentVersion.Set(float64(version.Number))
	d.log.Log(eventVersionInForce, "Version", version.Number)
	if g := d.generation.Load(); g != nil {
		g.leaser.SetDocumentVersion(version.Number)
		g.executor.Send(decider.VersionChanged{Version: version})
	}
}

func (d *daemon) buildPeers() error {
	certs, err := newCertifier(d.settings.PeerTLS, d.log)
	if err != nil {
		return eris.Wrap(err, "peer certificates")
	}
	var client *tls.Config
	if certs != nil {
		client = certs.ClientConfig()
		d.peerTLS = certs.MutualServerConfig()
	}
	d.peerClient = forwarder.NewClient(forwarder.WithDial(d.dialPeer(client)))
	d.forwarder = forwarder.New(shardLocator{d}, d.peerClient, localDoer{d}, forwarder.WithMeter(d.meter), forwarder.WithLogger(d.log))
	d.peerServer, err = forwarder.NewServer(localDoer{d}, shardLocator{d}, documentSource{d})
	return err
}

// dialPeer returns the function that dials other instances, with TLS unless config is nil.
func (d *daemon) dialPeer(config *tls.Config) forwarder.Dial {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := d.network.DialContext(ctx, "tcp", address)
		if err != nil || config == nil {
			return conn, err
		}
		return d.tlsHandshake(ctx, conn, address, config)
	}
}

// tlsHandshake returns a TLS client connection over conn, or closes conn on an error.
func (d *daemon) tlsHandshake(ctx context.Context, conn net.Conn, address string, config *tls.Config) (net.Conn, error) {
	serverConfig := config.Clone()
	if serverConfig.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Join(err, conn.Close())
		}
		serverConfig.ServerName = host
	}
	tlsConn := tls.Client(conn, serverConfig)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return tlsConn, nil
}

func (d *daemon) buildEndpoints() error {
	certs, err := newCertifier(d.settings.EndpointTLS, d.log)
	if err != nil {
		return eris.Wrap(err, "endpoint certificates")
	}
	options := []dispatcher.Option{
		dispatcher.WithDial(d.network.DialContext),
		dispatcher.WithLeavingHandler(func(endpoint string) { d.prober.MarkLeaving(endpoint) }),
	}
	if certs != nil {
		options = append(options, dispatcher.WithTLS(certs.ClientConfig))
	}
	d.dispatcher = dispatcher.New(options...)
	d.prober = prober.New(d.follower.Current, d.dispatcher,
		prober.WithInstance(d.settings.Instance, d.settings.DataCentre), prober.WithCacheObserver(cacheObserver{d}), prober.WithLogger(d.log))
	return nil
}

func (d *daemon) buildReceiver() error {
	certs, err := newCertifier(d.settings.CallerTLS, d.log)
	if err != nil {
		return eris.Wrap(err, "caller certificates")
	}
	limits := d.settings.Limits
	options := []receiver.Option{
		receiver.WithLogger(d.log), receiver.WithMeter(d.meter), receiver.WithDrainTimeout(d.settings.DrainTimeout), receiver.WithConnectionGracePeriod(callerConnectionGracePeriod),
		receiver.WithBodyLimit(int64(limits.BodyBytes), limits.HeaderTimeout),
		receiver.WithHeaderLimit(limits.HeaderBytes, limits.HeaderTimeout), receiver.WithIdleTimeout(limits.IdleTimeout),
	}
	if certs != nil {
		options = append(options, receiver.WithTLS(certs.ServerConfig()))
	}
	d.receiver = receiver.New(idempotentDoer{d.forwarder}, d.currentDocument, options...)
	return nil
}

// currentDocument returns the document in force, or nil if none has been loaded yet.
func (d *daemon) currentDocument() *compiler.Version {
	if !d.follower.Started() {
		return nil
	}
	return d.follower.Current()
}

// discardSink drops the chunks of an answer that is not streamed.
type discardSink struct{}

// Chunk implements requester.Sink.
func (discardSink) Chunk(generator.Chunk) error { return nil }

// idempotentDoer makes turns without a number or key idempotent by using the request ID
// as the key, so that they can be forwarded again. A nil sink becomes discardSink.
type idempotentDoer struct{ next requester.Doer }

// Do implements requester.Doer.
func (d idempotentDoer) Do(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
	if turn := command.Turn; turn != nil && turn.Number == 0 && turn.Key == "" {
		keyed := *turn
		keyed.Key = command.Request
		command.Turn = &keyed
	}
	if sink == nil {
		sink = discardSink{}
	}
	return d.next.Do(ctx, command, sink)
}

// run starts the components in order, serves until ctx is done, a drain is requested or
// the caller listener fails, and stops the components.
func (d *daemon) run(ctx context.Context) error {
	parent := d.baseContext
	if parent == nil {
		parent = context.WithoutCancel(ctx)
	}
	base, stop := context.WithCancel(parent)
	defer d.work.Wait()
	defer d.stopExecutor()
	defer stop()
	if err := d.listenInternal(base); err != nil {
		return err
	}
	startCtx, cancelStart := context.WithCancel(ctx)
	defer context.AfterFunc(base, cancelStart)()
	err := d.follower.Start(startCtx)
	cancelStart()
	if err != nil {
		return d.startError(ctx, err)
	}
	d.work.Go(func() { d.follower.Run(base) })
	d.work.Go(func() { d.serveGenerations(base) })
	d.work.Go(func() { _ = d.prober.Run(base) })
	d.work.Go(func() { d.reportHealth(base) })
	listener, err := d.network.Listen(d.settings.CallerListen)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	serveCtx, stopServing := context.WithCancel(base)
	defer stopServing()
	serveDone := make(chan struct{})
	d.work.Go(func() {
		defer close(serveDone)
		if err := d.receiver.Serve(serveCtx, listener); err != nil {
			d.log.Log(eventServeFailed, "Cause", err)
		}
	})
	d.log.Log(eventServing, "Address", d.settings.CallerListen)
	select {
	case <-serveDone:
		return errServeCallers
	case <-base.Done():
		return base.Err()
	case <-ctx.Done():
	case <-d.drainRequested:
	}
	d.shutdown(base, stopServing, serveDone)
	return nil
}

// startError returns nil if the start was interrupted by a graceful shutdown, and err otherwise.
func (d *daemon) startError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		d.log.Log(eventStopped)
		return nil
	}
	return err
}

// stopExecutor stops the executor of the last generation.
func (d *daemon) stopExecutor() {
	if g := d.generation.Load(); g != nil {
		g.executor.Stop()
	}
}

// listenInternal starts the servers for other instances, for health and metrics, and
// for operators.
func (d *daemon) listenInternal(ctx context.Context) error {
	peers, err := d.listen(d.settings.PeerListen, d.peerTLS)
	if err != nil {
		return eris.Wrap(err, "listen for instances")
	}
	d.work.Go(func() { _ = d.peerServer.Serve(ctx, peers) })
	admin, err := d.network.Listen(d.settings.AdminListen)
	if err != nil {
		return eris.Wrap(err, "listen for health and metrics")
	}
	d.serveHTTP(ctx, admin, d.adminHandler())
	operators, err := d.listen(d.settings.OperatorListen, d.operatorTLS)
	if err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	d.serveHTTP(ctx, operators, d.administrator)
	return nil
}

func (d *daemon) listen(address netip.AddrPort, config *tls.Config) (net.Listener, error) {
	listener, err := d.network.Listen(address)
	if err != nil || config == nil {
		return listener, err
	}
	return tls.NewListener(listener, config), nil
}

func (d *daemon) serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: d.settings.Limits.HeaderTimeout,
		MaxHeaderBytes: d.settings.Limits.HeaderBytes, IdleTimeout: d.settings.Limits.IdleTimeout,
	}
	d.work.Go(func() { _ = server.Serve(listener) })
	d.work.Go(func() {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	})
}

func (d *daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", d.meter.Handler())
	mux.Handle("GET /healthz", receiver.Healthz())
	mux.Handle("GET /readyz", d.receiver.Readyz(d.checkReady))
	return mux
}

func (d *daemon) checkReady() error {
	g := d.generation.Load()
	if g == nil || d.currentDocument() == nil || g.placer.Epoch() == 0 {
		return errNotReady
	}
	return nil
}

// shutdown stops the instance gracefully. It reports that the instance is not ready,
// keeps serving for DrainGrace, hands over the shards, returns the escrow, and stops
// the receiver, which waits for the requests in flight.
func (d *daemon) shutdown(base context.Context, stopServing context.CancelFunc, serveDone <-chan struct{}) {
	d.log.Log(eventStopping, "InFlight", d.receiver.InFlight())
	d.receiver.SetStopping(true)
	sleep(base, d.settings.DrainGrace)
	drainCtx, cancel := context.WithTimeout(base, d.settings.DrainTimeout)
	defer cancel()
	if g := d.generation.Load(); g != nil {
		if err := g.placer.Drain(drainCtx); err != nil {
			d.log.Log(eventDrainIncomplete, "Cause", err)
		}
		g.executor.ReturnEscrow(drainCtx)
	}
	stopServing()
	<-serveDone
	d.log.Log(eventStopped)
}
