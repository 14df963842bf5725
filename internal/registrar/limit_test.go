package registrar_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// A response that was sent before the limit was stated may arrive after it, and the
// registration may lapse and return meanwhile; neither ends the limit.
func TestLimitHoldsUntilALaterResponseStatesNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := registrar.New()
		endpoint := newEndpoint("a")
		r.Replace([]registrar.Endpoint{endpoint})
		limit := registrar.Limit{IsSet: true, Rate: 6}
		check := func(when string, want registrar.Limit) {
			t.Helper()
			if diff := cmp.Diff(want, r.Candidates("s")[0].Limit); diff != "" {
				t.Errorf("%s: %s", when, diff)
			}
		}
		sentBefore := time.Now()
		time.Sleep(time.Millisecond)
		if _, isNew := r.ReportLimit(endpoint, limit, sentBefore); !isNew {
			t.Error("the limit is news")
		}
		check("stated", limit)
		time.Sleep(time.Millisecond)
		r.ReportLimit(endpoint, registrar.Limit{}, sentBefore)
		check("a response that was overtaken", limit)
		r.Replace(nil)
		r.Replace([]registrar.Endpoint{endpoint})
		check("registered again", limit)
		restarted := endpoint
		restarted.Started = endpoint.Started.Add(time.Second)
		r.Replace([]registrar.Endpoint{restarted})
		check("a new process under the ID", registrar.Limit{})
		r.Replace([]registrar.Endpoint{endpoint})
		check("the old process", limit)
		if before, isNew := r.ReportLimit(endpoint, registrar.Limit{}, time.Now()); !isNew || before != limit {
			t.Errorf("the end of limit %v is news", before)
		}
		check("a later response without a limit", registrar.Limit{})
	})
}

// An instance learns of a limit and of its end with the loads, also before it reads the
// registration, as after a restart. A statement is not passed on for ever.
func TestLimitIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoint, limit := newEndpoint("a"), registrar.Limit{IsSet: true, Rate: 6}
		source, bookkeeper, last, none := registrar.New(), registrar.New(), registrar.New(), registrar.New()
		source.Replace([]registrar.Endpoint{endpoint})
		bookkeeper.Replace([]registrar.Endpoint{endpoint})
		forward := func() {
			time.Sleep(time.Second)
			bookkeeper.Merge(source.Observations())
			last.Merge(bookkeeper.Observations())
			last.Replace([]registrar.Endpoint{endpoint})
			none.Merge(last.Observations())
			none.Replace([]registrar.Endpoint{endpoint})
		}
		check := func(want ...registrar.Limit) {
			t.Helper()
			var got []registrar.Limit
			for _, r := range []*registrar.Registry{bookkeeper, last, none} {
				got = append(got, onlyCandidate(t, r).Limit)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
		}
		source.ReportLimit(endpoint, limit, time.Now())
		forward()
		check(limit, limit, registrar.Limit{})
		if got := onlyCandidate(t, last).LimitAge; got != time.Second {
			t.Errorf("age %v of the forwarded limit", got)
		}
		source.ReportLimit(endpoint, registrar.Limit{}, time.Now())
		// An instance that had the limit last does not bring it back.
		source.Merge(last.Observations())
		forward()
		check(registrar.Limit{}, registrar.Limit{}, registrar.Limit{})
	})
}
