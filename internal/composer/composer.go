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
	// memoryShare is the part of the memory limit, in percent, that the heap
	// may fill before the collector works harder.
	memoryShare = 60
	// leaveAfter is how long the instance takes new connections after it
	// reports that it is not ready: the balancer asks once a second and takes
	// an instance out after two misses.
	leaveAfter = 2500 * time.Millisecond
	// closeInterval is the time between two closings of unused connections.
	closeInterval = 100 * time.Millisecond
	// leaveShare is the part of the grace period that leaveAfter takes at most,
	// and endShare the part that is left for the last steps, both as divisors.
	leaveShare = 3
	endShare   = 10
	// lostAfter is how long the store may be out of reach before the instance
	// reports that it is not ready.
	lostAfter = 1500 * time.Millisecond
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout closes callers' unused connections. It is above the limit
	// that operators set for callers, who reuse connections up to four fifths
	// of it.
	idleTimeout = 40 * time.Second
	// headerBytes is above the limit that operators set for callers.
	headerBytes = 64 << 10
	// storeShare is the part of the store's rate that bookkeepers use; the rest
	// is for heartbeats and for instances that stand in for a bookkeeper.
	storeShare = 0.4
	// leftFactor is how many times as long as by their writers turns' rows are
	// kept by others, who know less.
	leftFactor = 2
	// programLife is how long a program may be without a new grant before its
	// budget is forgotten.
	programLife = 24 * time.Hour
	// retireTimeout bounds the removal of the instance's own row and the
	// handover of its books.
	retireTimeout = 1500 * time.Millisecond
)

// Platform is how the platform speaks.
type Platform struct {
	Rows    storer.Rows
	Dialect relayer.Dialect
	Source  watcher.Source
}

// Entry is one instance.
type Entry struct {
	settings *configurer.Entry
	log      *logger.Logger
	lines    *logger.Bounded
	meter    *meter.Meter

	client     *messenger.Client
	courier    *sender.Sender
	rerouter   *rerouter.Rerouter
	discoverer *discoverer.Discoverer
	registry   *registrar.Registry
	watcher    *watcher.Watcher
	batcher    *batcher.Batcher
	pruner     *pruner.Pruner
	books      *bookkeeper.Bookkeeper
	desk       *bookkeeper.Client
	relayer    *relayer.Relayer
	peers      *messenger.Server
	isLeaving  atomic.Bool
	wasReady   atomic.Bool
}

