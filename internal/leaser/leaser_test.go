package leaser_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/leaser"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// table is an in-memory table. The outcomes of the next commits and the number of
// failing reads can be set.
type table struct {
	storer.Table
	mu           sync.Mutex
	rows         map[string]storer.Row
	versions     int64
	delay        time.Duration
	outcomes     []string
	failingReads int
}

func newTable() *table { return &table{rows: map[string]storer.Row{}} }

func (s *table) apply(commit storer.Commit) (storer.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range commit.Conditions {
		if s.rows[c.Key].Version != c.Version {
			return storer.Result{}, storer.ErrConflict
		}
	}
	result := storer.Result{Versions: map[string]int64{}}
	for _, w := range commit.Writes {
		s.versions++
		s.rows[w.Key] = storer.Row{Key: w.Key, Value: w.Value, Version: s.versions}
		result.Versions[w.Key] = s.versions
		if w.Delete {
			delete(s.rows, w.Key)
		}
	}
	return result, nil
}

func (s *table) Commit(_ context.Context, commit storer.Commit) (storer.Result, error) {
	s.mu.Lock()
	outcome := ""
	if len(s.outcomes) > 0 {
		outcome, s.outcomes = s.outcomes[0], s.outcomes[1:]
	}
	delay := s.delay
	s.mu.Unlock()
	switch outcome {
	case "Unavailable":
		return storer.Result{}, storer.ErrUnavailable
	case "Lost":
		_, _ = s.apply(commit)
		return storer.Result{}, storer.ErrInDoubt
	case "Dropped":
		return storer.Result{}, storer.ErrInDoubt
	case "Late":
		time.AfterFunc(time.Second, func() { _, _ = s.apply(commit) })
		return storer.Result{}, storer.ErrInDoubt
	}
	// The write takes effect immediately; its response is delayed.
	result, err := s.apply(commit)
	time.Sleep(delay)
	return result, err
}

func (s *table) Read(_ context.Context, keys ...string) ([]storer.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failingReads > 0 {
		s.failingReads--
		return nil, storer.ErrUnavailable
	}
	rows := make([]storer.Row, len(keys))
	for i, key := range keys {
		rows[i] = s.rows[key]
	}
	return rows, nil
}

func (s *table) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.rows[key].Value)
}

func acquire(t *testing.T, s storer.Table, name string) *leaser.Leaser {
	t.Helper()
	l := leaser.New(s, name, "127.0.0.1:1", "dc")
	if err := l.Acquire(t.Context()); err != nil {
		t.Fatal(err)
	}
	return l
}

// TestCommitTakesEffectOnceIfResponsesAreLost loses the responses of commits whose
// write takes effect at once, never, or late. A retried commit must not undo or
// repeat a write.
func TestCommitTakesEffectOnceIfResponsesAreLost(t *testing.T) {
	outcomes := []string{"", "Lost", "Dropped", "Late", "Lost Lost", "Dropped Lost", "Late Late", "Late Lost", "Late Dropped"}
	for _, outcome := range outcomes {
		t.Run(outcome, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTable()
				l := acquire(t, s, "a")
				s.outcomes = strings.Fields(outcome)
				s.failingReads = 3
				for n := range 3 {
					change := leaser.Change{Head: int64(n + 1), Writes: []storer.Write{{Key: "row", Value: fmt.Append(nil, n)}}}
					if err := l.Commit(t.Context(), change); err != nil {
						t.Fatal(err)
					}
					if diff := cmp.Diff(fmt.Sprint(n), s.value("row")); diff != "" {
						t.Error(diff)
					}
				}
				time.Sleep(5 * time.Second)
				if diff := cmp.Diff("2", s.value("row")); diff != "" {
					t.Error("a delayed write took effect: " + diff)
				}
				if diff := cmp.Diff(int64(3), l.Head()); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func TestCommitWritesNothingOnUnavailableOrConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTable()
		l := acquire(t, s, "a")
		s.outcomes = []string{"Unavailable"}
		change := leaser.Change{Writes: []storer.Write{{Key: "row", Value: []byte("x")}}}
		if err := l.Commit(t.Context(), change); !errors.Is(err, storer.ErrUnavailable) {
			t.Errorf("got %v, want ErrUnavailable", err)
		}
		change.Conditions = []storer.Condition{{Key: "other", Version: 7}}
		if err := l.Commit(t.Context(), change); !errors.Is(err, storer.ErrConflict) {
			t.Errorf("got %v, want ErrConflict", err)
		}
		if diff := cmp.Diff("", s.value("row")); diff != "" {
			t.Error(diff)
		}
	})
}

func TestCommitResolvesEarlierCommitInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTable()
		l := acquire(t, s, "a")
		s.outcomes = []string{"Lost"}
		s.failingReads = 1000
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := l.Commit(ctx, leaser.Change{Head: 5}); !errors.Is(err, storer.ErrInDoubt) {
			t.Errorf("got %v, want ErrInDoubt", err)
		}
		s.failingReads = 0
		if err := l.Commit(t.Context(), leaser.Change{Head: 6}); err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff(int64(6), l.Head()); diff != "" {
			t.Error(diff)
		}
	})
}

// TestFencedHolderIsNotConfirmed fences a lease as early as allowed while the response
// to the holder's renewal is delayed by nearly a TTL. The renewal must count from when
// it was sent; otherwise the holder considers its lease valid after it was fenced.
func TestFencedHolderIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTable()
		holder, other := acquire(t, s, "a"), acquire(t, s, "b")
		observer := leaser.NewObserver(leaser.DefaultTTL, leaser.DefaultMargin)
		s.delay = 4 * time.Second
		go func() { _ = holder.Commit(t.Context(), leaser.Change{}) }()
		synctest.Wait()
		s.delay = 0
		var row storer.Row
		for !observer.Expired("a", row.Version) {
			rows, _ := s.Read(t.Context(), leaser.Key("a"))
			row = rows[0]
			observer.Observe("a", row.Version)
			time.Sleep(100 * time.Millisecond)
		}
		if err := other.Fence(t.Context(), row); err != nil {
			t.Fatal(err)
		}
		if holder.Confirmed() {
			t.Error("the lease is confirmed after it was fenced")
		}
		change := leaser.Change{Writes: []storer.Write{{Key: "row", Value: []byte("x")}}}
		if err := holder.Commit(t.Context(), change); !errors.Is(err, leaser.ErrFenced) {
			t.Errorf("got %v, want ErrFenced", err)
		}
		if diff := cmp.Diff("", s.value("row")); diff != "" {
			t.Error(diff)
		}
	})
}

func TestAcquireClosesPreviousGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTable()
		first := acquire(t, s, "a")
		if err := first.Commit(t.Context(), leaser.Change{Head: 9}); err != nil {
			t.Fatal(err)
		}
		s.outcomes = []string{"Lost"}
		second := acquire(t, s, "a")
		if second.Lease().Generation <= first.Lease().Generation {
			t.Errorf("generation %d does not exceed %d", second.Lease().Generation, first.Lease().Generation)
		}
		if err := first.Commit(t.Context(), leaser.Change{Head: 10}); !errors.Is(err, leaser.ErrFenced) {
			t.Errorf("got %v, want ErrFenced", err)
		}
		got, closed, err := leaser.ReadClosedGeneration(t.Context(), s, "a", first.Lease().Generation)
		want := leaser.ClosedGeneration{Instance: "a", Generation: first.Lease().Generation, Head: 9}
		if diff := cmp.Diff(want, got); diff != "" || !closed || err != nil {
			t.Error(diff, closed, err)
		}
	})
}

func TestFenceFailsAfterRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTable()
		holder, other := acquire(t, s, "a"), acquire(t, s, "b")
		rows, _ := s.Read(t.Context(), leaser.Key("a"))
		if err := holder.Commit(t.Context(), leaser.Change{}); err != nil {
			t.Fatal(err)
		}
		if err := other.Fence(t.Context(), rows[0]); !errors.Is(err, storer.ErrConflict) {
			t.Errorf("got %v, want ErrConflict", err)
		}
		if !holder.Confirmed() {
			t.Error("lease not confirmed after a renewal")
		}
	})
}
