package relayer

import (
	"slices"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/chooser"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/resumer"
)

// The ways in which a request gets its endpoint by its expected end.
const (
	placedAtHome    = "Home"
	placedInvited   = "Invited"
	placedDrawn     = "Drawn"
	placedOtherwise = "TwoByHash"
)

// placement is what the placement by expected end knew of the endpoint that it selected.
type placement struct {
	// way is empty if the request was not placed.
	way  string
	wait time.Duration
	registrar.Candidate
}

// appendTo appends the fields of the access log.
func (p *placement) appendTo(pairs []any) []any {
	if p.way == "" || p.way == placedOtherwise {
		return pairs
	}
	pairs = append(pairs, "Placed", p.way, "ExpectedWait", p.wait, "Speed", p.Speed.Generation(), "PrefillSpeed", p.Speed.Prefill(), "Confidence", p.Speed.Confidence)
	if p.Pace > 0 {
		pairs = append(pairs, "Pace", p.Pace)
	}
	return pairs
}

// placeSoonest places the work by its expected end, if the policy is to do so. It reports false
// if the request has to be placed otherwise: it is suspected of crashes, or the few endpoints
// that were drawn are excluded, have failed lately or have a limit. If origin is not nil, the
// endpoint has its version.
func (x *exchange) placeSoonest(w chooser.Work, origin *resumer.Origin, excluded map[string]bool) (registrar.Candidate, bool) {
	if x.Policy.Soonest == SoonestNever || x.Policy.Soonest == SoonestWhereUneven && !x.Endpoints.IsUneven(x.service) {
		return registrar.Candidate{}, false
	}
	c, way := x.drawSoonest(w, origin, excluded)
	x.Metrics.CountPlacement(way)
	x.access.placement = placement{way: way}
	if way == placedOtherwise {
		return c, false
	}
	wait := chooser.ExpectedWait(w, &c)
	x.Metrics.ObserveExpectedWait(wait)
	x.access.placement = placement{way: way, wait: wait, Candidate: c}
	return c, true
}

func (x *exchange) drawSoonest(w chooser.Work, origin *resumer.Origin, excluded map[string]bool) (c registrar.Candidate, way string) {
	if x.suspicion().Crashes > 0 {
		return c, placedOtherwise
	}
	var buffer [registrar.MaxDrawn]registrar.Candidate
	drawn := slices.DeleteFunc(x.Endpoints.Draw(buffer[:0], x.service, w.Home, x.DataCentre), func(c registrar.Candidate) bool {
		return c.Avoid || c.Limit.IsSet || excluded[c.ID] || (origin != nil && c.Version != origin.Version) || x.Paths.IsDetour(c.Endpoint)
	})
	i := chooser.ForWork(w, drawn)
	switch {
	case i < 0:
		return c, placedOtherwise
	case w.Home != "" && drawn[i].ID == w.Home:
		return drawn[i], placedAtHome
	case drawn[i].IsInviting:
		return drawn[i], placedInvited
	}
	return drawn[i], placedDrawn
}

// work returns what the turn is expected to need. While it is not known what the home's cache
// saves, the whole prompt counts as cached, so that it becomes known.
func (t *turn) work() chooser.Work {
	u := t.Endpoints.Usual(t.service, t.route.Name)
	tokens := time.Duration(max(t.call.PromptTokens, 1))
	w := chooser.Work{
		DataCentre: t.DataCentre, Prefill: u.Prefill * tokens, Generation: u.Generation, Turnover: u.Turnover,
		Home: t.home, Cached: u.Prefill * tokens,
	}
	if u.HomePrefill > 0 {
		w.Cached = max(u.Prefill-u.HomePrefill, 0) * tokens
	}
	return w
}

// work returns what the call is expected to need.
func (x *exchange) work() chooser.Work {
	u := x.Endpoints.Usual(x.service, x.route.Name)
	return chooser.Work{DataCentre: x.DataCentre, Prefill: u.Prefill, Turnover: u.Turnover}
}

// attempt is the course of one attempt of a turn.
type attempt struct {
	// isPartial is true if the attempt resumes a stream.
	isPartial   bool
	first, last time.Time
	events      int
}

// count counts an event.
func (a *attempt) count() {
	a.last = time.Now()
	if a.events == 0 {
		a.first = a.last
	}
	a.events++
}

// recordAttempt records what the attempt that served the turn shows of the endpoint.
func (t *turn) recordAttempt(c registrar.Candidate, sentAt time.Time, head ResponseHead) {
	if t.attempt.events == 0 || t.attempt.isPartial {
		return
	}
	t.Endpoints.RecordServed(c.Endpoint, registrar.Sample{
		Kind: t.route.Name, Tokens: t.call.PromptTokens, IsHome: c.ID == t.home, Load: head.Load, MayHaveWaited: mayHaveWaited(c),
		Prefill: t.attempt.first.Sub(sentAt), Generation: t.attempt.last.Sub(t.attempt.first), Events: t.attempt.events,
	})
}

// recordCall records what a served call shows of the endpoint.
func (x *exchange) recordCall(c registrar.Candidate, sentAt time.Time, head ResponseHead) {
	x.Endpoints.RecordServed(c.Endpoint, registrar.Sample{
		Kind: x.route.Name, Load: head.Load, MayHaveWaited: mayHaveWaited(c), Prefill: time.Since(sentAt),
	})
}

// mayHaveWaited reports whether the candidate had no free slot when a request was sent.
func mayHaveWaited(c registrar.Candidate) bool { return c.Slots > 0 && c.Load >= float64(c.Slots) }
