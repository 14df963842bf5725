// Package watcher watches the operators' configuration and the registrations of
// endpoints in the platform's store. It waits for changes in calls of bounded
// length, so that an unresponsive store is noticed, and never replaces a
// configuration by an older one.
package watcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/singleflight"

	"github.com/wigeonstand/wigeonstand/internal/bootstrapper"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/matcher"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/internal/tracker"
)

const (
	// changeWait bounds the time that a call waits for a change. A call without a
	// response by then shows that the store is unreachable.
	changeWait = time.Second
	// pollInterval is the time between two calls. It lets successive changes be
	// read together and limits the load on an unreachable store.
	pollInterval = 100 * time.Millisecond
	// retryInterval is the time between a failed call and the next one.
	retryInterval = 500 * time.Millisecond
	// lapseGrace is how long registrations that are missing after a store outage
	// are kept: they lapse during the outage, and endpoints renew them within
	// about two seconds of its end.
	lapseGrace = 2 * time.Second
	// outageThreshold is the time without a response after which registrations
	// may have lapsed.
	outageThreshold = 1500 * time.Millisecond
)

var (
	eventConfigurationApplied = logger.Define(5010, "ConfigurationInForce", log.InfoLevel,
		"a new configuration version is in force", "None.")
	eventConfigurationMalformed = logger.Define(5011, "ConfigurationMalformed", log.ErrorLevel,
		"the configuration cannot be decoded; the previous version stays in force", "Correct the configuration.")
	eventEndpointAdded = logger.Define(5012, "EndpointCame", log.InfoLevel,
		"an endpoint was registered", "None.")
	eventEndpointLeaving = logger.Define(5013, "EndpointDrains", log.InfoLevel,
		"an endpoint is draining and gets no new requests", "None, if this was planned.")
	eventEndpointRemoved = logger.Define(5014, "EndpointGone", log.InfoLevel,
		"an endpoint's registration was removed or has expired", "None, if this was planned.")
	eventRegistrationMalformed = logger.Define(5015, "RegistrationMalformed", log.WarnLevel,
		"an endpoint's registration cannot be decoded; the endpoint gets no requests", "Find and correct the writer of the registration.")
	eventPollFailed = logger.Define(5016, "PollFailed", log.WarnLevel,
		"reading changes from the store failed; the last known state stays in force", "Check the store if this persists.")
	eventRegistrationsKept = logger.Define(5017, "RegistrationsKept", log.WarnLevel,
		"the store was away, so that registrations may have lapsed; endpoints whose registrations are missing are kept for a grace period",
		"Check the store. If other instances reached it, see PollFailed for the reads that failed here.")
)

// Source describes the rows to watch and their encoding.
type Source struct {
	// ConfigurationKey is the row of the configuration.
	ConfigurationKey storer.RowKey
	// EndpointTable is the table with one row for each registered endpoint.
	EndpointTable  string
	DecodeTable    func(text []byte) (*matcher.Table, error)
	DecodeEndpoint func(id string, text []byte) (registrar.Endpoint, error)
	// EndpointRemoved, if set, is called for each endpoint that is no longer
	// registered.
	EndpointRemoved func(e registrar.Endpoint)
}

// Watcher provides the routing table and updates the registry of endpoints. Table
// and IsComplete are safe for concurrent use, also while Run runs.
type Watcher struct {
	source       Source
	rows         tracker.Reader
	bootstrapper Bootstrapper
	registry     *registrar.Registry
	log          *logger.Logger
	maxWait      time.Duration
	restored     func() <-chan struct{}
	wasAway      func(since time.Time) bool

	configuration *tracker.Tracker
	registrations *tracker.Tracker

	table atomic.Pointer[matcher.Table]
	// tableBytes is the size of the configuration in force.
	tableBytes atomic.Int64
	// versionInForce is the version of the store up to which changes of the configuration are in force.
	versionInForce atomic.Int64
	// confirmedAt is what ConfirmedAt returns; nil for zero.
	confirmedAt   atomic.Pointer[time.Time]
	confirmations singleflight.Group
	// isComplete is set once the endpoints have been read.
	isComplete atomic.Bool
	// tableRowVersion is the version of the last decoded row of the configuration.
	tableRowVersion int64
	endpoints       map[string]registration
	// endpointsVersion is the version of the store that the registry reflects; zero before
	// the endpoints are read. Confirming is held while it is compared with the store.
	endpointsVersion atomic.Int64
	confirming       sync.Mutex
	// lastRead is the time of the last successful read of the endpoints; hasFailed
	// is set if a later read failed.
	lastRead  time.Time
	hasFailed bool
	// graceUntil is the time until which missing registrations are kept; zero for
	// none.
	graceUntil time.Time
}

// registration is the endpoint decoded from a row, or the error of decoding it.
type registration struct {
	version  int64
	endpoint registrar.Endpoint
	err      error
}

// Option sets one property of a Watcher.
type Option func(*Watcher)

