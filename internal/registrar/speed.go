package registrar

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// speedHalfLife is the time in which the evidence of an endpoint's speed loses half of
	// its weight, so that an endpoint that was slow once gets requests again.
	speedHalfLife = 30 * time.Second
	// doubtfulSamples is the number of samples with a confidence of one half, and
	// maxSamples the largest number that counts.
	doubtfulSamples = 8
	maxSamples      = 64
	// maxMultiple bounds one sample and a stated speed.
	maxMultiple = 8
	// maxKinds bounds the kinds of work that are kept for a service.
	maxKinds = 64
	// usualSamples is the number of the samples whose mean is the usual time.
	usualSamples = 256
	// sharedSpeeds is the number of endpoints whose speeds are sent with one call. They are
	// drawn at random, so that all are sent in the course of some calls.
	sharedSpeeds = 4
	// percent is the unit in which speeds are sent.
	percent = 100
)

// Speed is how long an endpoint needs for work, in multiples of what the service's endpoints
// usually need. The zero value is the usual speed without any confidence.
type Speed struct {
	// PrefillExcess and GenerationExcess are the multiples less one, weighted by the
	// confidence in them.
	PrefillExcess, GenerationExcess float64
	// Confidence is in [0, 1).
	Confidence float64
}

// Prefill returns the multiple for reading prompts and for calls to plain services.
func (s Speed) Prefill() float64 { return 1 + s.PrefillExcess }

// Generation returns the multiple for generating output.
func (s Speed) Generation() float64 { return 1 + s.GenerationExcess }

// Sample is what a served request shows of the endpoint's speed. Failed requests are no
// samples: an endpoint that fails fast is not a fast one.
type Sample struct {
	// Kind is the kind of the work, that is the route.
	Kind string
	// Tokens is the number of prompt tokens; zero for a call to a plain service.
	Tokens int64
	// IsHome is true if the endpoint had a part of the prompt in its cache.
	IsHome bool
	// Prefill is the time until the first event, or the whole time of a call to a plain
	// service, and Generation that from the first to the last event.
	Prefill, Generation time.Duration
	// Events is the number of events.
	Events int
	// Load is what the endpoint stated with the response; nil for nothing.
	Load *Load
	// MayHaveWaited is true if the endpoint had no free slot when the request was sent, as
	// far as this instance knew.
	MayHaveWaited bool
}

// Usual is what the endpoints of a service usually need for a kind of work.
type Usual struct {
	// Prefill is the time for each prompt token, or for a call if it has none.
	Prefill time.Duration
	// HomePrefill is the time for each prompt token at the turn's home; zero if unknown.
	HomePrefill time.Duration
	// Generation is the time of the output.
	Generation time.Duration
	// Turnover is the time for which a request takes a slot.
	Turnover time.Duration
}

// mean is a mean over the last usualSamples samples.
type mean struct{ value, count float64 }

func (m *mean) add(value float64) {
	m.count = min(m.count+1, usualSamples)
	m.value += (value - m.value) / m.count
}

func (m *mean) duration() time.Duration { return time.Duration(m.value) }

// usual holds the means of a kind of work of a service.
type usual struct{ prefill, homePrefill, generation, perEvent, turnover mean }

type workKind struct{ service, kind string }

// estimate is a multiple of the usual time with the samples that it rests on.
type estimate struct {
	multiple, samples float64
	at                time.Time
}

// samplesAt returns the weight of the samples at the time.
func (s *estimate) samplesAt(now time.Time) float64 {
	if s.samples == 0 {
		return 0
	}
	return s.samples * math.Exp2(-float64(now.Sub(s.at))/float64(speedHalfLife))
}

// add takes in a multiple that rests on the samples of this instance.
func (s *estimate) add(multiple float64, now time.Time) {
	known := s.samplesAt(now)
	multiple = min(max(multiple, 1.0/maxMultiple), maxMultiple)
	s.multiple += (multiple - s.multiple) / (known + 1)
	s.samples, s.at = min(known+1, maxSamples), now
}

// merge takes in the estimate of another instance. It may rest on the same samples, so that
// their number is not added.
func (s *estimate) merge(multiple, samples float64, now time.Time) {
	known := s.samplesAt(now)
	s.multiple += (multiple - s.multiple) * samples / (known + samples)
	s.samples, s.at = max(known, samples), now
}

// confidence is the part of the multiple's deviation that counts.
func (s *estimate) confidence(now time.Time) float64 {
	samples := s.samplesAt(now)
	return samples / (samples + doubtfulSamples)
}

// learned is what is known of an endpoint's speed. It ends with the entry, that is with the
// process, and with the version.
type learned struct {
	prefill, generation estimate
	version             string
}

func (l *learned) speed(now time.Time) Speed {
	prefill, generation := l.prefill.confidence(now), l.generation.confidence(now)
	s := Speed{Confidence: max(prefill, generation)}
	if prefill > 0 {
		s.PrefillExcess = prefill * (l.prefill.multiple - 1)
	}
	if generation > 0 {
		s.GenerationExcess = generation * (l.generation.multiple - 1)
	}
	return s
}

