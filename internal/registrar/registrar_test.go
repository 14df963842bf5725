package registrar_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

func one(id string) registrar.Endpoint {
	return registrar.Endpoint{ID: id, Service: "s", Slots: 8, Started: time.UnixMilli(1)}
}

func only(t *testing.T, r *registrar.Registry) registrar.Candidate {
	t.Helper()
	candidates := r.Candidates("s")
	if len(candidates) != 1 {
		t.Fatalf("%d candidates", len(candidates))
	}
	return candidates[0]
}

func TestLoadCountsWhatWasSentSinceTheReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := registrar.New()
		r.Replace([]registrar.Endpoint{one("a")})
		r.Begin("a")
		if got := only(t, r); got.Load != 1 || got.Age != -1 {
			t.Errorf("without a report: %+v", got)
		}
		r.Report("a", registrar.Load{Running: 5, Waiting: 2, Slots: 8})
		r.Begin("a")
		if got := only(t, r).Load; got != 8 {
			t.Errorf("load %v after a report of 7 and one more", got)
		}
		time.Sleep(3 * time.Second)
		if got := only(t, r); got.Load != 2 || got.Age != -1 {
			t.Errorf("an old report still counts: %+v", got)
		}
	})
}

func TestNotesCarryLoadsToOtherInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := registrar.New(), registrar.New()
		for _, r := range []*registrar.Registry{a, b} {
			r.Replace([]registrar.Endpoint{one("a")})
		}
		a.Report("a", registrar.Load{Running: 6, Slots: 8})
		time.Sleep(100 * time.Millisecond)
		b.Merge(a.Observations())
		if got := only(t, b); got.Load != 6 || got.Age != 100*time.Millisecond {
			t.Errorf("got %+v", got)
		}
		b.Report("a", registrar.Load{Running: 1, Slots: 8})
		b.Merge(a.Observations())
		if got := only(t, b).Load; got != 1 {
			t.Errorf("an older note replaced a newer report: %v", got)
		}
		time.Sleep(time.Second)
		if diff := cmp.Diff(0, len(a.Observations())); diff != "" {
			t.Error(diff)
		}
	})
}

func TestFailuresAreAvoidedForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := registrar.New()
		r.Replace([]registrar.Endpoint{one("a")})
		for range 3 {
			r.Begin("a")
			r.End("a", registrar.Failed)
		}
		if !only(t, r).Avoid {
			t.Error("not avoided after three failures")
		}
		time.Sleep(5 * time.Second)
		if only(t, r).Avoid {
			t.Error("avoided for good")
		}
		r.Begin("a")
		r.End("a", registrar.Neutral)
		if got := only(t, r); got.Avoid || got.Outstanding != 0 {
			t.Errorf("got %+v", got)
		}
	})
}

// An endpoint that starts again under its ID holds nothing of before.
func TestRestartedEndpointIsNew(t *testing.T) {
	r := registrar.New()
	before, after := one("a"), one("a")
	after.Started = time.UnixMilli(2)
	r.Replace([]registrar.Endpoint{before})
	r.Begin("a")
	r.Report("a", registrar.Load{Running: 8})
	changes := r.Replace([]registrar.Endpoint{after})
	if len(changes.Added) != 1 || r.IsRegistered(before) || !r.IsRegistered(after) {
		t.Errorf("%+v", changes)
	}
	if got := only(t, r); got.Load != 0 {
		t.Errorf("load %v of the process before", got.Load)
	}
	r.End("a", registrar.Served)
	if got := only(t, r).Outstanding; got != 0 {
		t.Errorf("own count %d", got)
	}
}

func TestLeavingEndpointsGetNoWork(t *testing.T) {
	r := registrar.New()
	leaving := one("a")
	leaving.Leaving = true
	r.Replace([]registrar.Endpoint{one("a"), one("b")})
	changes := r.Replace([]registrar.Endpoint{leaving})
	if len(changes.Leaving) != 1 || len(changes.Removed) != 1 || len(r.Candidates("s")) != 0 {
		t.Errorf("%+v, %d candidates", changes, len(r.Candidates("s")))
	}
}

// Replays endpoints that go down and up (Laulukaar grown trouble-3): each of 80
// instances had to fail at each of them by itself.
func TestFailuresAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := []registrar.Endpoint{{ID: "down", Service: "s"}, {ID: "up", Service: "s"}}
		here, there := registrar.New(), registrar.New()
		here.Replace(endpoints)
		there.Replace(endpoints)
		avoided := func(r *registrar.Registry) bool {
			for _, c := range r.Candidates("s") {
				if c.ID == "down" {
					return c.Avoid
				}
			}
			t.Fatal("no candidate")
			return false
		}
		fail := func() {
			here.Begin("down")
			here.End("down", registrar.Failed)
		}
		fail()
		time.Sleep(50 * time.Millisecond)
		there.Merge(here.Observations())
		if !avoided(there) {
			t.Error("another instance's failure is not heeded")
		}
		time.Sleep(2 * time.Second)
		if avoided(there) {
			t.Error("a failure of two seconds ago is still heeded")
		}
		fail()
		time.Sleep(50 * time.Millisecond)
		here.Report("down", registrar.Load{Running: 1, Slots: 8})
		there.Merge(here.Observations())
		if avoided(there) {
			t.Error("an endpoint that answered after its failure is avoided")
		}
		// What is told again and again is heeded once.
		fail()
		time.Sleep(50 * time.Millisecond)
		notes := here.Observations()
		for range 40 {
			there.Merge(notes)
			time.Sleep(50 * time.Millisecond)
			for i := range notes {
				notes[i].Age += 50 * time.Millisecond
				notes[i].FailedAge += 50 * time.Millisecond
			}
		}
		if avoided(there) {
			t.Error("an old failure is told for ever")
		}
	})
}

// Instances talk all the time; a failure that each tells on must grow old.
func TestFailureDoesNotGoRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var all []*registrar.Registry
		for range 3 {
			r := registrar.New()
			r.Replace([]registrar.Endpoint{{ID: "x", Service: "s"}, {ID: "y", Service: "s"}})
			all = append(all, r)
		}
		keeper := all[0]
		all[1].Begin("x")
		all[1].End("x", registrar.Failed)
		heeded := 0
		for range 100 {
			for _, r := range all[1:] {
				there := r.Observations()
				time.Sleep(50 * time.Millisecond)
				keeper.Merge(there)
				back := keeper.Observations()
				time.Sleep(50 * time.Millisecond)
				r.Merge(back)
			}
			for _, c := range all[2].Candidates("s") {
				if c.Avoid {
					heeded++
				}
			}
		}
		if heeded == 0 || heeded > 10 {
			t.Errorf("a failure was heeded in %d of 100 rounds of 0.2 s", heeded)
		}
	})
}
