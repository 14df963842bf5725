package watcher_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/bootstrapper"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/matcher"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/internal/watcher"
	"github.com/wigeonstand/wigeonstand/platform"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

var (
	configuration = storer.RowKey{Table: "configuration", Name: "newest"}
	malformed     = "malformed"
)

type malformedError struct{}

func (malformedError) Error() string { return malformed }

// source decodes a configuration from its version, and an endpoint from its state.
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

// runTest calls test with a Watcher that has read the first configuration and the
// endpoints a and b.
func runTest(t *testing.T, test func(t *testing.T, rows *fakeplatform.Rows, w *watcher.Watcher, r *registrar.Registry)) {
	synctest.Test(t, func(t *testing.T) {
		rows, registry := fakeplatform.NewRows(1), registrar.New()
		rows.Put(configuration, []byte("1"))
		rows.Put(endpoint("a"), []byte("ready"))
		rows.Put(endpoint("b"), []byte("ready"))
		w := watcher.New(source(), boundedRows{rows.For("x")}, registry)
		poll(t, w)
		test(t, rows, w, registry)
	})
}

func poll(t *testing.T, w *watcher.Watcher) {
	t.Helper()
	if err := w.Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
}

func count(r *registrar.Registry) int { return len(r.Candidates("s")) }

func TestOlderConfigurationIsIgnored(t *testing.T) {
	runTest(t, func(t *testing.T, rows *fakeplatform.Rows, w *watcher.Watcher, _ *registrar.Registry) {
		for _, step := range []struct {
			text string
			want int64
		}{{"3", 3}, {"2", 3}, {malformed, 3}, {"4", 4}} {
			rows.Put(configuration, []byte(step.text))
			poll(t, w)
			if diff := cmp.Diff(step.want, w.Table().Version); diff != "" {
				t.Errorf("after %s: %s", step.text, diff)
			}
		}
	})
}

func TestEndpointsAreAddedDrainedAndRemoved(t *testing.T) {
	runTest(t, func(t *testing.T, rows *fakeplatform.Rows, w *watcher.Watcher, r *registrar.Registry) {
		if diff := cmp.Diff(2, count(r)); diff != "" {
			t.Fatal(diff)
		}
		rows.Put(endpoint("a"), []byte("leaving"))
		rows.Put(endpoint("c"), []byte(malformed))
		time.Sleep(time.Second)
		poll(t, w)
		if diff := cmp.Diff(1, count(r)); diff != "" {
			t.Error(diff)
		}
		rows.Remove(endpoint("b"))
		time.Sleep(time.Second)
		poll(t, w)
		if diff := cmp.Diff(0, count(r)); diff != "" {
			t.Error(diff)
		}
	})
}

// Registrations that lapse during a store outage are kept until they are renewed,
// and removed if they are not renewed within the grace period.
func TestLapsedRegistrationsAreKeptForTwoSeconds(t *testing.T) {
	runTest(t, func(t *testing.T, rows *fakeplatform.Rows, w *watcher.Watcher, r *registrar.Registry) {
		rows.Remove(endpoint("a"))
		rows.Remove(endpoint("b"))
		time.Sleep(5 * time.Second)
		poll(t, w)
		if diff := cmp.Diff(2, count(r)); diff != "" {
			t.Fatal(diff)
		}
		rows.Put(endpoint("a"), []byte("ready"))
		for range 5 {
			time.Sleep(500 * time.Millisecond)
			poll(t, w)
		}
		if diff := cmp.Diff(1, count(r)); diff != "" {
			t.Error(diff)
		}
	})
}

// An instance with a configuration but no endpoints would refuse all requests.
func TestIsCompleteRequiresEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		rows.Put(configuration, []byte("1"))
		w := watcher.New(source(), configurationOnly{rows.For("x")}, registrar.New())
		if err := w.Poll(t.Context()); err == nil || w.Table() == nil || w.IsComplete() {
			t.Errorf("got table %v, complete %v, error %v; want a table, incomplete, an error", w.Table(), w.IsComplete(), err)
		}
	})
}

// boundedRows ends calls without a response.
type boundedRows struct{ storer.Rows }

const responseTimeout = 250 * time.Millisecond

func (c boundedRows) List(ctx context.Context, r storer.Range) (storer.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	return c.Rows.List(ctx, r)
}

func (c boundedRows) Changes(ctx context.Context, table string, after int64, wait time.Duration) (storer.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	return c.Rows.Changes(ctx, table, after, wait)
}

// configurationOnly fails all reads but that of the configuration.
type configurationOnly struct{ storer.Rows }

func (c configurationOnly) List(ctx context.Context, r storer.Range) (storer.Page, error) {
	if r.Table != configuration.Table {
		return storer.Page{}, storer.ErrUnavailable
	}
	return c.Rows.List(ctx, r)
}

func TestLastStateIsKeptDuringOutage(t *testing.T) {
	runTest(t, func(t *testing.T, rows *fakeplatform.Rows, w *watcher.Watcher, r *registrar.Registry) {
		rows.SetFaults(fakeplatform.RowFaults{Outage: true})
		if err := w.Poll(t.Context()); err == nil {
			t.Error("got no error during the outage")
		}
		if w.Table() == nil || count(r) != 2 {
			t.Error("the table or the endpoints were dropped during the outage")
		}
	})
}

