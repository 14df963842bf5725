package relayer

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/admitter"
	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/apportioner"
	"github.com/wigeonstand/wigeonstand/internal/estimator"
	"github.com/wigeonstand/wigeonstand/internal/matcher"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// A program without a target, or with one that overflows, must not count as late: the turn's
// own deadline bounds it, which the route's timeout limits.
func TestOrderWithoutAPlausibleTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		needs := estimator.New()
		for _, id := range []string{"a", "b"} {
			for range 4 {
				needs.Begin(id, "r", 2*time.Second, true)
				needs.End(estimator.Turn{Program: id, Route: "r", Took: 100 * time.Millisecond})
				time.Sleep(300 * time.Millisecond)
			}
		}
		time.Sleep(5 * time.Second)
		for _, tc := range []struct {
			call Call
			want admitter.Order
		}{
			{Call{ProgramTimeLeft: 2 * time.Second, HasProgramDeadline: true}, admitter.Order{Left: 2 * time.Second, Rest: time.Second, Target: 2 * time.Second}},
			{Call{}, admitter.Order{Left: 3 * time.Second, Rest: 100 * time.Millisecond}},
			{Call{ProgramTimeLeft: -1 << 63, HasProgramDeadline: true}, admitter.Order{Left: 3 * time.Second, Rest: 100 * time.Millisecond}},
			{Call{ProgramTimeLeft: 1 << 62, HasProgramDeadline: true}, admitter.Order{Left: 3 * time.Second, Rest: 100 * time.Millisecond}},
		} {
			x := &exchange{
				Relayer: New(Config{Needs: needs}), call: tc.call, route: &matcher.Route{Name: "r", Priority: 1},
				arrival: time.Now(), deadline: time.Now().Add(3 * time.Second),
			}
			tc.want.Priority, tc.want.First, tc.want.HasTarget = 1, true, true
			if diff := cmp.Diff(tc.want, (&turn{exchange: x, isFirst: true}).order()); diff != "" {
				t.Errorf("%+v: %s", tc.call, diff)
			}
		}
	})
}

// refusalDialect encodes no refusal.
type refusalDialect struct{ Dialect }

func (refusalDialect) EncodeRefusal(http.Header, string, time.Duration) {}

// admission records what was decided on new programs.
type admission struct {
	Metrics
	admitted, refused int
}

func (a *admission) ObserveContention(admitter.Contention) {}
func (a *admission) CountRefusal(answerer.Kind, string)    {}

func (a *admission) CountProgram(_ string, _ admitter.Resource, result string) {
	if result != "Refused" {
		a.admitted++
	} else {
		a.refused++
	}
}

// A program that is not refused at once has cost its caller more than the refusal saves, one
// that is under way has taken room, and none is refused while there are free places: each of
// them is admitted, whatever the share of its account.
func TestAdmissionByNeed(t *testing.T) {
	all := 1.0
	for _, tc := range []struct {
		name       string
		load       int
		elapsed    time.Duration
		isUnderWay bool
		share      *float64
		want       bool
	}{
		{"engines with free places", 5, 0, false, nil, true},
		{"full engines, own share", 13, 0, false, nil, false},
		{"full engines, the bookkeeper's share", 9, 0, false, &all, false},
		{"full engines after a quarter of the target latency", 13, 70 * time.Millisecond, false, &all, true},
		{"under way at full engines", 13, 0, true, &all, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				registry, needs, metrics := registrar.New(), estimator.New(), &admission{}
				registry.Replace([]registrar.Endpoint{{ID: "e", Service: "s", Slots: 6}})
				registry.Report("e", registrar.Load{Running: min(tc.load, 6), Waiting: max(tc.load-6, 0), Slots: 6})
				if tc.isUnderWay {
					needs.Begin("p", "r", time.Second, true)
					needs.End(estimator.Turn{Program: "p", Route: "r", Took: time.Millisecond})
				}
				rl := New(Config{
					Endpoints: registry, Needs: needs, Shares: apportioner.New(), Metrics: metrics, Dialect: refusalDialect{},
					Policy: Policy{ByNeed: true, Admission: admitter.Policy{SoftLimit: 1.2, HardLimit: 2, MinRetryAfter: 200 * time.Millisecond}},
				})
				writer := httptest.NewRecorder()
				x := &turn{isFirst: true, refusedShare: tc.share, exchange: &exchange{
					Relayer: rl, table: matcher.New(1, matcher.Limits{}, nil, nil), service: "s", writer: writer,
					route: &matcher.Route{Name: "r", TargetLatency: 250 * time.Millisecond}, call: Call{Program: "p", PromptTokens: 900},
					arrival: time.Now(), deadline: time.Now().Add(3 * time.Second),
				}}
				time.Sleep(tc.elapsed)
				if got := x.admit(registry.Candidates("s")); got != tc.want || (writer.Code == http.StatusServiceUnavailable) == got {
					t.Errorf("admitted %v, status %d, %+v", got, writer.Code, x.access)
				}
				if x.isFirst && metrics.admitted+metrics.refused != 1 {
					t.Errorf("%+v", metrics)
				}
			})
		})
	}
}
