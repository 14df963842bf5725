// Package composer builds an instance for the users' platform from its components,
// starts them, reports readiness and stops them gracefully. The platform's formats
// are passed in as a Platform.
package composer

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"math"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/accepter"
	"github.com/wigeonstand/wigeonstand/internal/admitter"
	"github.com/wigeonstand/wigeonstand/internal/apportioner"
	"github.com/wigeonstand/wigeonstand/internal/batcher"
	"github.com/wigeonstand/wigeonstand/internal/bookkeeper"
	"github.com/wigeonstand/wigeonstand/internal/bootstrapper"
	"github.com/wigeonstand/wigeonstand/internal/closer"
	"github.com/wigeonstand/wigeonstand/internal/configurer"
	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/estimator"
	"github.com/wigeonstand/wigeonstand/internal/extender"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/internal/meter"
	"github.com/wigeonstand/wigeonstand/internal/pruner"
	"github.com/wigeonstand/wigeonstand/internal/quarantiner"
	"github.com/wigeonstand/wigeonstand/internal/rationer"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/relayer"
	"github.com/wigeonstand/wigeonstand/internal/rerouter"
	"github.com/wigeonstand/wigeonstand/internal/resumer"
	"github.com/wigeonstand/wigeonstand/internal/sender"
	"github.com/wigeonstand/wigeonstand/internal/stopper"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/internal/transcriber"
	"github.com/wigeonstand/wigeonstand/internal/tunneler"
	"github.com/wigeonstand/wigeonstand/internal/watcher"
)

const (
	// memoryLimitPercent is the soft memory limit of the Go runtime in percent of
	// the configured memory.
	memoryLimitPercent = 60
	// bufferedMemoryDivisor gives the part of the memory for large bodies of plain
	// responses.
	bufferedMemoryDivisor = 12
	// smallBodyMemoryDivisor and largeBodyMemoryDivisor give the parts of the memory for small and
	// large bodies of requests.
	smallBodyMemoryDivisor = 12
	largeBodyMemoryDivisor = 8
	// storeMemoryDivisor gives that for the responses of the store.
	storeMemoryDivisor = 4
	// responseHeadMemoryDivisor gives that for the heads of endpoints' responses.
	responseHeadMemoryDivisor = 24
	// drainDelay is how long the instance accepts new connections after it reports
	// that it is not ready. The load balancer checks readiness once a second and
	// removes an instance after two failed checks.
	drainDelay = 2500 * time.Millisecond
	// closeInterval is the interval at which idle connections are closed during
	// drainDelay.
	closeInterval = 100 * time.Millisecond
	// drainDelayDivisor limits drainDelay to a fraction of the grace period.
	drainDelayDivisor = 3
	// closeReserveDivisor gives the fraction of the grace period that is kept for the steps after
	// the callers' connections have been closed, and minCloseReserve is the least time for them.
	// For as long before that, no answers of endpoints are waited for, and requests that are
	// completed are refused.
	closeReserveDivisor = 20
	minCloseReserve     = 200 * time.Millisecond
	// maxStoreOutage is how long the store may be unreachable before the instance
	// reports that it is not ready.
	maxStoreOutage = 1500 * time.Millisecond
	// readsPerRevokeDeadline is the number of reads of the configuration that take place within
	// RevokeDeadline at least, so that a single late one does not cause refusals.
	readsPerRevokeDeadline = 4
	// bookkeeperWriteShare is the share of the store's write rate for bookkeepers.
	// The rest is for heartbeats and for instances that replace a bookkeeper.
	bookkeeperWriteShare = 0.4
	// orphanRetentionFactor multiplies the retention of turns' rows that a stopped
	// instance has left. Their writer knew the retention of each row; the sweep
	// knows only the longest retention of the routes in force.
	orphanRetentionFactor = 2
	// budgetRetention is how long a program's budget is kept after its last grant.
	budgetRetention = 24 * time.Hour
	// withdrawTimeout limits the removal of the instance's own membership row and
	// the handover of its ledgers.
	withdrawTimeout = 1500 * time.Millisecond
)

// soonestPolicies maps the values of the setting Placement.Policy.
var soonestPolicies = map[string]relayer.Soonest{
	configurer.PlacementTwoByHash: relayer.SoonestNever,
	configurer.PlacementByPace:    relayer.SoonestWhereUneven,
	configurer.PlacementSoonest:   relayer.SoonestAlways,
}

// Platform holds the platform's store, headers and configuration source.
type Platform struct {
	Rows    storer.Rows
	Dialect relayer.Dialect
	Source  watcher.Source
}

