// Package fakeengine owns a stand-in for a model engine: a simulation of
// continuous batching over a prefix cache, and the HTTP face of the protocol
// that internal/generator declares, with faults that tests and demonstrations
// set. It does not own the protocol, nor any choice of an engine.
package fakeengine

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// defaultSeed and streamSeed fix the generator that draws lost events.
const (
	defaultSeed = 1
	streamSeed  = 0x9e3779b97f4a7c15
)

// The errors of an engine.
var (
	errNoModel   = errors.New("the model or the adapter is not loaded")
	errDuplicate = errors.New("the request's id is in use")
	errRange     = errors.New("MaxTokens must be above Offset")
	errOldFence  = errors.New("the fencing number is old")
	errOrder     = errors.New("the order's change is not known")
)

// Counts says what an engine has done.
type Counts struct {
	// Generates counts generations accepted, AfterLeaving those of them that
	// arrived while the engine was leaving, the last LatestAfterLeaving after
	// it was told to.
	Generates          int
	AfterLeaving       int
	LatestAfterLeaving time.Duration
	// LeavingRefusals counts generations refused because the engine was leaving.
	LeavingRefusals int
	Completed       int
	Canceled        int
	// Prompt, Cached, Prefilled and Generated are in tokens. Recomputed is the
	// part of Prefilled that this engine had held before.
	Prompt     int
	Cached     int
	Prefilled  int
	Recomputed int
	Generated  int
	// Orders counts orders in effect, OldOrders those of them with a fencing
	// number below one seen before, and RefusedOrders those refused for it.
	Orders        int
	OldOrders     int
	RefusedOrders int
	Releases      int
	Exports       int
	Imports       int
}

// Engine simulates a model engine. Run must be running for generations to
// make progress. It is safe for concurrent use.
type Engine struct {
	name        string
	log         *logger.Logger
	settings    Settings
	checksFence bool
	wake        chan struct{}

	mu      sync.Mutex
	batch   batch
	cache   *cache
	events  eventLog
	load    loadLog
	orders  orders
	faults  Faults
	leaving bool
	left    time.Time
	counts  Counts
}

// Option sets one property of an Engine.
type Option func(*Engine)

// WithSettings replaces DefaultSettings. Sizes of zero keep their default.
func WithSettings(settings Settings) Option {
	return func(e *Engine) { e.settings = settings.filled() }
}

// WithModels sets the models that are loaded at the start.
func WithModels(models ...string) Option {
	return func(e *Engine) { e.orders.models = slices.Clone(models) }
}

// WithAdapters sets the adapters that are loaded at the start.
func WithAdapters(adapters ...string) Option {
	return func(e *Engine) { e.orders.adapters = slices.Clone(adapters) }
}

// WithoutFenceCheck lets the engine carry out orders with old fencing numbers.
func WithoutFenceCheck() Option {
	return func(e *Engine) { e.checksFence = false }
}

// WithSeed fixes the draws of lost cache events.
func WithSeed(seed uint64) Option {
	return func(e *Engine) { e.events.random = rand.New(rand.NewPCG(seed, streamSeed)) }
}

// WithLogger sets where the engine logs; it logs nothing by default.
func WithLogger(log *logger.Logger) Option {
	return func(e *Engine) { e.log = log }
}

// New returns an idle Engine that checks fencing numbers.
func New(name string, options ...Option) *Engine {
	e := &Engine{
		name:        name,
		log:         logger.Discard(),
		settings:    DefaultSettings(),
		checksFence: true,
		wake:        make(chan struct{}, 1),
	}
	WithSeed(defaultSeed)(e)
	for _, option := range options {
		option(e)
	}
	e.cache = newCache(e.settings.CacheTokens, e.settings.BlockTokens, e.recordEvent)
	e.batch = batch{settings: e.settings, cache: e.cache, counts: &e.counts}
	e.events.delay = e.settings.EventDelay
	e.events.loss = e.settings.EventLoss
	e.load.lag = e.settings.LoadLag
	return e
}

// Run steps the batch until the context ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		took, busy := e.startStep()
		if !busy {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		if pause(ctx, took) == nil {
			e.finishStep()
		}
	}
}

func (e *Engine) startStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	took, busy := e.batch.start()
	if !busy {
		return 0, false
	}
	e.sampleLoad()
	return e.faults.slowed(took), true
}

func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.finish()
	e.sampleLoad()
}

