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
	// healthPeriod is how often the owner is told of the store and the endpoints.
	healthPeriod = 200 * time.Millisecond
	// shutdownTimeout bounds the end of a listener after its work is done.
	shutdownTimeout = 5 * time.Second
	// callerLinger is how long a planned stop leaves callers' idle connections open.
	callerLinger = 5 * time.Second
)

var (
	errNotReady   = errors.New("no lease is held or the document is not known")
	errNotServing = errors.New("the callers' listener has failed")
)

func newDaemon(settings *configurer.Settings, w io.Writer, options ...Option) (*daemon, error) {
	l, err := newLogger(settings.Log, w)
	if err != nil {
		return nil, err
	}
	d := &daemon{
		settings: settings, meter: meter.New(),
		log: l.With("Instance", settings.Instance, "DataCentre", settings.DataCentre), network: newTCP(), draining: make(chan struct{}),
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
	key, err := readKey(platform.KeyFile)
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
	d.addresses = newDirectory(d.settings.Instance, d.store)
	d.follower = publisher.NewFollower(d.store, d.store,
		publisher.WithInterval(d.settings.Document.PollInterval), publisher.WithLogger(d.log),
		publisher.WithPeer(documentPeer{d}), publisher.WithNotify(d.versionChanged))
	return nil
}

// versionChanged brings a newer document into force on this instance.
func (d *daemon) versionChanged(version *compiler.Version) {
	d.meter.DocumentVersion.Set(float64(version.Number))
	d.log.Log(eventVersionInForce, "Version", version.Number)
	if t := d.tenure.Load(); t != nil {
		t.lease.SetDocumentVersion(version.Number)
		t.owner.Send(decider.VersionChanged{Version: version})
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
	d.peers = forwarder.NewClient(forwarder.WithDial(d.dialPeer(client)))
	d.forwarder = forwarder.New(places{d}, d.peers, local{d}, forwarder.WithMeter(d.meter), forwarder.WithLogger(d.log))
	d.peerServer, err = forwarder.NewServer(local{d}, places{d}, documents{d})
	return err
}

// dialPeer returns how other instances are dialled; config is nil without TLS.
func (d *daemon) dialPeer(config *tls.Config) forwarder.Dial {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := d.network.DialContext(ctx, "tcp", address)
		if err != nil || config == nil {
			return conn, err
		}
		return d.secure(ctx, conn, address, config)
	}
}

// secure makes a TLS connection of conn and closes it if that fails.
func (d *daemon) secure(ctx context.Context, conn net.Conn, address string, config *tls.Config) (net.Conn, error) {
	named := config.Clone()
	if named.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Join(err, conn.Close())
		}
		named.ServerName = host
	}
	secured := tls.Client(conn, named)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return secured, nil
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
		prober.WithInstance(d.settings.Instance, d.settings.DataCentre), prober.WithCacheObserver(memory{d}), prober.WithLogger(d.log))
	return nil
}

func (d *daemon) buildReceiver() error {
	certs, err := newCertifier(d.settings.CallerTLS, d.log)
	if err != nil {
		return eris.Wrap(err, "caller certificates")
	}
	limits := d.settings.Limits
	options := []receiver.Option{
		receiver.WithLogger(d.log), receiver.WithMeter(d.meter), receiver.WithDrainTimeout(d.settings.DrainTimeout), receiver.WithConnectionGracePeriod(callerLinger),
		receiver.WithBodyLimit(int64(limits.BodyBytes), limits.HeaderTimeout),
		receiver.WithHeaderLimit(limits.HeaderBytes, limits.HeaderTimeout), receiver.WithIdleTimeout(limits.IdleTimeout),
	}
	if certs != nil {
		options = append(options, receiver.WithTLS(certs.ServerConfig()))
	}
	d.receiver = receiver.New(entry{d.forwarder}, d.current, options...)
	return nil
}