// Entry is one instance.
type Entry struct {
	settings  *configurer.EntrySettings
	log       *logger.Logger
	logOutput *logger.RateLimitedWriter
	meter     *meter.Meter

	connections   connectionBudgets
	dialEndpoint  sender.Dial
	peerClient    *messenger.Client
	sender        *sender.Sender
	extender      *extender.Extender
	rerouter      *rerouter.Rerouter
	tunneler      *tunneler.Tunneler
	discoverer    *discoverer.Discoverer
	registry      *registrar.Registry
	watcher       *watcher.Watcher
	batcher       *batcher.Batcher
	pruner        *pruner.Pruner
	bookkeeper    *bookkeeper.Bookkeeper
	budgets       *bookkeeper.Client
	relayer       *relayer.Relayer
	runQuotas     func(context.Context)
	learnVersions func(context.Context)
	peerServer    *messenger.Server
	stop          *stopper.Stopper
	quarantine    *quarantiner.Quarantiner
	isLeaving     atomic.Bool
	wasReady      atomic.Bool
	// hasQuarantines is set once other instances were asked for theirs.
	hasQuarantines atomic.Bool
}

// Option sets one property of an Entry.
type Option func(*Entry)

// WithEndpointDial sets the function that opens connections to endpoints.
func WithEndpointDial(dial sender.Dial) Option { return func(e *Entry) { e.dialEndpoint = dial } }

// WithFirstStart states that the whole deployment starts for the first time, so that there are no
// streams to go on with.
func WithFirstStart() Option { return func(e *Entry) { e.registry.ExpectNoStreams() } }

