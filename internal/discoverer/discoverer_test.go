package discoverer_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

func member(i int, cores float64) discoverer.Member {
	return discoverer.Member{
		Instance: fmt.Sprintf("entry-%02d", i), Incarnation: fmt.Sprintf("process-%02d", i),
		DataCentre: fmt.Sprintf("dc-%d", i%3), Cores: cores,
	}
}

func startInstances(t *testing.T, rows *fakeplatform.Rows, n int) []*discoverer.Discoverer {
	t.Helper()
	var all []*discoverer.Discoverer
	for i := range n {
		e := discoverer.New(member(i, 0.8), rows.For(fmt.Sprint(i)))
		if err := e.WriteHeartbeat(t.Context()); err != nil {
			t.Fatal(err)
		}
		all = append(all, e)
	}
	refresh(t, all...)
	return all
}

func refresh(t *testing.T, all ...*discoverer.Discoverer) {
	t.Helper()
	for _, e := range all {
		if _, _, err := e.Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
}

// joiningRows has another instance join just before the first transaction.
type joiningRows struct {
	storer.Rows
	join func()
}

func (r *joiningRows) Transact(ctx context.Context, changes []storer.Change) (int64, error) {
	if join := r.join; join != nil {
		r.join = nil
		join()
	}
	return r.Rows.Transact(ctx, changes)
}

// Guards against an instance without relays: instances that start together read the members before
// any of them had joined, so that one that the store refused within its first second knew no other.
func TestInstancesThatJoinTogetherKnowEachOther(t *testing.T) {
	rows := fakeplatform.NewRows(1)
	own := &joiningRows{Rows: rows.For("own")}
	own.join = func() { startInstances(t, rows, 1) }
	joining := discoverer.New(member(1, 0.8), own)
	joined, err := joining.Join(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"entry-00", "entry-01"}, joined); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"entry-00"}, names(joining.Relays())); diff != "" {
		t.Errorf("relays: %s", diff)
	}
}

func names(members []discoverer.Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, m.Instance)
	}
	return out
}

// A program has one bookkeeper for the instances of all data centres, and the record
// of a turn is written in the data centre in which it was served.
func TestInstancesAgreeOnBookkeepers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startInstances(t, fakeplatform.NewRows(1), 12)
		used, recorders := map[string]bool{}, map[string]map[string]bool{}
		for p := range 100 {
			program := fmt.Sprint("program-", p)
			of := map[string]bool{}
			for i, e := range all {
				keeper := e.Bookkeepers(program)[0].Instance
				of[keeper], used[keeper] = true, true
				dc := fmt.Sprintf("dc-%d", i%3)
				recorder := e.Recorders(program)[0]
				if diff := cmp.Diff(dc, recorder.DataCentre); diff != "" {
					t.Errorf("recorder of another data centre: %s", diff)
				}
				if recorders[dc] == nil {
					recorders[dc] = map[string]bool{}
				}
				recorders[dc][recorder.Instance] = true
			}
			if len(of) != 1 {
				t.Errorf("%s has the bookkeepers %v", program, of)
			}
		}
		if diff := cmp.Diff(3, len(used)); diff != "" {
			t.Errorf("bookkeepers in use: %s", diff)
		}
		for dc, of := range recorders {
			if len(of) != 1 {
				t.Errorf("%s has the recorders %v", dc, of)
			}
		}
		if diff := cmp.Diff(3, all[0].BookkeeperCount()); diff != "" {
			t.Error(diff)
		}
	})
}

func TestLargeInstancesArePreferredAsBookkeepers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		large := 0
		for round := range 60 {
			rows := fakeplatform.NewRows(1)
			var self *discoverer.Discoverer
			for i := range 20 {
				m := discoverer.Member{Instance: fmt.Sprintf("r%d-%d", round, i), DataCentre: "dc", Cores: 0.2}
				if i < 4 {
					m.Cores = 0.8
				}
				self = discoverer.New(m, rows.For("x"))
				if err := self.WriteHeartbeat(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			refresh(t, self)
			if self.Bookkeepers("p")[0].Cores == 0.8 {
				large++
			}
		}
		// The large instances are a fifth of all and have half of the cores.
		if large < 18 || large > 42 {
			t.Errorf("a large instance is the preferred bookkeeper in %d of 60 deployments", large)
		}
	})
}

func TestSuspectedInstanceIsAvoidedTemporarily(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startInstances(t, fakeplatform.NewRows(1), 9)
		keeper := all[0].Bookkeepers("p")[0].Instance
		observer := all[0]
		if keeper == "entry-00" {
			observer = all[3]
		}
		observer.Suspect(keeper)
		if got := observer.Bookkeepers("p")[0].Instance; got == keeper {
			t.Error("a suspected instance is the preferred bookkeeper")
		}
		time.Sleep(3 * time.Second)
		if diff := cmp.Diff(keeper, observer.Bookkeepers("p")[0].Instance); diff != "" {
			t.Error(diff)
		}
	})
}

func TestMemberWithoutHeartbeatsIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startInstances(t, fakeplatform.NewRows(1), 3)
		for range 20 {
			time.Sleep(time.Second)
			for _, e := range all[:2] {
				if err := e.WriteHeartbeat(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			refresh(t, all[0])
		}
		if diff := cmp.Diff(2, all[0].Count()); diff != "" {
			t.Error(diff)
		}
		if _, found := all[0].FindIncarnation("process-02"); found {
			t.Error("found a process that writes no heartbeats")
		}
		if _, found := all[0].FindIncarnation("process-01"); !found {
			t.Error("did not find a live process")
		}
	})
}

// During a store outage no heartbeat can be written, so that unchanged rows must not
// count as missed heartbeats.
func TestStoreOutageRemovesNoMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		all := startInstances(t, rows, 3)
		rows.SetFaults(fakeplatform.RowFaults{Outage: true})
		time.Sleep(30 * time.Second)
		rows.SetFaults(fakeplatform.RowFaults{})
		refresh(t, all[0])
		if diff := cmp.Diff(3, all[0].Count()); diff != "" {
			t.Error(diff)
		}
	})
}

func TestDeregisteredMemberIsRemovedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startInstances(t, fakeplatform.NewRows(1), 3)
		if err := all[1].Deregister(t.Context()); err != nil {
			t.Fatal(err)
		}
		_, left, err := all[0].Refresh(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]string{"entry-01"}, left); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff([]string{"entry-02"}, names(all[0].Relays())); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against a heartbeat rate that grows too fast with the deployment: in one of
// 300 instances, each read the heartbeats of all, 60 per second. Only bookkeepers use
// the short interval.
func TestOnlyBookkeepersUseShortHeartbeatInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds = 60
		rows := fakeplatform.NewRows(1)
		all := startInstances(t, rows, 9)
		keepers := map[string]bool{}
		for _, e := range all {
			keepers[e.Recorders("p")[0].Instance] = true
		}
		written := map[string]int{}
		for range seconds {
			time.Sleep(time.Second)
			for _, e := range all {
				if e.IsHeartbeatDue() {
					written[e.Self().Instance]++
					if err := e.WriteHeartbeat(t.Context()); err != nil {
						t.Fatal(err)
					}
				}
			}
			refresh(t, all...)
			for _, e := range all {
				if e.Count() != 9 {
					t.Fatalf("%s counts %d live members", e.Self().Instance, e.Count())
				}
			}
		}
		for instance, n := range written {
			if keepers[instance] && n < seconds/5-1 || !keepers[instance] && n > seconds/20+1 {
				t.Errorf("%s, bookkeeper %v: %d heartbeats in %d s", instance, keepers[instance], n, seconds)
			}
		}
	})
}

// An instance that becomes a bookkeeper because another failed switches to the short
// heartbeat interval without delay.
func TestNewBookkeeperUsesShortHeartbeatIntervalAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startInstances(t, fakeplatform.NewRows(1), 9)
		time.Sleep(6 * time.Second)
		for _, e := range all {
			if err := e.WriteHeartbeat(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		refresh(t, all...)
		keeper := all[0].Recorders("p")[0].Instance
		time.Sleep(6 * time.Second)
		for _, e := range all {
			if e.Self().DataCentre != "dc-0" || e.Self().Instance == keeper {
				continue
			}
			if e.IsHeartbeatDue() {
				t.Errorf("%s: heartbeat due although it is not a bookkeeper", e.Self().Instance)
			}
			e.Suspect(keeper)
			if isKeeper := e.Recorders("p")[0].Instance == e.Self().Instance; e.IsHeartbeatDue() != isKeeper {
				t.Errorf("%s: is bookkeeper: %v; heartbeat due: %v", e.Self().Instance, isKeeper, e.IsHeartbeatDue())
			}
		}
	})
}

// Instances agree on who issues the permits of an endpoint, also while they suspect each
// other, and one that has lost touch knows that the others may have dropped it.
func TestInstancesAgreeOnIssuers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startInstances(t, fakeplatform.NewRows(1), 6)
		want := names(all[0].Ranking("endpoint", 6))
		all[1].Suspect(want[0])
		for i, d := range all {
			if diff := cmp.Diff(want, names(d.Ranking("endpoint", 6))); diff != "" || !d.IsCurrent() {
				t.Errorf("instance %d: %s", i, diff)
			}
		}
		if err := all[0].Deregister(t.Context()); err != nil {
			t.Fatal(err)
		}
		refresh(t, all...)
		for i, d := range all {
			if got := names(d.Ranking("endpoint", 6)); len(got) != 5 || d.IsCurrent() != (i != 0) {
				t.Errorf("instance %d: issuers %v, current %v", i, got, d.IsCurrent())
			}
		}
		// An instance without heartbeats is not current before the others drop it.
		for second := range 60 {
			time.Sleep(time.Second)
			for _, d := range all[2:] {
				if d.IsHeartbeatDue() {
					if err := d.WriteHeartbeat(t.Context()); err != nil {
						t.Fatal(err)
					}
				}
			}
			refresh(t, all[2:]...)
			if isDropped := len(all[2].Ranking("endpoint", 6)) == 4; isDropped && all[1].IsCurrent() {
				t.Errorf("dropped after %d s while it considers itself current", second)
			}
		}
		if all[1].IsCurrent() {
			t.Error("current after a minute without heartbeats")
		}
	})
}
