package watcher_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/matcher"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/internal/watcher"
)

var (
	configuration = storer.RowKey{Table: "configuration", Name: "newest"}
	malformed     = "malformed"
)

type malformedError struct{}

func (malformedError) Error() string { return malformed }

// source decodes texts of one byte: a version, or a state of an endpoint.
func source() watcher.Source {
	return watcher.Source{
		ConfigurationKey: configuration, EndpointTable: "endpoints",
		DecodeTable: func(text []byte) (*matcher.Table, error) {
			if string(text) == malformed {
				return nil, malformedError{}
			}
			return matcher.New(int64(text[0]-'0'), matcher.Limits{}, nil, nil), nil
		},
		DecodeEndpoint: func(id string, text []byte) (registrar.Endpoint, error) {
			if string(text) == malformed {
				return registrar.Endpoint{}, malformedError{}
			}
			return registrar.Endpoint{ID: id, Service: "s", Leaving: string(text) == "leaving"}, nil
		},
	}
}

func endpoint(id string) storer.RowKey { return storer.RowKey{Table: "endpoints", Name: id} }

func play(t *testing.T, test func(t *testing.T, rows *fakeplatform.Rows, f *watcher.Watcher, r *registrar.Registry)) {
	synctest.Test(t, func(t *testing.T) {
		rows, registry := fakeplatform.NewRows(1), registrar.New()
		rows.Put(configuration, []byte("1"))
		rows.Put(endpoint("a"), []byte("ready"))
		rows.Put(endpoint("b"), []byte("ready"))
		f := watcher.New(source(), bounded{rows.For("x")}, registry)
		poll(t, f)
		test(t, rows, f, registry)
	})
}

func poll(t *testing.T, f *watcher.Watcher) {
	t.Helper()
	if err := f.Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
}

func count(r *registrar.Registry) int { return len(r.Candidates("s")) }

func TestConfigurationNeverGoesBack(t *testing.T) {
	play(t, func(t *testing.T, rows *fakeplatform.Rows, f *watcher.Watcher, _ *registrar.Registry) {
		for _, step := range []struct {
			text string
			want int64
		}{{"3", 3}, {"2", 3}, {malformed, 3}, {"4", 4}} {
			rows.Put(configuration, []byte(step.text))
			poll(t, f)
			if diff := cmp.Diff(step.want, f.Table().Version); diff != "" {
				t.Errorf("after %s: %s", step.text, diff)
			}
		}
	})
}

func TestEndpointsComeLeaveAndGo(t *testing.T) {
	play(t, func(t *testing.T, rows *fakeplatform.Rows, f *watcher.Watcher, r *registrar.Registry) {
		if diff := cmp.Diff(2, count(r)); diff != "" {
			t.Fatal(diff)
		}
		rows.Put(endpoint("a"), []byte("leaving"))
		rows.Put(endpoint("c"), []byte(malformed))
		time.Sleep(time.Second)
		poll(t, f)
		if diff := cmp.Diff(1, count(r)); diff != "" {
			t.Error(diff)
		}
		rows.Remove(endpoint("b"))
		time.Sleep(time.Second)
		poll(t, f)
		if diff := cmp.Diff(0, count(r)); diff != "" {
			t.Error(diff)
		}
	})
}

// Registrations lapse while the store is away and are back soon after; one that
// is not back by then is gone.
func TestLapsedRegistrationsAreKeptForTwoSeconds(t *testing.T) {
	play(t, func(t *testing.T, rows *fakeplatform.Rows, f *watcher.Watcher, r *registrar.Registry) {
		rows.Remove(endpoint("a"))
		rows.Remove(endpoint("b"))
		time.Sleep(5 * time.Second)
		poll(t, f)
		if diff := cmp.Diff(2, count(r)); diff != "" {
			t.Fatal(diff)
		}
		rows.Put(endpoint("a"), []byte("ready"))
		for range 5 {
			time.Sleep(500 * time.Millisecond)
			poll(t, f)
		}
		if diff := cmp.Diff(1, count(r)); diff != "" {
			t.Error(diff)
		}
	})
}

// An instance that knows the configuration but no endpoint would refuse all.
func TestIsCompleteOnlyWithTheEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		rows.Put(configuration, []byte("1"))
		f := watcher.New(source(), half{rows.For("x")}, registrar.New())
		if err := f.Poll(t.Context()); err == nil || f.Table() == nil || f.IsComplete() {
			t.Errorf("table %v, complete %v, %v", f.Table(), f.IsComplete(), err)
		}
	})
}