// New returns an Entry that has not been started. It writes its log lines to out.
func New(settings *configurer.EntrySettings, platform Platform, out io.Writer, options ...Option) (*Entry, error) {
	e := &Entry{dialEndpoint: sender.NewDial(), settings: settings, logOutput: logger.NewRateLimitedWriter(out), meter: meter.New(), registry: registrar.New(), stop: stopper.New()}
	e.log = newLogger(settings.Log, e.logOutput).With("Instance", settings.Instance)
	for _, option := range options {
		option(e)
	}
	e.connections = newConnectionBudgets(settings, e.log)
	observeConnections(e.meter, e.connections)
	e.extender = extender.New()
	e.peerClient = messenger.NewClient(messenger.WithTimeouts(e.extender.WithTimeout))
	e.sender = sender.New(sender.WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		return e.tunneler.Dial(ctx, network, address)
	}), sender.WithHeadBudget(memoryBytes(settings)/responseHeadMemoryDivisor, accepter.HeadCost))
	metrics := newMetrics(e.meter, e.sender, e.registry)
	e.rerouter = rerouter.New(platform.Rows, e.peerClient, rerouter.WithCallCounter(metrics.countStoreCall), rerouter.WithTimeouts(e.extender.WithTimeout),
		rerouter.WithPathObserver(func(from, to rerouter.Path, cause error) {
			e.log.Log(eventStorePathChanged, "From", from, "To", to, "Cause", cause)
			if from == rerouter.Lost {
				e.batcher.Resume()
			}
			if to == rerouter.Lost {
				e.bookkeeper.StoreLost()
			}
		}))
	self := discoverer.Member{
		Instance: settings.Instance, Incarnation: settings.Instance + "/" + ulid.Make().String(),
		Address: settings.PeerAddress, DataCentre: settings.DataCentre,
		Cores: settings.CoreShare * settings.Cores, OutageShare: outageShare(settings),
	}
	e.discoverer = discoverer.New(self, e.rerouter, discoverer.WithSeeds(settings.Seeds), discoverer.WithClock(readClock(platform.Rows)))
	e.rerouter.SetRelays(e.discoverer)
	e.tunneler = tunneler.New(e.dialEndpoint, e.peerClient, e.discoverer, e.registry,
		tunneler.WithLogger(e.log), tunneler.WithTimeouts(e.extender.WithTimeout), tunneler.WithSilenceObserver(e.sender.CloseIdle))
	tableCopies := bootstrapper.New(e.discoverer, e.peerClient, e.log, bootstrapper.WithTimeouts(e.extender.WithTimeout))
	platform.Source.EndpointRemoved = func(endpoint registrar.Endpoint) { e.sender.CloseIdle(endpoint.Address) }
	watcherOptions := []watcher.Option{watcher.WithLogger(e.log), watcher.WithRestored(e.rerouter.Restored), watcher.WithOutages(e.rerouter.WasAway), watcher.WithBootstrapper(tableCopies)}
	if settings.RevokeStrict {
		watcherOptions = append(watcherOptions, watcher.WithMaxWait(settings.RevokeDeadline/readsPerRevokeDeadline))
	}
	e.watcher = watcher.New(platform.Source, e.rerouter, e.registry, watcherOptions...)
	observeConfiguration(e.meter, e.watcher)
	var batcherOptions []batcher.Option
	if settings.OnePartition {
		batcherOptions = append(batcherOptions, batcher.WithSinglePartition())
	}
	e.batcher = batcher.New(e.rerouter, batcherOptions...)
	e.pruner = pruner.New(e.rerouter, e.log,
		pruner.Table{Name: transcriber.Table, MaxAge: func() time.Duration { return orphanRetentionFactor * pruner.RowRetention(e.longestRetention()) }},
		pruner.Table{Name: bookkeeper.Table, MaxAge: func() time.Duration { return budgetRetention }})
	e.quarantine = quarantiner.New(e.tunneler, e.registry, e.discoverer, e.peerClient, quarantiner.WithLogger(e.log), quarantiner.WithTimeouts(e.extender.WithTimeout))
	needs := estimator.New()
	bookkeeperOptions := []bookkeeper.Option{
		bookkeeper.WithLogger(e.log), bookkeeper.WithPruner(e.pruner.Schedule), bookkeeper.WithVerdicts(e.quarantine), bookkeeper.WithNeeds(needs),
	}
	e.bookkeeper = bookkeeper.New(self.Incarnation, e.batcher, bookkeeper.NewReclaimer(e.discoverer, e.peerClient),
		append(bookkeeperOptions, e.outageBudgets(metrics, readClock(platform.Rows))...)...)
	e.budgets = bookkeeper.NewClient(e.bookkeeper, e.discoverer, e.peerClient, e.registry, bookkeeper.WithTimeouts(e.extender.WithTimeout))
	permits := rationer.New(e.discoverer, e.peerClient, rationer.WithLogger(e.log), rationer.WithCounter(metrics.countPermit))
	quotas := e.newQuotas(metrics)
	streams := resumer.New(e.discoverer, e.peerClient, e.registry, resumer.WithLogger(e.log), resumer.WithTimeouts(e.extender.WithTimeout))
	e.learnVersions = streams.LearnVersions
	e.relayer = relayer.New(relayer.Config{
		Tables: e.watcher, Endpoints: e.registry, Registrations: e.watcher, Sender: e.sender, Permits: permits, Streams: streams, Quarantine: e.quarantine, Paths: e.tunneler, Needs: needs, Shares: apportioner.New(), Dialect: platform.Dialect,
		Budgets:            e.budgets,
		Transcripts:        transcriber.New(e.rerouter),
		IsStoreUnreachable: e.isStoreUnreachable,
		IsConfigurationDoubtful: func() bool {
			return settings.RevokeStrict && time.Since(e.watcher.ConfirmedAt()) > settings.RevokeDeadline
		},
		ConfirmConfiguration: func(ctx context.Context) bool {
			maxAge := settings.ConfigurationDeadline
			return e.watcher.IsConfirmed(maxAge) || !e.isStoreUnreachable() && e.watcher.ConfirmConfiguration(ctx, maxAge)
		},
		Stop:     e.stop,
		Instance: settings.Instance, CountInstances: e.discoverer.Count,
		DataCentre: settings.DataCentre, Log: e.log, ServedShare: settings.Log.ServedShare, Metrics: metrics,
		MaxBufferedBytes:  memoryBytes(settings) / bufferedMemoryDivisor,
		MaxSmallBodyBytes: memoryBytes(settings) / smallBodyMemoryDivisor,
		MaxLargeBodyBytes: memoryBytes(settings) / largeBodyMemoryDivisor,
		Policy: relayer.Policy{
			Admission: admitter.Policy{
				SoftLimit: settings.Admission.NewPrograms, HardLimit: settings.Admission.NoPrograms,
				MinRetryAfter: settings.Admission.ReturnLeast, MaxRetryAfter: settings.Admission.ReturnMost,
			},
			Margin: settings.Placement.Margin, Soonest: soonestPolicies[settings.Placement.Policy],
			ByNeed: settings.Admission.Policy == configurer.AdmissionNeed,
		},
	})
	handlers := map[string]messenger.Handler{}
	if quotas != nil {
		e.relayer.Quotas, e.runQuotas, handlers = quotas, quotas.Run, quotas.Handlers()
	}
	for _, group := range []map[string]messenger.Handler{e.bookkeeper.Handlers(e.registry), e.rerouter.Handlers(), tableCopies.Handlers(), permits.Handlers(), streams.Handlers(), e.quarantine.Handlers()} {
		for name, handler := range group {
			handlers[name] = handler
		}
	}
	var err error
	e.peerServer, err = messenger.NewServer(handlers, messenger.WithLogger(e.log), messenger.WithStreams(e.tunneler.Streams()))
	return e, err
}

