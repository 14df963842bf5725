package publisher_test

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/meter"
	"github.com/wigeonstand/wigeonstand/internal/publisher"
)

func policyEdit(id string, base int64, text string) publisher.Edit {
	return publisher.Edit{
		Request:     publisher.Request{Operator: "ann", EditID: id},
		SectionEdit: publisher.SectionEdit{Section: "Policy", BaseRevision: base, Text: text},
	}
}

func mustEdit(t *testing.T, p *publisher.Publisher, edit publisher.Edit) publisher.Result {
	t.Helper()
	result, err := p.Edit(t.Context(), edit)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestLostAnswerIsResolvedByEditID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore(1)
		counts := meter.New()
		p := publisher.New(store, store, publisher.WithTimeout(5*time.Second), publisher.WithMeter(counts))
		store.set(faults{lostAnswers: 1}, false)
		result := mustEdit(t, p, policyEdit("e-1", 0, "Policy: {QueueLimit: 1}"))
		if diff := cmp.Diff([]any{int64(1), true}, []any{result.Version, result.Replayed}); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(map[string]float64{"InDoubt": 1}, retries(t, counts)); diff != "" {
			t.Error(diff)
		}
	})
}

// retries returns the number of retries by reason.
func retries(t *testing.T, m *meter.Meter) map[string]float64 {
	t.Helper()
	families, err := m.Registry().Gather()
	if err != nil {
		t.Fatal(err)
	}
	counts := map[string]float64{}
	for _, family := range families {
		if family.GetName() != "wigeonstand_retries_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			counts[metric.GetLabel()[0].GetValue()] = metric.GetCounter().GetValue()
		}
	}
	return counts
}

func TestEditInDoubtIsReplayedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore(1)
		p := publisher.New(store, store, publisher.WithTimeout(4*time.Second))
		store.set(faults{outageAfterWrite: 1}, false)
		_, err := p.Edit(t.Context(), policyEdit("e-1", 0, "Policy: {QueueLimit: 1}"))
		if diff := cmp.Diff(answerer.OutcomeUnknown, answerer.KindOf(err)); diff != "" {
			t.Error(diff)
		}
		time.Sleep(outageLength)
		store.set(faults{}, false)
		mustEdit(t, p, policyEdit("e-2", 1, "Policy: {QueueLimit: 2}"))
		result := mustEdit(t, p, policyEdit("e-1", 0, "Policy: {QueueLimit: 1}"))
		if diff := cmp.Diff([]any{int64(1), true}, []any{result.Version, result.Replayed}); diff != "" {
			t.Error(diff)
		}
		_, err = p.Edit(t.Context(), policyEdit("e-1", 0, "Policy: {QueueLimit: 9}"))
		if diff := cmp.Diff(answerer.KeyReused, answerer.KindOf(err)); diff != "" {
			t.Error(diff)
		}
	})
}

func TestOutageIsReportedAsStoreUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore(1)
		p := publisher.New(store, store)
		store.set(faults{}, true)
		start := time.Now()
		_, err := p.Edit(t.Context(), policyEdit("e-1", 0, "Policy: {QueueLimit: 1}"))
		if diff := cmp.Diff(answerer.StoreUnavailable, answerer.KindOf(err)); diff != "" {
			t.Error(diff)
		}
		if waited := time.Since(start); waited > 16*time.Second {
			t.Errorf("the edit failed after %s, want at most 16s", waited)
		}
	})
}

func TestConflictNamesConflictingEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore(1)
		p := publisher.New(store, store)
		mustEdit(t, p, policyEdit("e-1", 0, "Policy: {QueueLimit: 1}"))
		mustEdit(t, p, policyEdit("e-2", 1, "Policy: {QueueLimit: 2}"))
		operators := publisher.SectionEdit{Section: "Operators", Text: "Operators: []"}
		mustEdit(t, p, publisher.Edit{Request: publisher.Request{Operator: "bob", EditID: "e-3"}, SectionEdit: operators})
		_, err := p.Edit(t.Context(), policyEdit("e-4", 1, "Policy: {QueueLimit: 3}"))
		if diff := cmp.Diff(answerer.RevisionConflict, answerer.KindOf(err)); diff != "" {
			t.Error(diff)
		}
		want := []*publisher.Conflict{{
			Section: "Policy", Base: 1, Revision: 2, Author: "ann", EditID: "e-2",
			Diff: "diff Policy@1 Policy@2\n--- Policy@1\n+++ Policy@2\n@@ -1,1 +1,1 @@\n-Policy: {QueueLimit: 1}\n+Policy: {QueueLimit: 2}\n",
		}}
		if diff := cmp.Diff(want, publisher.Conflicts(err), cmpopts.IgnoreFields(publisher.Conflict{}, "At")); diff != "" {
			t.Error(diff)
		}
	})
}

func TestRollbackCreatesNewVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore(1)
		p := publisher.New(store, store)
		mustEdit(t, p, policyEdit("e-1", 0, "Policy: {QueueLimit: 1}"))
		mustEdit(t, p, policyEdit("e-2", 1, "Policy: {QueueLimit: 2}"))
		rollback := publisher.Rollback{Request: publisher.Request{Operator: "ann", EditID: "e-3"}, To: 1, Base: 1}
		_, err := p.Rollback(t.Context(), rollback)
		if diff := cmp.Diff(answerer.RevisionConflict, answerer.KindOf(err)); diff != "" {
			t.Error(diff)
		}
		rollback.Base, rollback.DryRun = 2, true
		if _, err := p.Rollback(t.Context(), rollback); err != nil {
			t.Fatal(err)
		}
		rollback.DryRun = false
		result, err := p.Rollback(t.Context(), rollback)
		if err != nil {
			t.Fatal(err)
		}
		_, document, err := p.Show(t.Context(), 0)
		if err != nil {
			t.Fatal(err)
		}
		want := []any{int64(3), []string{"Policy"}, compiler.Revisions{Policy: 3}, "Policy: {QueueLimit: 1}\n"}
		if diff := cmp.Diff(want, []any{result.Version, result.Changed, result.Revisions, document.Text()}); diff != "" {
			t.Error(diff)
		}
	})
}

