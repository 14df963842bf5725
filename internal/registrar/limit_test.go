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
