// Package composer owns the making of one instance for the users' platform out
// of its parts, and the order in which they start and stop. It does not own
// what the parts do, nor how the platform speaks.
package composer

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/admitter"
	"github.com/wigeonstand/wigeonstand/internal/batcher"
	"github.com/wigeonstand/wigeonstand/internal/bookkeeper"
	"github.com/wigeonstand/wigeonstand/internal/bootstrapper"
	"github.com/wigeonstand/wigeonstand/internal/closer"
	"github.com/wigeonstand/wigeonstand/internal/configurer"
	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/internal/meter"
	"github.com/wigeonstand/wigeonstand/internal/pruner"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/relayer"
	"github.com/wigeonstand/wigeonstand/internal/rerouter"
	"github.com/wigeonstand/wigeonstand/internal/sender"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/internal/transcriber"
	"github.com/wigeonstand/wigeonstand/internal/watcher"
)

const (
	// memoryLimitPercent is the part of the memory limit, in percent, that the heap
	// may fill before the collector works harder.
	memoryLimitPercent = 60
	// drainDelay is how long the instance takes new connections after it
	// reports that it is not ready: the balancer asks once a second and takes
	// an instance out after two misses.
	drainDelay = 2500 * time.Millisecond
	// closeInterval is the time between two closings of unused connections.
	closeInterval = 100 * time.Millisecond
	// drainDelayDivisor is the part of the grace period that leaveAfter takes at most,
	// and endShare the part that is left for the last steps, both as divisors.
	drainDelayDivisor      = 3
	shutdownReserveDivisor = 10
	// maxStoreOutage is how long the store may be out of reach before the instance
	// reports that it is not ready.
	maxStoreOutage = 1500 * time.Millisecond
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout closes callers' unused connections. It is above the limit
	// that operators set for callers, who reuse connections up to four fifths
	// of it.
	idleTimeout = 40 * time.Second
	// maxHeaderBytes is above the limit that operators set for callers.
	maxHeaderBytes = 64 << 10
	// bookkeeperWriteShare is the part of the store's rate that bookkeepers use; the rest
	// is for heartbeats and for instances that stand in for a bookkeeper.
	bookkeeperWriteShare = 0.4
	// orphanRetentionFactor is how many times as long as by their writers turns' rows are
	// kept by others, who know less.
	orphanRetentionFactor = 2
	// budgetRetention is how long a program may be without a new grant before its
	// budget is forgotten.
	budgetRetention = 24 * time.Hour
	// withdrawTimeout bounds the removal of the instance's own row and the
	// handover of its books.
	withdrawTimeout = 1500 * time.Millisecond
)

// Platform is how the platform speaks.
type Platform struct {
	Rows    storer.Rows
	Dialect relayer.Dialect
	Source  watcher.Source
}

// Entry is one instance.
type Entry struct {
	settings  *configurer.Entry
	log       *logger.Logger
	logOutput *logger.Bounded
	meter     *meter.Meter

	peerClient *messenger.Client
	sender     *sender.Sender
	rerouter   *rerouter.Rerouter
	discoverer *discoverer.Discoverer
	registry   *registrar.Registry
	watcher    *watcher.Watcher
	batcher    *batcher.Batcher
	pruner     *pruner.Pruner
	bookkeeper *bookkeeper.Bookkeeper
	budgets    *bookkeeper.Client
	relayer    *relayer.Relayer
	peerServer *messenger.Server
	isLeaving  atomic.Bool
	wasReady   atomic.Bool
}

