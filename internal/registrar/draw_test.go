package registrar_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// fleet returns registries that know the same endpoints.
func fleet(n int, endpoints ...registrar.Endpoint) []*registrar.Registry {
	var out []*registrar.Registry
	for range n {
		r := registrar.New()
		r.Replace(endpoints)
		out = append(out, r)
	}
	return out
}

// ask exchanges observations as a call to a bookkeeper does, encoded as on the wire.
func ask(t *testing.T, instance, bookkeeper *registrar.Registry) {
	t.Helper()
	bookkeeper.Merge(carry(t, instance.ObservationsFor("bookkeeper")))
	instance.Merge(carry(t, bookkeeper.Observations()))
}

func carry(t *testing.T, in []registrar.Observation) (out []registrar.Observation) {
	t.Helper()
	text, err := cbor.Marshal(in)
	if err == nil {
		err = cbor.Unmarshal(text, &out)
	}
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// homeLoad returns the load at which the registry estimates the endpoint.
func homeLoad(r *registrar.Registry, id string) float64 {
	return r.Draw(nil, "s", id, "")[0].Load
}

// Instances that know the same report sent to the same endpoint, as none knew of the requests
// of the others. The bookkeeper tells them, each request once.
func TestBookkeepersTellOfRequestsSinceTheReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := fleet(3, newEndpoint("a"))
		first, second, bookkeeper := all[0], all[1], all[2]
		first.Report("a", registrar.Load{Running: 2, Slots: 8})
		ask(t, first, bookkeeper)
		time.Sleep(10 * time.Millisecond)
		for range 3 {
			first.Begin("a")
		}
		time.Sleep(10 * time.Millisecond)
		first.End("a", registrar.Served)
		ask(t, first, bookkeeper)
		ask(t, first, bookkeeper)
		second.Begin("a")
		ask(t, second, bookkeeper)
		check := func(when string, want ...float64) {
			t.Helper()
			var got []float64
			for _, r := range all {
				got = append(got, homeLoad(r, "a"))
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("%s: %s", when, diff)
			}
		}
		// The first has not asked since the second one's request.
		check("after the requests", 4, 5, 5)
		time.Sleep(time.Millisecond)
		second.Report("a", registrar.Load{Running: 6, Slots: 8})
		ask(t, second, bookkeeper)
		ask(t, first, bookkeeper)
		check("a new report contains them", 6, 6, 6)
		time.Sleep(3 * time.Second)
		check("without a report only own requests count", 2, 1, 0)
	})
}

// Figures of another instance that are wrong or hostile have a bounded effect.
func TestImplausibleObservationsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := fleet(1, newEndpoint("a"))[0]
		r.Report("a", registrar.Load{Running: 2, Slots: 8})
		time.Sleep(time.Millisecond)
		many := make([]int, 100_000)
		for i := range many {
			many[i] = 1
		}
		started := time.UnixMilli(1).UnixMilli()
		r.Merge([]registrar.Observation{
			{ID: "a", Age: time.Hour, Changes: many, StartedMillis: started, StatedSpeed: &registrar.StatedSpeed{Prefill: 1, PrefillSamples: 1 << 40}},
			{ID: "a", Age: time.Hour, Changes: []int{0, -1 << 62, 1 << 62}, PacePercent: -5},
		})
		c := r.Draw(nil, "s", "a", "")[0]
		if c.Load > 300 || c.Speed != (registrar.Speed{}) || c.Pace < 0 {
			t.Errorf("got %+v", c)
		}
	})
}