// Bootstrapper exchanges copies of tables with other instances.
type Bootstrapper interface {
	Register(table bootstrapper.Table, snapshot func() (storer.Page, bool))
	Fetch(ctx context.Context, table bootstrapper.Table) (storer.Page, error)
}

// WithBootstrapper sets the source of the first copies for when the store cannot
// be read, which also serves this instance's copies to others.
func WithBootstrapper(b Bootstrapper) Option { return func(w *Watcher) { w.bootstrapper = b } }

// WithRestored sets a function that returns a channel which is closed when the store, unreachable
// before, can be read again. Polls that failed are then repeated at once.
func WithRestored(restored func() <-chan struct{}) Option {
	return func(w *Watcher) { w.restored = restored }
}

// WithOutages sets a function that reports whether the store was unreachable on all paths at some
// time since the given one. A read may wait for the end of an outage and succeed.
func WithOutages(wasAway func(since time.Time) bool) Option {
	return func(w *Watcher) { w.wasAway = wasAway }
}

// WithLogger sets the logger of events.
func WithLogger(l *logger.Logger) Option { return func(w *Watcher) { w.log = l } }

// New returns a Watcher that updates the registry.
func New(source Source, rows tracker.Reader, registry *registrar.Registry, options ...Option) *Watcher {
	w := &Watcher{
		source: source, rows: rows, registry: registry, log: logger.Discard(),
		endpoints: map[string]registration{}, maxWait: changeWait, restored: func() <-chan struct{} { return nil },
		wasAway: func(time.Time) bool { return false },
	}
	for _, option := range options {
		option(w)
	}
	w.configuration = w.track(rows, bootstrapper.Table{Name: source.ConfigurationKey.Table, Partition: source.ConfigurationKey.Partition})
	w.registrations = w.track(rows, bootstrapper.Table{Name: source.EndpointTable})
	return w
}

func (w *Watcher) track(rows tracker.Reader, table bootstrapper.Table) *tracker.Tracker {
	if w.bootstrapper == nil {
		return tracker.New(rows, table.Name, table.Partition)
	}
	t := tracker.New(rows, table.Name, table.Partition, tracker.WithFallback(func(ctx context.Context) (storer.Page, error) {
		return w.bootstrapper.Fetch(ctx, table)
	}))
	w.bootstrapper.Register(table, t.Snapshot)
	return t
}

// Table returns the routing table in force, or nil before the first read.
func (w *Watcher) Table() *matcher.Table { return w.table.Load() }

// ConfirmEndpoints asks the store for changes of the registrations, if they were not read after
// the time. Without any, the registry has them as of a time after it.
func (w *Watcher) ConfirmEndpoints(ctx context.Context, since time.Time) {
	w.confirming.Lock()
	defer w.confirming.Unlock()
	version := w.endpointsVersion.Load()
	if version == 0 || w.registry.IsReadSince(since) {
		return
	}
	start := time.Now()
	page, err := w.rows.Changes(ctx, w.source.EndpointTable, version, 0)
	if err != nil {
		return // The path to the store is logged where it changes.
	}
	if len(page.Records) == 0 && page.Version >= version {
		w.registry.RecordRead(start, false)
	}
}

// ConfigurationBytes returns the size of the configuration in force, as stored.
func (w *Watcher) ConfigurationBytes() int64 { return w.tableBytes.Load() }

// IsComplete reports whether both the configuration and the endpoints have been
// read.
func (w *Watcher) IsComplete() bool { return w.isComplete.Load() && w.Table() != nil }

// Run watches the configuration and the endpoints until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { w.pollLoop(ctx, "Configuration", w.configuration, w.pollConfiguration) })
	tasks.Go(func() { w.pollLoop(ctx, "Endpoints", w.registrations, w.pollEndpoints) })
}

// pollLoop calls poll until ctx ends. After a failure the next call does not wait
// for changes, so that it detects the end of an outage without delay.
func (w *Watcher) pollLoop(ctx context.Context, what string, copied *tracker.Tracker, poll func(context.Context, time.Duration) error) {
	isFailing := false
	for {
		wait, interval := w.maxWait, pollInterval
		if isFailing {
			wait = 0
		}
		err := poll(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if interval = retryInterval; !isFailing {
				w.log.Log(eventPollFailed, "What", what, "ReadAgo", age(copied.ReadAt()), "Cause", err)
			}
			if !w.IsComplete() {
				interval = pollInterval
			}
		}
		isFailing = err != nil
		// The jitter spreads the calls of instances that start together.
		timer := time.NewTimer(interval*9/10 + rand.N(interval/5))
		var restored <-chan struct{}
		if isFailing {
			restored = w.restored()
		}
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-restored:
			timer.Stop()
		}
	}
}

// age returns the time since at, or zero if at is zero.
func age(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return time.Since(at)
}

// WithMaxWait bounds the time that a read waits for a change, and thereby the age of
// ConfirmedAt while the store responds.
func WithMaxWait(d time.Duration) Option { return func(w *Watcher) { w.maxWait = min(d, changeWait) } }

