package fakeengine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// Settings shapes the simulated engine.
type Settings struct {
	// Slots is the number of generations batched together.
	Slots int
	// TokenTime is one decoding step of a single generation, PeerTime what
	// each further generation in the batch adds to it.
	TokenTime time.Duration
	PeerTime  time.Duration
	// PrefillTime is the time to prefill one token that is not cached, and
	// PrefillChunk the tokens prefilled at most in one step.
	PrefillTime  time.Duration
	PrefillChunk int
	// BlockTokens is the cache's granularity, CacheTokens its limit.
	BlockTokens int
	CacheTokens int
	// OutputTokens is the mean length of an output; zero stands for outputs
	// that always reach MaxTokens.
	OutputTokens int
	// CancelOvershoot is the number of tokens still generated after a cancel.
	CancelOvershoot int
	// LoadLag is how old a load report is.
	LoadLag time.Duration
	// EventDelay is how late cache events appear, EventLoss the share of them,
	// 0 to 1, that never do.
	EventDelay time.Duration
	EventLoss  float64
	// OrderTime is the time that an order takes before it is in effect.
	OrderTime time.Duration
	// LeavingGrace is how long a leaving engine still takes generations; zero
	// means to its end.
	LeavingGrace time.Duration
	// TransferTime is the time to export or import one cached token.
	TransferTime time.Duration
}

// DefaultSettings returns the settings of a small engine.
func DefaultSettings() Settings {
	return Settings{
		Slots:        8,
		TokenTime:    20 * time.Millisecond,
		PeerTime:     time.Millisecond,
		PrefillTime:  50 * time.Microsecond,
		PrefillChunk: 2048,
		BlockTokens:  16,
		CacheTokens:  65536,
		LoadLag:      500 * time.Millisecond,
		EventDelay:   time.Second,
		EventLoss:    0.05,
		OrderTime:    100 * time.Millisecond,
		TransferTime: 5 * time.Microsecond,
	}
}

// filled returns the settings with defaults for what must not be zero.
func (s Settings) filled() Settings {
	defaults := DefaultSettings()
	s.Slots = cmp.Or(s.Slots, defaults.Slots)
	s.PrefillChunk = cmp.Or(s.PrefillChunk, defaults.PrefillChunk)
	s.BlockTokens = cmp.Or(s.BlockTokens, defaults.BlockTokens)
	s.CacheTokens = cmp.Or(s.CacheTokens, defaults.CacheTokens)
	return s
}

// canceled is the error text of a generation that was cancelled.
const canceled = "Canceled"

// sequence is one generation that waits or runs.
type sequence struct {
	request generator.GenerateRequest
	arrival int64
	// prompt are the prompt's tokens, hashes its blocks.
	prompt []string
	hashes []uint64
	// prefill is the number of tokens still to be prefilled.
	prefill int
	cached  int
	// produced and total are indexes in the whole output.
	produced int
	total    int
	canceled bool
	done     bool
	failure  string
	// changed holds a signal after produced or done has changed.
	changed chan struct{}
}

// signal tells the reader that there is something new.
func (s *sequence) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// usage returns the account of this attempt; tokens before its offset were
// generated, and are accounted for, by an earlier one.
func (s *sequence) usage() generator.Usage {
	return generator.Usage{
		Prompt:    len(s.prompt),
		Cached:    min(s.cached, len(s.prompt)),
		Generated: s.produced - s.request.Offset,
	}
}

// batch models continuous batching over a prefix cache. It is pure: the caller
// decides when a step starts and lets its time pass.
type batch struct {
	settings Settings
	cache    *cache
	waiting  []*sequence
	running  []*sequence
	arrivals int64
	counts   *Counts
}

// newSequence returns a generation that is not queued yet.
func newSequence(request generator.GenerateRequest, settings Settings) *sequence {
	s := &sequence{
		request:  request,
		prompt:   tokens(request.Messages),
		produced: request.Offset,
		total:    max(request.Offset, outputLength(request.Seed, settings.OutputTokens, request.MaxTokens)),
		changed:  make(chan struct{}, 1),
	}
	s.hashes = s.hash(settings.BlockTokens)
	return s
}

// hash returns the blocks of the prompt and of the output produced so far.
func (s *sequence) hash(blockTokens int) []uint64 {
	all := s.prompt
	if s.produced > 0 {
		output := generator.Message{
			Role: "Assistant",
			Text: Text(s.request.Seed, s.request.Messages, 0, s.produced),
		}
		all = slices.Concat(all, tokens([]generator.Message{output}))
	}
	return blockHashes(namespace(s.request), all, blockTokens)
}

