// Package resumer keeps for streams which version of which service began them, so that a
// stream that a caller takes up at another instance goes on at that version: events of two
// versions don't fit together.
//
// The instance that forwards the first event keeps the record and copies it to two others,
// chosen by hash of the stream's ID. Any instance finds them by the same hash. Records are a
// means to go on, not to be safe: a stream whose record is lost isn't resumed.
package resumer

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

const (
	methodRecord   = "RecordStream"
	methodFind     = "FindStream"
	methodVersions = "SeenVersions"
	// copies is the number of other instances that keep a record, and maxAsked the number
	// of those that may have one: some may not answer.
	copies   = 2
	maxAsked = 5
	// recordTimeout limits the copying of a record, and findTimeout the search for one.
	recordTimeout = 600 * time.Millisecond
	findTimeout   = 300 * time.Millisecond
	// learnInterval is the time between the first attempts to find an instance that has seen all
	// versions, and maxLearnInterval that between later ones.
	learnInterval    = 100 * time.Millisecond
	maxLearnInterval = 2 * time.Second
	// retention is how long a record is kept at least; callers take up a stream within
	// the timeout of its route.
	retention = 30 * time.Second
	// maxRecords limits the records of one retention; beyond it the oldest go first.
	maxRecords = 100_000
)

var eventNotCopied = logger.Define(5090, "StreamNotCopied", log.WarnLevel,
	"no other instance could keep the record of which version began a stream",
	"None, if instances were stopped; the stream can be resumed at this instance only.")

// Origin is what began a stream.
type Origin struct {
	Service string `cbor:"1,keyasint"`
	// Version is that of the software of the service's endpoint.
	Version string `cbor:"2,keyasint"`
}

// Members lists the instances.
type Members interface {
	// Ranking returns the n members with the highest hashes for the key, highest first.
	Ranking(key string, n int) []discoverer.Member
	Self() discoverer.Member
}

// Versions knows which versions had endpoints lately.
type Versions interface {
	SeenVersions() (seen []registrar.SeenVersion, isComplete bool)
	MergeVersions(seen []registrar.SeenVersion) bool
}

// Caller calls other instances.
type Caller interface {
	Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error
}

// record is the request to keep a record.
type record struct {
	Stream string `cbor:"1,keyasint"`
	Origin Origin `cbor:"2,keyasint"`
}

// versionsResponse has all versions that had endpoints lately if IsComplete is true.
type versionsResponse struct {
	IsComplete bool                    `cbor:"1,keyasint"`
	Seen       []registrar.SeenVersion `cbor:"2,keyasint"`
}

// findResponse holds the origin if IsFound is true.
type findResponse struct {
	IsFound bool   `cbor:"1,keyasint"`
	Origin  Origin `cbor:"2,keyasint"`
}

// Resumer keeps and finds records. It is safe for concurrent use.
type Resumer struct {
	members  Members
	caller   Caller
	versions Versions
	log      *logger.Logger

	withTimeout Timeouts

	mu sync.Mutex
	// recent has the records since rotatedAt, and older those of the retention before.
	recent, older map[string]Origin
	rotatedAt     time.Time
}

// Timeouts returns a context that ends after the timeout.
type Timeouts func(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc)

// Option sets one property of a Resumer.
type Option func(*Resumer)

// WithLogger sets the logger of events.
func WithLogger(l *logger.Logger) Option { return func(r *Resumer) { r.log = l } }

// WithTimeouts sets the source of the timeouts of calls, context.WithTimeout by default.
func WithTimeouts(t Timeouts) Option { return func(r *Resumer) { r.withTimeout = t } }

// New returns a Resumer without records.
func New(members Members, caller Caller, versions Versions, options ...Option) *Resumer {
	r := &Resumer{members: members, caller: caller, versions: versions, log: logger.Discard(), withTimeout: context.WithTimeout, recent: map[string]Origin{}, rotatedAt: time.Now()}
	for _, option := range options {
		option(r)
	}
	return r
}

// Handlers returns the handlers of calls from other instances, by method.
func (r *Resumer) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		methodRecord: messenger.Handle(func(_ context.Context, in record) (struct{}, error) {
			r.keep(in.Stream, in.Origin)
			return struct{}{}, nil
		}),
		methodFind: messenger.Handle(func(_ context.Context, stream string) (findResponse, error) {
			origin, isFound := r.find(stream)
			return findResponse{IsFound: isFound, Origin: origin}, nil
		}),
		methodVersions: messenger.Handle(func(context.Context, struct{}) (versionsResponse, error) {
			seen, isComplete := r.versions.SeenVersions()
			if !isComplete {
				seen = nil
			}
			return versionsResponse{IsComplete: isComplete, Seen: seen}, nil
		}),
	}
}