// forgetOther forgets what was learned of another version.
func (l *learned) forgetOther(version string) {
	if l.version != version {
		*l = learned{version: version}
	}
}

// RecordServed records that the endpoint served a request completely. An endpoint without
// waiting requests invites further ones. A sample of a request that may have waited shows
// nothing of the speed.
func (r *Registry) RecordServed(endpoint Endpoint, s Sample) {
	if s.Load == nil || s.Load.Waiting > 0 || s.Prefill <= 0 {
		return
	}
	pace := 1.0
	if s.Load.Pace > 0 {
		pace = s.Load.Pace
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.byID[endpoint.ID]
	if e == nil || processOf(e.Endpoint) != processOf(endpoint) {
		return
	}
	if r.lockedInvite(e, now); s.MayHaveWaited {
		return
	}
	u := r.lockedUsual(workKind{endpoint.Service, s.Kind})
	e.forgetOther(e.Version)
	prefill := float64(s.Prefill) / pace / float64(max(s.Tokens, 1))
	if s.IsHome {
		u.homePrefill.add(prefill)
	} else {
		u.prefill.add(prefill)
		e.prefill.add(prefill/u.prefill.value, now)
	}
	if s.Events > 1 {
		perEvent := float64(s.Generation) / pace / float64(s.Events-1)
		u.perEvent.add(perEvent)
		u.generation.add(float64(s.Generation) / pace)
		if u.perEvent.value > 0 {
			e.generation.add(perEvent/u.perEvent.value, now)
		}
	}
	u.turnover.add(float64(s.Prefill + s.Generation))
}

// lockedUsual returns the means of the kind. Kinds beyond the bound share one.
func (r *Registry) lockedUsual(k workKind) *usual {
	u := r.usual[k]
	if u == nil {
		if len(r.usual) >= maxKinds {
			k = workKind{}
		}
		if u = r.usual[k]; u == nil {
			u = &usual{}
			r.usual[k] = u
		}
	}
	return u
}

// Usual returns what the service's endpoints usually need for the kind of work; zero values
// where nothing is known.
func (r *Registry) Usual(service, kind string) Usual {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.usual[workKind{service, kind}]
	if u == nil {
		return Usual{}
	}
	return Usual{
		Prefill: u.prefill.duration(), HomePrefill: u.homePrefill.duration(), Generation: u.generation.duration(), Turnover: u.turnover.duration(),
	}
}

// LearnedCount returns the number of endpoints of whose speeds more is known than not, and
// the largest multiple among them.
func (r *Registry) LearnedCount() (n int, slowest float64) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.byID {
		if s := e.speed(now); s.Confidence >= 0.5 {
			n++
			slowest = max(slowest, s.Prefill(), s.Generation())
		}
	}
	return n, slowest
}

// StatedSpeed is what an instance has learned of an endpoint's speed, in percent of the
// usual time, with the number of samples; zero samples for nothing.
type StatedSpeed struct {
	Prefill           int `cbor:"1,keyasint,omitempty"`
	PrefillSamples    int `cbor:"2,keyasint,omitempty"`
	Generation        int `cbor:"3,keyasint,omitempty"`
	GenerationSamples int `cbor:"4,keyasint,omitempty"`
	// Version is that of the endpoint's software.
	Version string `cbor:"5,keyasint,omitempty"`
}

// statedSpeed returns what is sent to other instances; nil for nothing.
func (l *learned) statedSpeed(now time.Time) *StatedSpeed {
	s := &StatedSpeed{
		PrefillSamples: int(l.prefill.samplesAt(now)), Prefill: int(math.Round(l.prefill.multiple * percent)),
		GenerationSamples: int(l.generation.samplesAt(now)), Generation: int(math.Round(l.generation.multiple * percent)),
		Version: l.version,
	}
	if s.PrefillSamples == 0 && s.GenerationSamples == 0 {
		return nil
	}
	return s
}

// mergeSpeed takes in what another instance has learned, unless it is implausible.
func (l *learned) mergeSpeed(s StatedSpeed, version string, now time.Time) {
	if s.Version != version {
		return
	}
	l.forgetOther(version)
	for _, one := range []struct {
		to                *estimate
		multiple, samples int
	}{{&l.prefill, s.Prefill, s.PrefillSamples}, {&l.generation, s.Generation, s.GenerationSamples}} {
		if one.samples > 0 && one.samples <= maxSamples && one.multiple >= percent/maxMultiple && one.multiple <= percent*maxMultiple {
			one.to.merge(float64(one.multiple)/percent, float64(one.samples), now)
		}
	}
}

// lockedAddSpeeds adds the speeds of some endpoints to the observations.
func (r *Registry) lockedAddSpeeds(observations []Observation, now time.Time) {
	rand.Shuffle(len(observations), func(i, j int) { observations[i], observations[j] = observations[j], observations[i] })
	for i := range observations[:min(sharedSpeeds, len(observations))] {
		o := &observations[i]
		if e := r.byID[o.ID]; e != nil {
			o.StatedSpeed, o.StartedMillis = e.statedSpeed(now), e.Started.UnixMilli()
		}
	}
}