// New returns an Entry.
func New(settings *configurer.Entry, platform Platform, out io.Writer) (*Entry, error) {
	e := &Entry{settings: settings, lines: logger.NewBounded(out), meter: meter.New(), registry: registrar.New()}
	e.log = newLogger(settings.Log, e.lines).With("Instance", settings.Instance)
	e.client, e.courier = messenger.NewClient(), sender.New()
	counts := newCounts(e.meter, e.courier)
	e.rerouter = rerouter.New(platform.Rows, e.client, rerouter.WithCallCounter(counts.store),
		rerouter.WithPathObserver(func(from, to rerouter.Path, cause error) {
			e.log.Log(eventStoreWay, "From", from, "To", to, "Cause", cause)
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
	copies := bootstrapper.New(e.discoverer, e.client, e.log)
	platform.Source.EndpointRemoved = func(gone registrar.Endpoint) { e.courier.CloseIdle(gone.Address) }
	e.watcher = watcher.New(platform.Source, e.rerouter, e.registry,
		watcher.WithLogger(e.log), watcher.WithBootstrapper(copies))
	var batcherOptions []batcher.Option
	if settings.OnePartition {
		batcherOptions = append(batcherOptions, batcher.WithSinglePartition())
	}
	e.batcher = batcher.New(e.rerouter, batcherOptions...)
	e.pruner = pruner.New(e.rerouter, e.log,
		pruner.Table{Name: transcriber.Table, MaxAge: func() time.Duration { return leftFactor * pruner.RowRetention(e.longestRetention()) }},
		pruner.Table{Name: bookkeeper.Table, MaxAge: func() time.Duration { return programLife }})
	e.books = bookkeeper.New(self.Incarnation, e.batcher, bookkeeper.NewReclaimer(e.discoverer, e.client),
		bookkeeper.WithLogger(e.log), bookkeeper.WithPruner(e.pruner.Schedule))
	e.desk = bookkeeper.NewClient(e.books, e.discoverer, e.client, e.registry)
	e.relayer = relayer.New(relayer.Config{
		Tables: e.watcher, Endpoints: e.registry, Sender: e.courier, Dialect: platform.Dialect,
		Budgets:            e.desk,
		Transcripts:        transcriber.New(e.rerouter),
		IsStoreUnreachable: func() bool { way, _ := e.rerouter.Path(); return way == rerouter.Lost },
		DataCentre:         settings.DataCentre, Log: e.log, ServedShare: settings.Log.ServedShare, Metrics: counts,
		Policy: relayer.Policy{
			Admission: admitter.Policy{
				SoftLimit: settings.Admission.NewPrograms, HardLimit: settings.Admission.NoPrograms,
				MinRetryAfter: settings.Admission.ReturnLeast, MaxRetryAfter: settings.Admission.ReturnMost,
			},
			Margin: settings.Placement.Margin,
		},
	})
	handlers := map[string]messenger.Handler{}
	for _, more := range []map[string]messenger.Handler{e.books.Handlers(e.registry), e.rerouter.Handlers(), copies.Handlers()} {
		for name, handler := range more {
			handlers[name] = handler
		}
	}
	var err error
	e.peers, err = messenger.NewServer(handlers)
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

func (e *Entry) isStoreLost() bool {
	way, answered := e.rerouter.Path()
	return way == rerouter.Lost && time.Since(answered) > lostAfter
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
	ready := !e.isLeaving.Load() && e.watcher.IsComplete() && !e.isStoreLost()
	if e.wasReady.Swap(ready) != ready {
		way, answered := e.rerouter.Path()
		e.log.Log(eventReady, "Ready", ready, "Leaving", e.isLeaving.Load(), "Store", way, "StoreAnswered", time.Since(answered))
	}
	return ready
}

// Run runs the instance until ctx ends and then stops it within the grace
// period. A value on reload makes it read its settings anew.
func (e *Entry) Run(ctx context.Context, reload <-chan struct{}, reread func() error) error {
	runtime.GOMAXPROCS(e.settings.Cores)
	debug.SetMemoryLimit(int64(e.settings.MemoryMB) << 20 * memoryShare / 100)
	// The parts outlive ctx, as requests go on while the instance stops.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()

	listeners, err := listen(e.settings.CallerListen, e.settings.ReadyListen, e.settings.PeerListen, e.settings.AdminListen)
	if err != nil {
		return err
	}
	conns := closer.New()
	callers := &http.Server{
		Handler: conns.Handler(e.relayer), ConnState: conns.ConnState, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: stdlog.New(complaints{e.log}, "", 0),
	}
	ready := &http.Server{Handler: http.HandlerFunc(e.serveReady), ReadHeaderTimeout: headerTimeout}
	admin := &http.Server{Handler: e.meter.Handler(), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 4)
	serve := func(run func() error) {
		parts.Go(func() {
			if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) && work.Err() == nil {
				failed <- err
			}
		})
	}
	serve(func() error { return callers.Serve(conns.Listener(listeners[0])) })
	serve(func() error { return ready.Serve(listeners[1]) })
	serve(func() error { return e.peers.Serve(work, listeners[2]) })
	serve(func() error { return admin.Serve(listeners[3]) })
	for _, run := range []func(context.Context){e.lines.Run, e.rerouter.Run, e.batcher.Run, e.pruner.Run, e.books.Run, e.watcher.Run, e.enlist} {
		parts.Go(func() { run(work) })
	}
	e.log.Log(eventStarted, "DataCentre", e.settings.DataCentre, "Incarnation", e.discoverer.Self().Incarnation)

	err = e.await(ctx, failed, reload, reread)
	e.stop(callers, conns)
	// What these serve ends with the process.
	_ = ready.Close()
	_ = admin.Close()
	e.log.Log(eventStopped)
	return err
}

func (e *Entry) await(ctx context.Context, failed <-chan error, reload <-chan struct{}, reread func() error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return eris.Wrap(err, "a listener failed")
		case <-reload:
			e.log.Log(eventReloaded, "Fault", reread())
		}
	}
}

// stop lets the balancer take the instance out, answers what was read, and ends.
func (e *Entry) stop(callers *http.Server, conns *closer.Closer) {
	begun := time.Now()
	e.isLeaving.Store(true)
	e.log.Log(eventStopping)
	go e.retire()
	// Unused connections are closed, and each answer closes its connection.
	for leave := begun.Add(min(leaveAfter, e.settings.GracePeriod/leaveShare)); time.Now().Before(leave); {
		conns.CloseIdle(false)
		time.Sleep(closeInterval)
	}
	conns.CloseIdle(true)
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(e.settings.GracePeriod-e.settings.GracePeriod/endShare))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		e.log.Log(eventCut, "Cause", err)
		_ = callers.Close() // What is still open is cut by the end of the process anyway.
	}
	e.courier.Close()
	e.client.Close()
}

// retire leaves the membership and hands the books over.
func (e *Entry) retire() {
	ctx, cancel := context.WithTimeout(context.Background(), retireTimeout)
	defer cancel()
	if err := e.discoverer.Deregister(ctx); err != nil {
		e.log.Log(eventNotAnnounced, "Cause", err)
	}
	if err := e.desk.HandOver(ctx); err != nil {
		e.log.Log(eventNotHandedOver, "Cause", err)
	}
}

// enlist keeps the membership.
func (e *Entry) enlist(ctx context.Context) {
	const refreshInterval = time.Second
	for {
		if e.discoverer.IsHeartbeatDue() && !e.isLeaving.Load() {
			if err := e.discoverer.WriteHeartbeat(ctx); err != nil && ctx.Err() == nil {
				e.log.Log(eventNotAnnounced, "Cause", err)
			}
		}
		if came, went, err := e.discoverer.Refresh(ctx); err == nil && len(came)+len(went) > 0 {
			e.log.Log(eventMembers, "Came", came, "Went", went, "Living", e.discoverer.Count())
		}
		e.batcher.SetRate(storeShare * e.settings.StoreWrites / float64(e.discoverer.BookkeeperCount()))
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

// complaints turns the lines of an http.Server into log events.
type complaints struct{ log *logger.Logger }

// Write implements io.Writer.
func (c complaints) Write(line []byte) (int, error) {
	c.log.Log(eventListener, "Text", string(line))
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