// StoreMemory returns the memory for the responses of the store that are being read.
func StoreMemory(settings *configurer.EntrySettings) int64 {
	return memoryBytes(settings) / storeMemoryDivisor
}

// memoryBytes returns the memory limit of the process.
func memoryBytes(settings *configurer.EntrySettings) int64 {
	return int64(settings.MemoryMB * (1 << 20))
}

func newLogger(settings configurer.EntryLog, out io.Writer) *logger.Logger {
	levels := map[string]log.Level{"Debug": log.DebugLevel, "Info": log.InfoLevel, "Warn": log.WarnLevel, "Error": log.ErrorLevel}
	options := []logger.Option{logger.WithLevel(levels[settings.Level]), logger.WithMilliseconds()}
	if settings.Format == configurer.LogJSON {
		options = append(options, logger.WithJSON())
	}
	return logger.New(out, options...)
}

func (e *Entry) isStoreUnavailable() bool {
	path, lastAnswer := e.rerouter.Path()
	return path == rerouter.Lost && time.Since(lastAnswer) > maxStoreOutage
}

// longestRetention returns the longest retention of the routes in force.
func (e *Entry) longestRetention() time.Duration {
	if table := e.watcher.Table(); table != nil {
		return max(table.LongestRetention(), pruner.DefaultRetention)
	}
	return pruner.DefaultRetention
}

// isReady reports whether the load balancer may send new connections to the
// instance.
func (e *Entry) isReady() bool {
	ready := !e.isLeaving.Load() && e.watcher.IsComplete() && e.hasQuarantines.Load() && !e.isStoreUnavailable()
	if e.wasReady.Swap(ready) != ready {
		path, lastAnswer := e.rerouter.Path()
		e.log.Log(eventReadinessChanged, "Ready", ready, "Leaving", e.isLeaving.Load(), "Store", path, "StoreAnswered", time.Since(lastAnswer))
	}
	return ready
}

// Run runs the instance until ctx ends and then stops it within the grace
// period. Each value on reload calls reloadSettings.
func (e *Entry) Run(ctx context.Context, reload <-chan struct{}, reloadSettings func() error) error {
	runtime.GOMAXPROCS(int(math.Ceil(e.settings.Cores)))
	debug.SetMemoryLimit(memoryBytes(e.settings) * memoryLimitPercent / 100)
	// The log outlives the other components. A reader of it that takes nothing does not hold up the end.
	logging, endLog := context.WithCancel(context.WithoutCancel(ctx))
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		e.logOutput.Run(logging)
	}()
	defer func() {
		endLog()
		waitFor(logged, maxFlushTime)
	}()
	// The components outlive ctx, because requests are served during shutdown.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	start := func(run func(context.Context)) {
		running.Go(func() {
			defer e.reportPanic()
			run(work)
		})
	}

	listeners, err := e.listen(ctx,
		listenerConfig{address: e.settings.CallerListen, budget: e.connections.callers, cost: accepter.HeadCost, receiveBuffer: callerReceiveBuffer},
		listenerConfig{address: e.settings.ReadyListen, budget: e.connections.status, cost: accepter.HeadCost, receiveBuffer: statusReceiveBuffer},
		listenerConfig{address: e.settings.PeerListen, budget: e.connections.peers, cost: accepter.MessageCost, receiveBuffer: peerReceiveBuffer},
	)
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	connections := closer.New()
	callers := &http.Server{
		Handler: connections.Handler(e.relayer), ConnContext: connections.ConnContext, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: func(conn net.Conn, state http.ConnState) {
			connections.ConnState(conn, state)
			accepter.ConnState(conn, state)
		},
		BaseContext: func(net.Listener) context.Context { return e.stop.Context() },
		ErrorLog:    stdlog.New(errorLogWriter{e.log}, "", 0),
	}
	ready := newStatusServer(http.HandlerFunc(e.serveReady))
	failed := make(chan error, 3)
	serve := func(run func() error) {
		start(func(context.Context) {
			if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) && work.Err() == nil {
				failed <- err
			}
		})
	}
	serve(func() error { return callers.Serve(connections.Listener(listeners[0])) })
	serve(func() error { return ready.Serve(listeners[1]) })
	serve(func() error { return e.peerServer.Serve(work, listeners[2]) })
	for _, run := range []func(context.Context){e.serveMetrics, e.extender.Run, e.rerouter.Run, e.batcher.Run, e.pruner.Run, e.bookkeeper.Run, e.watcher.Run, e.maintainMembership, e.learnQuarantines, e.quarantine.Run, e.learnVersions, e.runQuotas} {
		start(run)
	}
	e.log.Log(eventStarted, "DataCentre", e.settings.DataCentre, "Incarnation", e.discoverer.Self().Incarnation)

	err = e.wait(ctx, failed, reload, reloadSettings)
	e.shutdown(callers, listeners[0], connections)
	_ = ready.Close() // Its connections end with the process.
	e.log.Log(eventStopped, "Cause", err)
	return err
}