// LearnVersions asks other instances which versions had endpoints lately, whenever this one does
// not know all of them, until ctx ends. If all instances have started at the same moment, none
// knows those before.
func (r *Resumer) LearnVersions(ctx context.Context) {
	attempt := 0
	for {
		wait := maxLearnInterval
		if _, isComplete := r.versions.SeenVersions(); isComplete || r.learnFrom(ctx, attempt) {
			attempt = 0
		} else {
			wait = min(learnInterval<<min(attempt/2, 10), maxLearnInterval)
			attempt++
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// learnFrom asks one instance, another one at each attempt. It reports whether this instance
// knows all versions then.
func (r *Resumer) learnFrom(ctx context.Context, attempt int) bool {
	others := r.others(r.members.Self().Incarnation + strconv.Itoa(attempt))
	if len(others) == 0 {
		return false
	}
	var out versionsResponse
	bounded, cancel := r.withTimeout(ctx, findTimeout)
	defer cancel()
	err := r.caller.Call(bounded, others[0].Address, methodVersions, struct{}{}, &out)
	return err == nil && out.IsComplete && r.versions.MergeVersions(out.Seen)
}

// Record keeps what began the stream and copies it to other instances, without waiting
// for them.
func (r *Resumer) Record(stream string, origin Origin) {
	r.keep(stream, origin)
	others := r.others(stream)
	if len(others) == 0 {
		return
	}
	go func() {
		ctx, cancel := r.withTimeout(context.Background(), recordTimeout)
		defer cancel()
		candidates := make(chan discoverer.Member, len(others))
		for _, m := range others {
			candidates <- m
		}
		close(candidates)
		var work sync.WaitGroup
		var mu sync.Mutex
		var failure error
		copied := 0
		for range copies {
			work.Go(func() {
				for m := range candidates {
					err := r.caller.Call(ctx, m.Address, methodRecord, record{Stream: stream, Origin: origin}, &struct{}{})
					mu.Lock()
					if err == nil {
						copied++
					} else {
						failure = err
					}
					mu.Unlock()
					if err == nil {
						return
					}
				}
			})
		}
		work.Wait()
		if copied == 0 {
			r.log.Log(eventNotCopied, "Stream", stream, "EndpointVersion", origin.Version, "Cause", failure)
		}
	}()
}

// Find returns what began the stream, from the records of this instance and the others.
func (r *Resumer) Find(ctx context.Context, stream string) (Origin, bool) {
	if origin, isFound := r.find(stream); isFound {
		return origin, true
	}
	ctx, cancel := r.withTimeout(ctx, findTimeout)
	defer cancel()
	others := r.others(stream)
	responses := make(chan findResponse, len(others))
	for _, m := range others {
		go func() {
			var out findResponse
			if err := r.caller.Call(ctx, m.Address, methodFind, stream, &out); err != nil {
				out = findResponse{} // An instance that does not answer has no record to give.
			}
			responses <- out
		}()
	}
	for range others {
		if out := <-responses; out.IsFound {
			return out.Origin, true
		}
	}
	return Origin{}, false
}

// others returns the instances that may have a record of the stream, without this one.
func (r *Resumer) others(stream string) []discoverer.Member {
	members := r.members.Ranking(stream, maxAsked+1)
	others := slices.DeleteFunc(members, func(m discoverer.Member) bool { return m.Instance == r.members.Self().Instance })
	return others[:min(maxAsked, len(others))]
}

func (r *Resumer) keep(stream string, origin Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lockedRotate()
	r.recent[stream] = origin
}

func (r *Resumer) find(stream string) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lockedRotate()
	if origin, isFound := r.recent[stream]; isFound {
		return origin, true
	}
	origin, isFound := r.older[stream]
	return origin, isFound
}

// lockedRotate removes records that are older than twice the retention, or beyond the
// limit of their number.
func (r *Resumer) lockedRotate() {
	age := time.Since(r.rotatedAt)
	if age < retention && len(r.recent) < maxRecords {
		return
	}
	r.older, r.recent, r.rotatedAt = r.recent, map[string]Origin{}, time.Now()
	if age >= 2*retention {
		r.older = nil
	}
}
