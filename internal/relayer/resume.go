package relayer

import (
	"context"
	"slices"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/matcher"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/resumer"
)

const (
	// maxOriginSearches limits the searches for what began a stream, originSearchPause is
	// the time between two of them.
	maxOriginSearches = 3
	originSearchPause = 100 * time.Millisecond
	// confirmTimeout limits the read of the store that shows whether endpoints have joined.
	confirmTimeout = 300 * time.Millisecond
)

// findOrigin finds what began the stream that the caller resumes. It reports whether the
// turn may go on; if not, the request has been refused.
func (t *turn) findOrigin() bool {
	if !t.call.LastEvent.IsSet {
		return true
	}
	t.isFirst = false
	if t.route.Retained {
		t.refuseResumption("RetainedStream", "the turn would be recorded without the events before the resumption")
		return false
	}
	origin, isFound := t.lookUpOrigin()
	if !isFound {
		t.refuseResumption("UnknownVersion", "the software version that began the stream is not known")
		return false
	}
	t.origin = &origin
	if origin.Service != t.service && !slices.ContainsFunc(t.route.Services, func(s matcher.WeightedService) bool { return s.Service == origin.Service }) {
		t.refuseWithoutCandidates()
		return false
	}
	t.service = origin.Service
	return true
}

// lookUpOrigin returns what began the stream. If there is no record, it is the only version
// that the service had lately; a caller that doesn't say which stream it resumes has none.
//
// The search is repeated: an instance that has just started may not know the others yet, nor
// which versions they have seen, and a record may still be on its way.
func (t *turn) lookUpOrigin() (resumer.Origin, bool) {
	for attempt := 1; ; attempt++ {
		if t.call.Resumes != "" {
			if origin, isFound := t.Streams.Find(t.ctx, t.call.Resumes); isFound {
				return origin, true
			}
		}
		version, isOnly, isCertain := t.onlyVersion()
		if isOnly && isCertain {
			return resumer.Origin{Service: t.service, Version: version}, true
		}
		if t.call.Resumes == "" && !isOnly || attempt == maxOriginSearches || t.timeLeft() < minServiceTime {
			return resumer.Origin{}, false
		}
		timer := time.NewTimer(originSearchPause)
		select {
		case <-timer.C:
		case <-t.ctx.Done():
			timer.Stop()
			return resumer.Origin{}, false
		}
	}
}

// onlyVersion returns the only version that the service had lately. Other instances may have known
// of another one before this instance, and begun the stream there: it is certain only if the
// registrations were read after the request arrived.
func (t *turn) onlyVersion() (version string, isOnly, isCertain bool) {
	if version, isOnly, isCertain = t.Endpoints.OnlyVersion(t.service, t.arrival); !isOnly || isCertain {
		return version, isOnly, isCertain
	}
	ctx, cancel := context.WithTimeout(t.ctx, confirmTimeout)
	defer cancel()
	t.Registrations.ConfirmEndpoints(ctx, t.arrival)
	return t.Endpoints.OnlyVersion(t.service, t.arrival)
}

// candidates returns the endpoints at which the turn may run: those of the version that
// began its stream, once it has begun.
func (t *turn) candidates(excluded map[string]bool) []registrar.Candidate {
	candidates := t.exchange.candidates(excluded)
	if t.origin != nil {
		candidates = slices.DeleteFunc(candidates, func(c registrar.Candidate) bool { return c.Version != t.origin.Version })
	}
	return withoutFailed(candidates, t.failedBefore)
}

// withoutFailed returns the candidates but those that failed the session's turn, unless there
// is no other one. They may fail it again long after they are avoided no more.
func withoutFailed(candidates []registrar.Candidate, failed []string) []registrar.Candidate {
	others := slices.DeleteFunc(slices.Clone(candidates), func(c registrar.Candidate) bool { return slices.Contains(failed, c.ID) })
	if len(others) == 0 {
		return candidates
	}
	return others
}

// refuseWithoutCandidates refuses a turn that no endpoint can take.
func (t *turn) refuseWithoutCandidates() {
	if t.origin == nil {
		t.refuseUnplaced(nil)
		return
	}
	t.refuseResumption("VersionGone", "no endpoint of version "+t.origin.Version+", which began the stream, accepts requests")
}

// refuseResumption refuses a request that resumes a stream, as not run.
func (t *turn) refuseResumption(reason, detail string) {
	t.refuse(answerer.New(answerer.NoEndpoint, "%s", detail).WithRetryAfter(min(shortRetryAfter, t.timeLeft()/3)), reason)
}