// current returns the document in force, or nil before there is one.
func (d *daemon) current() *compiler.Version {
	if !d.follower.Started() {
		return nil
	}
	return d.follower.Current()
}

// discard is the sink of a caller that wants the whole answer at once.
type discard struct{}

// Chunk implements requester.Sink.
func (discard) Chunk(generator.Chunk) error { return nil }

// entry makes every turn idempotent, so that it may be forwarded again, and
// gives every command a sink.
type entry struct{ next requester.Doer }

// Do implements requester.Doer.
func (e entry) Do(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
	if turn := command.Turn; turn != nil && turn.Number == 0 && turn.Key == "" {
		keyed := *turn
		keyed.Key = command.Request
		command.Turn = &keyed
	}
	if sink == nil {
		sink = discard{}
	}
	return e.next.Do(ctx, command, sink)
}

// run starts the parts in order, serves until ctx ends, and stops them.
func (d *daemon) run(ctx context.Context) error {
	life := d.life
	if life == nil {
		life = context.WithoutCancel(ctx)
	}
	base, stop := context.WithCancel(life)
	defer d.work.Wait()
	defer d.stopOwner()
	defer stop()
	if err := d.listenInternal(base); err != nil {
		return err
	}
	starting, started := context.WithCancel(ctx)
	defer context.AfterFunc(base, started)()
	err := d.follower.Start(starting)
	started()
	if err != nil {
		return d.stoppedEarly(ctx, err)
	}
	d.work.Go(func() { d.follower.Run(base) })
	d.work.Go(func() { d.serveTenures(base) })
	d.work.Go(func() { _ = d.prober.Run(base) })
	d.work.Go(func() { d.watch(base) })
	listener, err := d.network.Listen(d.settings.CallerListen)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	serving, stopServing := context.WithCancel(base)
	defer stopServing()
	served := make(chan struct{})
	d.work.Go(func() {
		defer close(served)
		if err := d.receiver.Serve(serving, listener); err != nil {
			d.log.Log(eventServeFailed, "Cause", err)
		}
	})
	d.log.Log(eventServing, "Address", d.settings.CallerListen)
	select {
	case <-served:
		return errNotServing
	case <-base.Done():
		return base.Err()
	case <-ctx.Done():
	case <-d.draining:
	}
	d.stop(base, stopServing, served)
	return nil
}

// stoppedEarly returns nil if a planned stop ended the start.
func (d *daemon) stoppedEarly(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		d.log.Log(eventStopped)
		return nil
	}
	return err
}

// stopOwner ends the owner of the last generation.
func (d *daemon) stopOwner() {
	if t := d.tenure.Load(); t != nil {
		t.owner.Stop()
	}
}

// listenInternal starts the listeners for instances, for operators, and for
// health and metrics.
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
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(last)
	})
}

func (d *daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", d.meter.Handler())
	mux.Handle("GET /healthz", receiver.Healthz())
	mux.Handle("GET /readyz", d.receiver.Readyz(d.ready))
	return mux
}

func (d *daemon) ready() error {
	t := d.tenure.Load()
	if t == nil || d.current() == nil || t.placer.Epoch() == 0 {
		return errNotReady
	}
	return nil
}

// stop ends the instance as planned: it reports that it is not ready, hands its
// shards over, finishes what is in flight and closes its listeners.
func (d *daemon) stop(base context.Context, stopServing context.CancelFunc, served <-chan struct{}) {
	d.log.Log(eventStopping, "InFlight", d.receiver.InFlight())
	d.receiver.SetStopping(true)
	pause(base, d.settings.DrainGrace)
	draining, cancel := context.WithTimeout(base, d.settings.DrainTimeout)
	defer cancel()
	if t := d.tenure.Load(); t != nil {
		if err := t.placer.Drain(draining); err != nil {
			d.log.Log(eventDrainCut, "Cause", err)
		}
		t.owner.ReturnEscrow(draining)
	}
	stopServing()
	<-served
	d.log.Log(eventStopped)
}