// Full reads overload the store: in a deployment of 300 instances each read and
// decoded 2,998 registrations twice a second.
func TestUnchangedRegistrationsAreDecodedOnce(t *testing.T) {
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
		w := watcher.New(s, rows.For("x"), registry)
		for range polls {
			poll(t, w)
		}
		rows.Put(endpoint("0"), []byte("leaving"))
		poll(t, w)
		if lists := rows.Counts().Lists; lists != 2 || decoded != registrations+1 {
			t.Errorf("got %d lists and %d decoded registrations, want 2 and %d", lists, decoded, registrations+1)
		}
	})
}

func TestChangesAreAppliedWithoutDelay(t *testing.T) {
	runTest(t, func(t *testing.T, rows *fakeplatform.Rows, w *watcher.Watcher, r *registrar.Registry) {
		go w.Run(t.Context())
		time.Sleep(10 * time.Second)
		feeds := rows.Counts().Feeds
		if feeds > 24 {
			t.Errorf("got %d calls in 10 s without a change, want at most 24", feeds)
		}
		rows.Put(endpoint("a"), []byte("leaving"))
		rows.Put(configuration, []byte("2"))
		time.Sleep(150 * time.Millisecond)
		if diff := cmp.Diff(1, count(r)); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(int64(2), w.Table().Version); diff != "" {
			t.Error(diff)
		}
	})
}

// Registrations may lapse in outages of any length, also if the outage begins
// while a call waits for changes.
func TestLapsedRegistrationsAreKeptAfterOutage(t *testing.T) {
	for _, length := range []time.Duration{1700 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		for _, faults := range []fakeplatform.RowFaults{{Outage: true}, {Silent: true}} {
			runTest(t, func(t *testing.T, rows *fakeplatform.Rows, w *watcher.Watcher, r *registrar.Registry) {
				go w.Run(t.Context())
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

// Guards against a configuration that counts as confirmed although the store did not answer, be it
// the last known one or a copy of another instance's.
func TestConfirmedAtIsTheLastAnswerOfTheStore(t *testing.T) {
	runTest(t, func(t *testing.T, rows *fakeplatform.Rows, w *watcher.Watcher, _ *registrar.Registry) {
		first := w.ConfirmedAt()
		if diff := cmp.Diff(time.Now(), first); diff != "" {
			t.Error(diff)
		}
		time.Sleep(time.Second)
		rows.SetFaults(fakeplatform.RowFaults{Outage: true})
		if w.Poll(t.Context()) == nil || !w.ConfirmedAt().Equal(first) {
			t.Errorf("confirmed at %s during an outage that began after %s", w.ConfirmedAt(), first)
		}
		copies := copyOf{storer.Page{Version: 5, Records: []storer.Record{{RowKey: configuration, Value: []byte("1"), Version: 5}}}}
		started := watcher.New(source(), boundedRows{rows.For("y")}, registrar.New(), watcher.WithBootstrapper(copies))
		poll(t, started)
		if started.Table() == nil || !started.ConfirmedAt().IsZero() {
			t.Errorf("table %v confirmed at %s; want one, not confirmed", started.Table(), started.ConfirmedAt())
		}
		rows.SetFaults(fakeplatform.RowFaults{})
		poll(t, w)
		if diff := cmp.Diff(time.Now(), w.ConfirmedAt()); diff != "" {
			t.Error(diff)
		}
	})
}

// copyOf provides the page as the copy of every table.
type copyOf struct{ page storer.Page }

func (copyOf) Register(bootstrapper.Table, func() (storer.Page, bool)) {}

func (c copyOf) Fetch(context.Context, bootstrapper.Table) (storer.Page, error) { return c.page, nil }

// Instances that read an odd entry among the registrations ended, or followed the list no more.
func TestRegistrationsAreFollowedBesideOddOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows, registry := fakeplatform.NewRows(1), registrar.New()
		odd := standin.MalformedRegistrations()
		w := watcher.New(watcher.Source{
			ConfigurationKey: storer.RowKey{Table: platform.TableConfiguration, Name: platform.KeyConfiguration},
			EndpointTable:    platform.TableEndpoints, DecodeTable: platform.DecodeConfiguration, DecodeEndpoint: platform.DecodeEndpoint,
		}, boundedRows{rows.For("x")}, registry)
		var want []string
		for i, text := range odd {
			rows.Put(storer.RowKey{Table: platform.TableEndpoints, Name: fmt.Sprintf("odd-%d", i)}, []byte(text))
			id := fmt.Sprintf("sound-%d", i)
			want = append(want, id)
			sound := standin.Registration{ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: "z", Slots: 1}
			if err := standin.Register(rows, sound); err != nil {
				t.Fatal(err)
			}
			poll(t, w)
			if diff := cmp.Diff(i+1, count(registry)); diff != "" {
				t.Fatalf("beside %.100s: %s", text, diff)
			}
		}
		for i, id := range want { // A sound registration becomes odd, and an odd one is removed.
			rows.Put(storer.RowKey{Table: platform.TableEndpoints, Name: id}, []byte(odd[i]))
			rows.Remove(storer.RowKey{Table: platform.TableEndpoints, Name: fmt.Sprintf("odd-%d", i)})
			poll(t, w)
			if diff := cmp.Diff(len(want)-i-1, count(registry)); diff != "" {
				t.Fatalf("after %.100s: %s", odd[i], diff)
			}
		}
	})
}