// submit queues a generation.
func (e *Engine) submit(request generator.GenerateRequest) (*sequence, error) {
	s := newSequence(request, e.settings)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !e.orders.serves(request):
		return nil, errNoModel
	case request.Offset < 0 || request.MaxTokens <= request.Offset:
		return nil, errRange
	case e.batch.find(request.Request) != nil:
		return nil, errDuplicate
	}
	e.counts.Generates++
	if e.leaving {
		e.counts.AfterLeaving++
		e.counts.LatestAfterLeaving = time.Since(e.left)
	}
	e.batch.submit(s)
	e.sampleLoad()
	e.signalWork()
	return s, nil
}

// signalWork wakes Run.
func (e *Engine) signalWork() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// cancelSequence stops the generation.
func (e *Engine) cancelSequence(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.cancel(s)
	e.sampleLoad()
}

// Cancel stops the generation with the attempt's id, if there is one.
func (e *Engine) Cancel(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.batch.find(request); s != nil {
		e.batch.cancel(s)
		e.sampleLoad()
	}
}

// Load returns the lagging load report.
func (e *Engine) Load() generator.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	sample := e.load.at(time.Now())
	return generator.LoadReport{
		Endpoint:    e.name,
		Running:     sample.running,
		Waiting:     sample.waiting,
		Slots:       e.settings.Slots,
		CacheTokens: sample.cache,
		CacheLimit:  e.settings.CacheTokens,
		Age:         e.settings.LoadLag,
		Leaving:     e.leaving,
		Models:      slices.Clone(e.orders.models),
	}
}

// sampleLoad keeps the present load for later reports. The lock is held.
func (e *Engine) sampleLoad() {
	e.load.add(loadSample{
		at:      time.Now(),
		running: len(e.batch.running),
		waiting: len(e.batch.waiting),
		cache:   e.cache.tokens(),
	})
}

// Holdings returns what each program holds of the cache.
func (e *Engine) Holdings() generator.HoldingReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return generator.HoldingReport{Holdings: e.cache.holdings()}
}

// Release drops what the program holds of the cache.
func (e *Engine) Release(program string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Releases++
	e.cache.release(program)
	e.sampleLoad()
}

// Events returns the visible cache events after the number.
func (e *Engine) Events(after int64) generator.CacheEventPage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.events.page(time.Now(), after)
}

// recordEvent keeps a cache event. The lock is held.
func (e *Engine) recordEvent(program, change string, tokens int) {
	e.events.add(time.Now(), program, change, tokens)
}

// SetLeaving sets whether the engine has been told to stop.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if leaving && !e.leaving {
		e.left = time.Now()
	}
	e.leaving = leaving
	e.log.Log(LeavingSet, "Engine", e.name, "Leaving", leaving)
}

// refusesNew says whether the engine has been leaving for too long to take
// another generation, and counts the refusal.
func (e *Engine) refusesNew() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	grace := e.settings.LeavingGrace
	refuses := e.leaving && grace > 0 && time.Since(e.left) > grace
	if refuses {
		e.counts.LeavingRefusals++
	}
	return refuses
}

// Counts returns the counters so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Busy returns the number of generations that run or wait.
func (e *Engine) Busy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch.running) + len(e.batch.waiting)
}

// transfer is what an export hands over.
type transfer struct {
	Program string
	Blocks  []uint64
}

// Export returns the program's cached blocks for Import by another engine. It
// takes TransferTime for each token.
func (e *Engine) Export(ctx context.Context, program string) ([]byte, error) {
	e.mu.Lock()
	e.counts.Exports++
	blocks := e.cache.export(program)
	e.mu.Unlock()
	if err := e.pauseTransfer(ctx, len(blocks)); err != nil {
		return nil, err
	}
	return json.Marshal(transfer{Program: program, Blocks: blocks})
}

// Import caches the blocks that Export returned. It takes TransferTime for
// each token.
func (e *Engine) Import(ctx context.Context, body []byte) error {
	var t transfer
	if err := json.Unmarshal(body, &t); err != nil {
		return err
	}
	if err := e.pauseTransfer(ctx, len(t.Blocks)); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Imports++
	e.cache.store(t.Program, t.Blocks)
	e.sampleLoad()
	return nil
}

func (e *Engine) pauseTransfer(ctx context.Context, blocks int) error {
	return pause(ctx, time.Duration(blocks*e.settings.BlockTokens)*e.settings.TransferTime)
}

// pause waits for d or until the context ends.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
