// Package driver owns the load that the load tool makes: programs that arrive
// in an open loop, the checks of their answers, and the result. It does not own
// the callers' API, which internal/receiver serves, nor any policy under test.
package driver

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// The defaults of a Driver.
const (
	defaultDuration = 30 * time.Second
	defaultTimeout  = time.Minute
	defaultDrain    = 2 * time.Minute
)

// Driver runs mixes against targets.
type Driver struct {
	targets  map[string]Target
	mixes    []Mix
	seed     uint64
	run      string
	duration time.Duration
	timeout  time.Duration
	drain    time.Duration
	pauses   float64
	echo     bool
	samples  bool
	log      *logger.Logger
	recorder *recorder
}

// Option sets one property of a Driver.
type Option func(*Driver)

// WithMixes sets what arrives.
func WithMixes(mixes ...Mix) Option { return func(d *Driver) { d.mixes = mixes } }

// WithSeed fixes the arrivals and the programs.
func WithSeed(seed uint64) Option { return func(d *Driver) { d.seed = seed } }

// WithRun names the run; keys begin with it. It is a new ULID by default.
func WithRun(run string) Option { return func(d *Driver) { d.run = run } }

// WithDuration sets how long programs arrive.
func WithDuration(t time.Duration) Option { return func(d *Driver) { d.duration = t } }

// WithTimeout bounds the wait for one answer, retries included.
func WithTimeout(t time.Duration) Option { return func(d *Driver) { d.timeout = t } }

// WithDrain bounds the wait for programs under way after the last arrival.
func WithDrain(t time.Duration) Option { return func(d *Driver) { d.drain = t } }

// WithPauses multiplies the pauses between turns.
func WithPauses(scale float64) Option { return func(d *Driver) { d.pauses = scale } }

// WithoutEcho drops the checks that rely on the stand-in engine's output.
func WithoutEcho() Option { return func(d *Driver) { d.echo = false } }

// WithSamples keeps the latency of every turn, for Pair.
func WithSamples() Option { return func(d *Driver) { d.samples = true } }

// WithLogger sets where violations are logged; they are not by default.
func WithLogger(log *logger.Logger) Option { return func(d *Driver) { d.log = log } }

// New returns a Driver that sends each business's programs to its target.
func New(targets map[string]Target, options ...Option) *Driver {
	d := &Driver{
		targets:  targets,
		seed:     1,
		run:      ulid.Make().String(),
		duration: defaultDuration,
		timeout:  defaultTimeout,
		drain:    defaultDrain,
		pauses:   1,
		echo:     true,
		log:      logger.Discard(),
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// Run makes the load until the programs that arrived have ended or the
// context ends, and returns what came of it.
func (d *Driver) Run(ctx context.Context) Result {
	start := time.Now()
	d.recorder = newRecorder(start, d.log)
	d.recorder.sampled = d.samples
	ctx, cancel := context.WithTimeout(ctx, d.duration+d.drain)
	defer cancel()
	var programs sync.WaitGroup
	for _, m := range d.mixes {
		programs.Go(func() { d.arrive(ctx, m, start, &programs) })
	}
	programs.Wait()
	return d.result(time.Since(start))
}

// arrive starts the programs of a mix at times that do not depend on answers.
func (d *Driver) arrive(ctx context.Context, m Mix, start time.Time, programs *sync.WaitGroup) {
	random := d.random(m.Name, 0)
	at := start
	for n := 1; m.Limit == 0 || n <= m.Limit; n++ {
		at = at.Add(time.Duration(random.ExpFloat64() / m.Rate * float64(time.Second)))
		if at.Sub(start) > d.duration || pause(ctx, time.Until(at)) != nil {
			return
		}
		p := d.newProgram(m, n, at)
		programs.Go(func() { p.run(ctx) })
	}
}

// random returns the generator of one program, so that its draws do not depend
// on the others; number 0 is the arrivals'.
func (d *Driver) random(mix string, number int) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(mix))
	return rand.New(rand.NewPCG(d.seed, hash.Sum64()+uint64(number)))
}

// result returns the result with what the targets have counted.
func (d *Driver) result(took time.Duration) Result {
	r := d.recorder.result()
	r.Run, r.Seed, r.Took = d.run, d.seed, took
	counted := map[Target]bool{}
	for _, target := range d.targets {
		counter, ok := target.(interface{ Attempts() int64 })
		if ok && !counted[target] {
			r.Attempts += int(counter.Attempts())
		}
		counted[target] = true
	}
	return r
}