// New returns an Entry.
func New(settings *configurer.Entry, platform Platform, out io.Writer) (*Entry, error) {
	e := &Entry{settings: settings, logOutput: logger.NewBounded(out), meter: meter.New(), registry: registrar.New()}
	e.log = newLogger(settings.Log, e.logOutput).With("Instance", settings.Instance)
	e.peerClient, e.sender = messenger.NewClient(), sender.New()
	metrics := newMetrics(e.meter, e.sender)
	e.rerouter = rerouter.New(platform.Rows, e.peerClient, rerouter.WithCallCounter(metrics.countStoreCall),
		rerouter.WithPathObserver(func(from, to rerouter.Path, cause error) {
			e.log.Log(eventStorePathChanged, "From", from, "To", to, "Cause", cause)
			if from == rerouter.Lost {
				e.batcher.Resume()
			}
		}))
	self := discoverer.Member{
		Instance: settings.Instance, Incarnation: settings.Instance + "/" + ulid.Make().String(),
		Address: settings.PeerAddress, DataCentre: settings.DataCentre,
		Cores: settings.CoreShare * float64(settings.Cores),
	}
	e.discoverer = discoverer.New(self, e.rerouter, discoverer.WithSeeds(settings.Seeds))
	e.rerouter.SetRelays(e.discoverer)
	copies := bootstrapper.New(e.discoverer, e.peerClient, e.log)
	platform.Source.EndpointRemoved = func(gone registrar.Endpoint) { e.sender.CloseIdle(gone.Address) }
	e.watcher = watcher.New(platform.Source, e.rerouter, e.registry,
		watcher.WithLogger(e.log), watcher.WithBootstrapper(copies))
	var batcherOptions []batcher.Option
	if settings.OnePartition {
		batcherOptions = append(batcherOptions, batcher.WithSinglePartition())
	}
	e.batcher = batcher.New(e.rerouter, batcherOptions...)
	e.pruner = pruner.New(e.rerouter, e.log,
		pruner.Table{Name: transcriber.Table, MaxAge: func() time.Duration { return orphanRetentionFactor * pruner.RowRetention(e.longestRetention()) }},
		pruner.Table{Name: bookkeeper.Table, MaxAge: func() time.Duration { return budgetRetention }})
	e.bookkeeper = bookkeeper.New(self.Incarnation, e.batcher, bookkeeper.NewReclaimer(e.discoverer, e.peerClient),
		bookkeeper.WithLogger(e.log), bookkeeper.WithPruner(e.pruner.Schedule))
	e.budgets = bookkeeper.NewClient(e.bookkeeper, e.discoverer, e.peerClient, e.registry)
	e.relayer = relayer.New(relayer.Config{
		Tables: e.watcher, Endpoints: e.registry, Sender: e.sender, Dialect: platform.Dialect,
		Budgets:            e.budgets,
		Transcripts:        transcriber.New(e.rerouter),
		IsStoreUnreachable: func() bool { way, _ := e.rerouter.Path(); return way == rerouter.Lost },
		DataCentre:         settings.DataCentre, Log: e.log, ServedShare: settings.Log.ServedShare, Metrics: metrics,
		Policy: relayer.Policy{
			Admission: admitter.Policy{
				SoftLimit: settings.Admission.NewPrograms, HardLimit: settings.Admission.NoPrograms,
				MinRetryAfter: settings.Admission.ReturnLeast, MaxRetryAfter: settings.Admission.ReturnMost,
			},
			Margin: settings.Placement.Margin,
		},
	})
	handlers := map[string]messenger.Handler{}
	for _, group := range []map[string]messenger.Handler{e.bookkeeper.Handlers(e.registry), e.rerouter.Handlers(), copies.Handlers()} {
		for name, handler := range group {
			handlers[name] = handler
		}
	}
	var err error
	e.peerServer, err = messenger.NewServer(handlers)
	return e, err
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
	way, answered := e.rerouter.Path()
	return way == rerouter.Lost && time.Since(answered) > maxStoreOutage
}

// longestRetention returns that of the routes in force.
func (e *Entry) longestRetention() time.Duration {
	if table := e.watcher.Table(); table != nil {
		return max(table.LongestRetention(), pruner.DefaultRetention)
	}
	return pruner.DefaultRetention
}

// isReady says whether the balancer may send new connections here.
func (e *Entry) isReady() bool {
	ready := !e.isLeaving.Load() && e.watcher.IsComplete() && !e.isStoreUnavailable()
	if e.wasReady.Swap(ready) != ready {
		way, answered := e.rerouter.Path()
		e.log.Log(eventReadinessChanged, "Ready", ready, "Leaving", e.isLeaving.Load(), "Store", way, "StoreAnswered", time.Since(answered))
	}
	return ready
}