// submit queues a generation by priority, then arrival.
func (b *batch) submit(s *sequence) {
	b.arrivals++
	s.arrival = b.arrivals
	b.waiting = append(b.waiting, s)
	slices.SortStableFunc(b.waiting, compareSequences)
}

// compareSequences orders the queue.
func compareSequences(x, y *sequence) int {
	return cmp.Or(cmp.Compare(x.request.Priority, y.request.Priority), cmp.Compare(x.arrival, y.arrival))
}

// cancel stops the generation; a running one ends with a step.
func (b *batch) cancel(s *sequence) {
	if s.done || s.canceled {
		return
	}
	s.canceled = true
	if i := slices.Index(b.waiting, s); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		b.end(s, canceled)
		return
	}
	s.total = min(s.total, s.produced+b.settings.CancelOvershoot)
}

// find returns the generation with the attempt's id, or nil.
func (b *batch) find(request string) *sequence {
	for _, s := range slices.Concat(b.running, b.waiting) {
		if s.request.Request == request {
			return s
		}
	}
	return nil
}

// start admits waiting generations and begins a step. It returns the time the
// step takes, or false if there is nothing to do.
func (b *batch) start() (time.Duration, bool) {
	for len(b.waiting) > 0 && len(b.running) < b.settings.Slots {
		b.admit(b.waiting[0])
		b.waiting = b.waiting[1:]
	}
	if len(b.running) == 0 {
		return 0, false
	}
	decoding, prefilling := b.shares()
	took := time.Duration(prefilling) * b.settings.PrefillTime
	if decoding > 0 {
		took += b.settings.TokenTime + time.Duration(decoding-1)*b.settings.PeerTime
	}
	return took, true
}

// admit gives a slot to the generation and looks its prefix up.
func (b *batch) admit(s *sequence) {
	s.cached = b.cache.match(s.hashes)
	s.prefill = len(s.prompt) + s.request.Offset - s.cached
	b.counts.Prompt += len(s.prompt)
	b.counts.Cached += min(s.cached, len(s.prompt))
	b.counts.Prefilled += s.prefill
	b.counts.Recomputed += b.cache.recomputed(s.hashes)
	b.cache.pin(s.hashes, 1)
	b.running = append(b.running, s)
}

// shares returns the generations that decode in this step and the tokens that
// are prefilled in it.
func (b *batch) shares() (decoding, prefilling int) {
	for _, s := range b.running {
		if s.prefill == 0 {
			decoding++
			continue
		}
		prefilling += min(s.prefill, b.settings.PrefillChunk-prefilling)
	}
	return decoding, prefilling
}

// finish ends the step begun last.
func (b *batch) finish() {
	chunk := b.settings.PrefillChunk
	for _, s := range slices.Clone(b.running) {
		if s.prefill > 0 {
			chunk -= b.prefillSome(s, chunk)
			continue
		}
		b.decode(s)
	}
}

// prefillSome prefills up to the limit and returns the tokens prefilled.
func (b *batch) prefillSome(s *sequence, limit int) int {
	n := min(s.prefill, limit)
	s.prefill -= n
	if s.canceled {
		b.retire(s, canceled)
		return n
	}
	if s.prefill == 0 {
		b.cache.store(s.request.Program, s.hashes)
	}
	return n
}

// decode generates one token and ends the generation after its last.
func (b *batch) decode(s *sequence) {
	if s.produced < s.total {
		s.produced++
		b.counts.Generated++
		s.signal()
	}
	if s.produced < s.total {
		return
	}
	if s.canceled {
		b.retire(s, canceled)
		return
	}
	b.retire(s, "")
}

// retire gives the generation's slot back and caches what it has produced.
func (b *batch) retire(s *sequence, failure string) {
	b.running = slices.DeleteFunc(b.running, func(other *sequence) bool { return other == s })
	b.cache.pin(s.hashes, -1)
	if s.prefill == 0 {
		b.cache.store(s.request.Program, s.hash(b.settings.BlockTokens))
	}
	b.end(s, failure)
}

// end marks the generation as over.
func (b *batch) end(s *sequence, failure string) {
	s.done = true
	s.failure = failure
	if failure == "" {
		b.counts.Completed++
	} else {
		b.counts.Canceled++
	}
	s.signal()
}