// fakePeer is another instance that may be unreachable or return a modified
// document.
type fakePeer struct {
	follower *publisher.Follower
	tamper   atomic.Bool
	down     atomic.Bool
}

func (o *fakePeer) Instances() []string { return []string{"other"} }

func (o *fakePeer) FetchDocument(context.Context, string) ([]byte, error) {
	if o.down.Load() {
		return nil, errors.New("instance is unreachable")
	}
	body, err := o.follower.Encode()
	if o.tamper.Load() {
		body = []byte(strings.Replace(string(body), "QueueLimit: 1", "QueueLimit: 7", 1))
	}
	return body, err
}

// startedPeer returns an instance that has version 1.
func startedPeer(t *testing.T, store *faultyStore) *fakePeer {
	t.Helper()
	mustEdit(t, publisher.New(store, store), policyEdit("e-1", 0, "Policy: {QueueLimit: 1}"))
	other := publisher.NewFollower(store, store)
	if err := other.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return &fakePeer{follower: other}
}

func TestStartFetchesFromPeersDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore(1)
		peer := startedPeer(t, store)
		peer.down.Store(true)
		store.set(faults{}, true)
		f := publisher.NewFollower(store, store, publisher.WithPeer(peer))
		started := make(chan error)
		go func() { started <- f.Start(t.Context()) }()
		time.Sleep(time.Hour)
		if _, err := f.Encode(); f.Started() || !errors.Is(err, publisher.ErrNotStarted) {
			t.Error("started without a document version")
		}
		peer.down.Store(false)
		if err := <-started; err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]int64{1, 1}, []int64{f.Current().Number, int64(f.Current().Policy.QueueLimit)}); diff != "" {
			t.Error(diff)
		}
	})
}

func TestPeerDocumentWithWrongHashIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore(1)
		peer := startedPeer(t, store)
		peer.tamper.Store(true)
		store.set(faults{}, true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f := publisher.NewFollower(store, store, publisher.WithPeer(peer))
		if err := f.Start(ctx); err == nil || f.Started() {
			t.Error("a document that does not match its hash was activated")
		}
	})
}

func TestObservedVersionIsFetchedDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore(1)
		peer := &fakePeer{}
		peer.down.Store(true)
		ctx, cancel := context.WithCancel(t.Context())
		f := publisher.NewFollower(store, store, publisher.WithPeer(peer), publisher.WithInterval(time.Hour))
		if err := f.Start(ctx); err != nil {
			t.Fatal(err)
		}
		go f.Run(ctx)
		peer.follower = startedPeer(t, store).follower
		store.set(faults{}, true)
		peer.down.Store(false)
		f.ObserveVersion(1, "other")
		time.Sleep(fetchTime)
		if diff := cmp.Diff(int64(1), f.Current().Number); diff != "" {
			t.Error(diff)
		}
		cancel()
		synctest.Wait()
	})
}

// fetchTime is longer than one round of requests to faultyStore.
const fetchTime = 2 * time.Second

func TestFollowersApplyVersionWithinInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore(1)
		ctx, cancel := context.WithCancel(t.Context())
		var followers []*publisher.Follower
		for range 12 {
			f := publisher.NewFollower(store, store, publisher.WithInterval(interval))
			if err := f.Start(ctx); err != nil {
				t.Fatal(err)
			}
			go f.Run(ctx)
			followers = append(followers, f)
		}
		mustEdit(t, publisher.New(store, store), policyEdit("e-1", 0, "Policy: {QueueLimit: 1}"))
		time.Sleep(interval + interval/10 + 2*maxLatency)
		for i, f := range followers {
			if diff := cmp.Diff(int64(1), f.Current().Number); diff != "" {
				t.Errorf("instance %d: %s", i, diff)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// TestRefusalIsNotFinalWhileWriteIsInDoubt withdraws the permission after a write
// whose outcome is in doubt. Reporting the refusal would be wrong if that write
// takes effect later.
func TestRefusalIsNotFinalWhileWriteIsInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore(2)
		p := publisher.New(store, store)
		store.set(faults{delayedWrites: 1}, false)
		edit := policyEdit("e-1", 0, "Policy: {QueueLimit: 1}")
		asked := 0
		edit.MayChange = func(string) bool {
			asked++
			if asked == 2 {
				store.set(faults{}, false)
			}
			return asked == 1
		}
		result, err := p.Edit(t.Context(), edit)
		if err != nil {
			t.Fatalf("got error %v although the write took effect", err)
		}
		if asked < 2 || !result.Replayed {
			t.Errorf("the write was not in doubt when permission was withdrawn: %+v", result)
		}
	})
}

func TestStartWaitsForObservedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore(1)
		peer := startedPeer(t, store)
		peer.down.Store(true)
		staleStore := newFaultyStore(1)
		f := publisher.NewFollower(staleStore, staleStore, publisher.WithPeer(peer))
		f.ObserveVersion(1, "other")
		started := make(chan error)
		go func() { started <- f.Start(t.Context()) }()
		time.Sleep(time.Hour)
		select {
		case err := <-started:
			t.Fatalf("started with an older document than the observed version (%v)", err)
		default:
		}
		peer.down.Store(false)
		if err := <-started; err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(int64(1), f.Current().Number); diff != "" {
			t.Error(diff)
		}
	})
}