// Run runs the instance until ctx ends and then stops it within the grace
// period. A value on reload makes it read its settings anew.
func (e *Entry) Run(ctx context.Context, reload <-chan struct{}, reloadSettings func() error) error {
	runtime.GOMAXPROCS(e.settings.Cores)
	debug.SetMemoryLimit(int64(e.settings.MemoryMB) << 20 * memoryLimitPercent / 100)
	// The parts outlive ctx, as requests go on while the instance stops.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()

	listeners, err := listen(e.settings.CallerListen, e.settings.ReadyListen, e.settings.PeerListen, e.settings.AdminListen)
	if err != nil {
		return err
	}
	connections := closer.New()
	callers := &http.Server{
		Handler: connections.Handler(e.relayer), ConnState: connections.ConnState, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: stdlog.New(errorLogWriter{e.log}, "", 0),
	}
	ready := &http.Server{Handler: http.HandlerFunc(e.serveReady), ReadHeaderTimeout: headerTimeout}
	admin := &http.Server{Handler: e.meter.Handler(), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 4)
	serve := func(run func() error) {
		running.Go(func() {
			if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) && work.Err() == nil {
				failed <- err
			}
		})
	}
	serve(func() error { return callers.Serve(connections.Listener(listeners[0])) })
	serve(func() error { return ready.Serve(listeners[1]) })
	serve(func() error { return e.peerServer.Serve(work, listeners[2]) })
	serve(func() error { return admin.Serve(listeners[3]) })
	for _, run := range []func(context.Context){e.logOutput.Run, e.rerouter.Run, e.batcher.Run, e.pruner.Run, e.bookkeeper.Run, e.watcher.Run, e.maintainMembership} {
		running.Go(func() { run(work) })
	}
	e.log.Log(eventStarted, "DataCentre", e.settings.DataCentre, "Incarnation", e.discoverer.Self().Incarnation)

	err = e.wait(ctx, failed, reload, reloadSettings)
	e.shutdown(callers, connections)
	// What these serve ends with the process.
	_ = ready.Close()
	_ = admin.Close()
	e.log.Log(eventStopped)
	return err
}

func (e *Entry) wait(ctx context.Context, failed <-chan error, reload <-chan struct{}, reloadSettings func() error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return eris.Wrap(err, "a listener failed")
		case <-reload:
			e.log.Log(eventSettingsReloaded, "Fault", reloadSettings())
		}
	}
}

// shutdown lets the balancer take the instance out, answers what was read, and ends.
func (e *Entry) shutdown(callers *http.Server, connections *closer.Closer) {
	start := time.Now()
	e.isLeaving.Store(true)
	e.log.Log(eventStopping)
	go e.withdraw()
	// Unused connections are closed, and each answer closes its connection.
	for leave := start.Add(min(drainDelay, e.settings.GracePeriod/drainDelayDivisor)); time.Now().Before(leave); {
		connections.CloseIdle(false)
		time.Sleep(closeInterval)
	}
	connections.CloseIdle(true)
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(e.settings.GracePeriod-e.settings.GracePeriod/shutdownReserveDivisor))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		e.log.Log(eventRequestsCut, "Cause", err)
		_ = callers.Close() // What is still open is cut by the end of the process anyway.
	}
	e.sender.Close()
	e.peerClient.Close()
}

// withdraw leaves the membership and hands the books over.
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

// maintainMembership keeps the membership.
func (e *Entry) maintainMembership(ctx context.Context) {
	const refreshInterval = time.Second
	for {
		if e.discoverer.IsHeartbeatDue() && !e.isLeaving.Load() {
			if err := e.discoverer.WriteHeartbeat(ctx); err != nil && ctx.Err() == nil {
				e.log.Log(eventHeartbeatFailed, "Cause", err)
			}
		}
		if joined, left, err := e.discoverer.Refresh(ctx); err == nil && len(joined)+len(left) > 0 {
			e.log.Log(eventMembersChanged, "Came", joined, "Went", left, "Living", e.discoverer.Count())
		}
		e.batcher.SetRate(bookkeeperWriteShare * e.settings.StoreWrites / float64(e.discoverer.BookkeeperCount()))
		timer := time.NewTimer(refreshInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// errorLogWriter turns the lines of an http.Server into log events.
type errorLogWriter struct{ log *logger.Logger }

// Write implements io.Writer.
func (c errorLogWriter) Write(line []byte) (int, error) {
	c.log.Log(eventListenerError, "Text", string(line))
	return len(line), nil
}

func listen(addresses ...netip.AddrPort) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			for _, l := range listeners {
				_ = l.Close() // The error to report is the one before.
			}
			return nil, eris.Wrapf(err, "listen at %s", address)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}