// bounded ends calls that are not answered.
type bounded struct{ storer.Rows }

const patience = 250 * time.Millisecond

func (b bounded) List(ctx context.Context, r storer.Range) (storer.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	return b.Rows.List(ctx, r)
}

func (b bounded) Changes(ctx context.Context, table string, after int64, wait time.Duration) (storer.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+patience)
	defer cancel()
	return b.Rows.Changes(ctx, table, after, wait)
}

// half answers for the configuration only.
type half struct{ storer.Rows }

func (h half) List(ctx context.Context, r storer.Range) (storer.Page, error) {
	if r.Table != configuration.Table {
		return storer.Page{}, storer.ErrUnavailable
	}
	return h.Rows.List(ctx, r)
}

func TestOutageKeepsWhatIsKnown(t *testing.T) {
	play(t, func(t *testing.T, rows *fakeplatform.Rows, f *watcher.Watcher, r *registrar.Registry) {
		rows.SetFaults(fakeplatform.RowFaults{Outage: true})
		if err := f.Poll(t.Context()); err == nil {
			t.Error("no error")
		}
		if f.Table() == nil || count(r) != 2 {
			t.Error("an outage took away what was known")
		}
	})
}

// Replays a deployment of 300 instances: each read and decoded its 2,998
// registrations twice a second, and the store was overloaded.
func TestUnchangedRegistrationsAreReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const registrations, polls = 2998, 20
		rows, registry := fakeplatform.NewRows(1), registrar.New()
		rows.Put(configuration, []byte("1"))
		for i := range registrations {
			rows.Put(endpoint(fmt.Sprint(i)), []byte("ready"))
		}
		decoded := 0
		s := source()
		decode := s.DecodeEndpoint
		s.DecodeEndpoint = func(id string, text []byte) (registrar.Endpoint, error) {
			decoded++
			return decode(id, text)
		}
		f := watcher.New(s, rows.For("x"), registry)
		for range polls {
			poll(t, f)
		}
		rows.Put(endpoint("0"), []byte("leaving"))
		poll(t, f)
		if lists := rows.Counts().Lists; lists != 2 || decoded != registrations+1 {
			t.Errorf("%d lists, %d registrations decoded; want 2 and %d", lists, decoded, registrations+1)
		}
	})
}

func TestChangesAreKnownAtOnce(t *testing.T) {
	play(t, func(t *testing.T, rows *fakeplatform.Rows, f *watcher.Watcher, r *registrar.Registry) {
		go f.Run(t.Context())
		time.Sleep(10 * time.Second)
		feeds := rows.Counts().Feeds
		if feeds > 24 {
			t.Errorf("%d calls in 10 s without a change", feeds)
		}
		rows.Put(endpoint("a"), []byte("leaving"))
		rows.Put(configuration, []byte("2"))
		time.Sleep(150 * time.Millisecond)
		if diff := cmp.Diff(1, count(r)); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(int64(2), f.Table().Version); diff != "" {
			t.Error(diff)
		}
	})
}

// Registrations lapse in outages of all lengths, also when a call that waits for
// changes hides their begin.
func TestRegistrationsOutliveOutages(t *testing.T) {
	for _, length := range []time.Duration{1700 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		for _, faults := range []fakeplatform.RowFaults{{Outage: true}, {Silent: true}} {
			play(t, func(t *testing.T, rows *fakeplatform.Rows, f *watcher.Watcher, r *registrar.Registry) {
				go f.Run(t.Context())
				time.Sleep(10 * time.Second)
				rows.SetFaults(faults)
				time.Sleep(length)
				rows.Remove(endpoint("a"))
				rows.Remove(endpoint("b"))
				rows.SetFaults(fakeplatform.RowFaults{})
				for range 19 {
					time.Sleep(100 * time.Millisecond)
					if diff := cmp.Diff(2, count(r)); diff != "" {
						t.Fatalf("after %s, %+v: %s", length, faults, diff)
					}
				}
				time.Sleep(1200 * time.Millisecond)
				if diff := cmp.Diff(0, count(r)); diff != "" {
					t.Errorf("after %s, %+v: %s", length, faults, diff)
				}
			})
		}
	}
}