func (e *Entry) wait(ctx context.Context, failed <-chan error, reload <-chan struct{}, reloadSettings func() error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return eris.Wrap(err, "serve a listener")
		case <-reload:
			e.log.Log(eventSettingsReloaded, "Fault", reloadSettings())
		}
	}
}

// shutdown waits until the load balancer has removed the instance, completes the
// requests that have been read, and closes the connections. What is still passed on to
// endpoints meanwhile is decided by package stopper.
func (e *Entry) shutdown(callers *http.Server, listener net.Listener, connections *closer.Closer) {
	start := time.Now()
	reserve := max(e.settings.GracePeriod/closeReserveDivisor, minCloseReserve)
	e.stop.Begin(e.settings.GracePeriod - 2*reserve)
	e.isLeaving.Store(true)
	e.log.Log(eventStopping)
	var withdrawal sync.WaitGroup
	withdrawal.Go(e.withdraw)
	defer withdrawal.Wait()
	// Idle connections are closed, and each response closes its connection.
	for drainEnd := start.Add(min(drainDelay, e.settings.GracePeriod/drainDelayDivisor)); time.Now().Before(drainEnd); {
		connections.CloseIdle(false)
		time.Sleep(closeInterval)
	}
	_ = listener.Close() // Callers' connections end with the process in any case.
	// The endpoints of the tunnels that are open have the rest of the grace period for their answers.
	e.tunneler.StopServing()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(e.settings.GracePeriod-reserve))
	defer cancel()
	if left := connections.Drain(ctx); left > 0 {
		e.log.Log(eventRequestsCut, "Connections", left)
	}
	_ = callers.Close()
	e.tunneler.Wait(ctx)
	e.sender.Close()
	e.peerClient.Close()
}

// withdraw removes the instance from the membership and hands over its ledgers.
func (e *Entry) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := e.discoverer.Deregister(ctx); err != nil {
		e.log.Log(eventHeartbeatFailed, "Cause", err)
	}
	if err := e.budgets.HandOver(ctx); err != nil {
		e.log.Log(eventHandoverFailed, "Cause", err)
	}
}

// isStoreUnreachable reports whether there is no path to the store.
func (e *Entry) isStoreUnreachable() bool {
	path, _ := e.rerouter.Path()
	return path == rerouter.Lost
}

// maintainMembership sends heartbeats, refreshes the list of members and adapts the
// write rate to the number of bookkeepers.
func (e *Entry) maintainMembership(ctx context.Context) {
	const refreshInterval = time.Second
	joined, err := e.discoverer.Join(ctx)
	e.logMembers(joined, nil)
	for {
		if err != nil && ctx.Err() == nil {
			e.log.Log(eventHeartbeatFailed, "Cause", err)
		}
		e.batcher.SetRate(bookkeeperWriteShare * e.settings.StoreWrites / float64(e.discoverer.BookkeeperCount()))
		timer := time.NewTimer(refreshInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		err = nil
		if e.discoverer.IsHeartbeatDue() && !e.isLeaving.Load() {
			err = e.discoverer.WriteHeartbeat(ctx)
		}
		joined, left, readErr := e.discoverer.Refresh(ctx)
		if readErr == nil {
			e.logMembers(joined, left)
		}
		// Issuers of quotas keep members until their rows are deleted.
		if readErr == nil && e.settings.QuotaWindow > 0 && !e.isLeaving.Load() {
			e.deleteLapsed(ctx, refreshInterval)
		}
	}
}

// deleteLapsed deletes the rows of lapsed members. The limit keeps a slow store from delaying the
// next heartbeat.
func (e *Entry) deleteLapsed(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := e.discoverer.DeleteLapsed(ctx); err != nil {
		e.log.Log(eventRowNotDeleted, "Cause", err)
	}
}

func (e *Entry) logMembers(joined, left []string) {
	if len(joined)+len(left) > 0 {
		e.log.Log(eventMembersChanged, "Came", joined, "Went", left, "Living", e.discoverer.Count())
	}
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