// Poll reads the configuration and the endpoints once, without waiting for
// changes. It must not be called while Run runs.
func (w *Watcher) Poll(ctx context.Context) error {
	if err := w.pollConfiguration(ctx, 0); err != nil {
		return err
	}
	return w.pollEndpoints(ctx, 0)
}

func (w *Watcher) pollConfiguration(ctx context.Context, wait time.Duration) error {
	lastRead := w.configuration.ReadAt()
	if _, err := w.configuration.Refresh(ctx, wait); err != nil {
		return err
	}
	// It is the newest one only once it is in force.
	defer func() {
		w.versionInForce.Store(w.configuration.Version())
		w.recordConfirmed(w.configuration.ReadAt())
	}()
	record, found := w.configuration.Get(w.source.ConfigurationKey.Name)
	if !found || record.Version == w.tableRowVersion {
		return nil
	}
	w.tableRowVersion = record.Version
	table, err := w.source.DecodeTable(record.Value)
	if err != nil {
		w.log.Log(eventConfigurationMalformed, "Row", record.Version, "Cause", err)
		return nil
	}
	if current := w.Table(); current != nil && table.Version <= current.Version {
		return nil
	}
	w.table.Store(table)
	w.tableBytes.Store(int64(len(record.Value)))
	// The version was written after the read before this one.
	w.log.Log(eventConfigurationApplied, "Version", table.Version, "Row", record.Version, "Bytes", len(record.Value), "LastReadAgo", age(lastRead))
	return nil
}

func (w *Watcher) pollEndpoints(ctx context.Context, wait time.Duration) error {
	if !w.graceUntil.IsZero() {
		wait = min(wait, max(time.Until(w.graceUntil), 0))
	}
	changed, err := w.registrations.Refresh(ctx, wait)
	if err != nil {
		w.hasFailed = true
		return err
	}
	now := time.Now()
	gap := now.Sub(w.lastRead)
	wasAway := w.wasAway(w.lastRead)
	if isOutage := w.hasFailed || wasAway || gap > outageThreshold+wait; isOutage && gap > outageThreshold && !w.lastRead.IsZero() {
		w.graceUntil = now.Add(lapseGrace)
		w.log.Log(eventRegistrationsKept, "ReadAgo", gap, "ReadFailed", w.hasFailed, "StoreAway", wasAway)
	}
	w.hasFailed, w.lastRead = false, now
	if changed || !w.isComplete.Load() || !w.graceUntil.IsZero() {
		w.replace(w.withLapsed(w.decode()))
	}
	w.registry.RecordRead(w.registrations.ReadAt(), w.registrations.TakeMissed())
	w.endpointsVersion.Store(w.registrations.Version())
	w.isComplete.Store(true)
	return nil
}

// decode returns all valid endpoints and the IDs of all registrations. It decodes
// only registrations that have changed.
func (w *Watcher) decode() (endpoints []registrar.Endpoint, present map[string]bool) {
	known := w.endpoints
	w.endpoints, present = map[string]registration{}, map[string]bool{}
	for _, r := range w.registrations.Records() {
		decoded, found := known[r.Name]
		if !found || decoded.version != r.Version {
			decoded = registration{version: r.Version}
			if decoded.endpoint, decoded.err = w.source.DecodeEndpoint(r.Name, r.Value); decoded.err != nil {
				w.log.Log(eventRegistrationMalformed, "Endpoint", r.Name, "Row", r.Version, "Cause", decoded.err)
			}
		}
		w.endpoints[r.Name], present[r.Name] = decoded, true
		if decoded.err == nil {
			endpoints = append(endpoints, decoded.endpoint)
		}
	}
	return endpoints, present
}

// withLapsed adds, until graceUntil, the endpoints whose registrations may have
// lapsed only because of a store outage.
func (w *Watcher) withLapsed(endpoints []registrar.Endpoint, present map[string]bool) []registrar.Endpoint {
	if time.Now().After(w.graceUntil) {
		w.graceUntil = time.Time{}
		return endpoints
	}
	for _, known := range w.registry.Endpoints() {
		if !present[known.ID] && !known.Leaving {
			endpoints = append(endpoints, known)
		}
	}
	return endpoints
}

func (w *Watcher) replace(endpoints []registrar.Endpoint) {
	changes := w.registry.Replace(endpoints)
	for _, e := range changes.Added {
		w.log.Log(eventEndpointAdded, "Endpoint", e.ID, "Service", e.Service, "EndpointVersion", e.Version, "Address", e.Address, "DataCentre", e.DataCentre)
	}
	for _, e := range changes.Leaving {
		w.log.Log(eventEndpointLeaving, "Endpoint", e.ID, "Service", e.Service)
	}
	for _, e := range changes.Removed {
		w.log.Log(eventEndpointRemoved, "Endpoint", e.ID, "Service", e.Service)
		if w.source.EndpointRemoved != nil {
			w.source.EndpointRemoved(e)
		}
	}
}