// An endpoint that had a free place when a request ended there gets the next one, once, and
// not after it left or failed, or long after.
func TestInvitations(t *testing.T) {
	served := func(load registrar.Load) registrar.Sample {
		return registrar.Sample{Kind: "r", Load: &load, Prefill: time.Millisecond}
	}
	for _, tc := range []struct {
		name   string
		sample registrar.Sample
		then   func(*registrar.Registry, registrar.Endpoint)
		want   bool
	}{
		{"free places", served(registrar.Load{Running: 8}), func(*registrar.Registry, registrar.Endpoint) {}, true},
		{"waiting requests", served(registrar.Load{Running: 8, Waiting: 1}), func(*registrar.Registry, registrar.Endpoint) {}, false},
		{"no load", registrar.Sample{Prefill: 1}, func(*registrar.Registry, registrar.Endpoint) {}, false},
		{"later", served(registrar.Load{}), func(*registrar.Registry, registrar.Endpoint) { time.Sleep(3 * time.Second) }, false},
		{"left", served(registrar.Load{}), func(r *registrar.Registry, e registrar.Endpoint) { r.ReportLeave(e) }, false},
		{"failed", served(registrar.Load{}), func(r *registrar.Registry, e registrar.Endpoint) { r.Begin(e.ID); r.End(e.ID, registrar.Failed) }, false},
		{"another process", served(registrar.Load{}), func(r *registrar.Registry, e registrar.Endpoint) {
			e.Started = e.Started.Add(time.Second)
			r.Replace([]registrar.Endpoint{e})
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := fleet(1, newEndpoint("a"))[0]
				r.RecordServed(newEndpoint("a"), tc.sample)
				tc.then(r, newEndpoint("a"))
				count := 0
				// One of eight draws takes no invitation.
				for range 100 {
					for _, c := range r.Draw(nil, "s", "", "") {
						if c.IsInviting {
							count++
						}
					}
				}
				if got := count == 1; got != tc.want || count > 1 {
					t.Errorf("%d invitations", count)
				}
			})
		})
	}
}

// An endpoint that no request of this instance has reached is tried although another one
// invites after each request.
func TestNewEndpointIsTried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var endpoints []registrar.Endpoint
		for i := range 10 {
			endpoints = append(endpoints, newEndpoint(fmt.Sprint(i)))
		}
		r := fleet(1, endpoints...)[0]
		const draws = 4000
		tried := 0
		for range draws {
			r.RecordServed(endpoints[0], registrar.Sample{Kind: "r", Load: &registrar.Load{}, Prefill: time.Millisecond})
			for _, c := range r.Draw(nil, "s", "", "") {
				if c.ID == "9" {
					tried++
				}
			}
		}
		// One of eight draws has three of the ten endpoints.
		if tried < draws/80 || tried > draws/8 {
			t.Errorf("tried %d times of %d", tried, draws)
		}
	})
}

// An instance of the version before understands the observations, and its own are understood.
func TestObservationsOfOtherVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		type before struct {
			ID      string        `cbor:"1,keyasint"`
			Running int           `cbor:"2,keyasint"`
			Waiting int           `cbor:"3,keyasint"`
			Slots   int           `cbor:"4,keyasint"`
			Age     time.Duration `cbor:"5,keyasint"`
		}
		all := fleet(2, newEndpoint("a"))
		all[0].Report("a", registrar.Load{Running: 3, Waiting: 1, Slots: 8, Pace: 2.5})
		all[0].Begin("a")
		all[0].RecordServed(newEndpoint("a"), registrar.Sample{Kind: "r", Load: &registrar.Load{}, Prefill: time.Millisecond})
		text, err := cbor.Marshal(all[0].ObservationsFor("b"))
		if err != nil {
			t.Fatal(err)
		}
		var old []before
		if err := cbor.Unmarshal(text, &old); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]before{{ID: "a", Running: 3, Waiting: 1, Slots: 8}}, old); diff != "" {
			t.Error(diff)
		}
		text, err = cbor.Marshal(old)
		if err != nil {
			t.Fatal(err)
		}
		var observations []registrar.Observation
		if err := cbor.Unmarshal(text, &observations); err != nil {
			t.Fatal(err)
		}
		all[1].Merge(observations)
		if c := all[1].Draw(nil, "s", "a", "")[0]; c.Load != 4 || c.Pace != 0 || c.Speed != (registrar.Speed{}) {
			t.Errorf("got %+v", c)
		}
	})
}
