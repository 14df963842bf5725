package batcher_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/batcher"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

func key(i int) storer.RowKey { return storer.RowKey{Table: "t", Name: fmt.Sprintf("row-%04d", i)} }

// insert submits a job that inserts one row and returns where its end arrives.
func insert(j *batcher.Batcher, i int, wait time.Duration) <-chan batcher.Result {
	done := make(chan batcher.Result, 1)
	j.Submit(&batcher.Job{
		Changes:  []storer.Change{{RowKey: key(i), Value: []byte("v")}},
		Deadline: time.Now().Add(wait), Done: func(r batcher.Result) { done <- r },
	})
	return done
}

// run plays the test in a bubble with a running Batcher.
func run(t *testing.T, f func(t *testing.T, rows *fakeplatform.Rows, j *batcher.Batcher)) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		j := batcher.New(rows.For("a"))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			j.Run(ctx)
		}()
		f(t, rows, j)
		cancel()
		<-ended
	})
}

func TestManyJobsBecomeFewTransactions(t *testing.T) {
	run(t, func(t *testing.T, rows *fakeplatform.Rows, j *batcher.Batcher) {
		var ends []<-chan batcher.Result
		for i := range 200 {
			ends = append(ends, insert(j, i, time.Second))
		}
		for _, end := range ends {
			if r := <-end; r.Err != nil {
				t.Fatal(r.Err)
			}
		}
		// Each conditional insert counts for two of a transaction's 100 entries.
		if counts := rows.Counts(); counts.Changes != 200 || counts.Transactions > 5 {
			t.Errorf("%d changes in %d transactions", counts.Changes, counts.Transactions)
		}
	})
}

func TestRateIsBoundedAtAnyLoad(t *testing.T) {
	run(t, func(t *testing.T, rows *fakeplatform.Rows, j *batcher.Batcher) {
		j.SetRate(10)
		begun := time.Now()
		var ends []<-chan batcher.Result
		for i := range 100 {
			ends = append(ends, insert(j, i, 30*time.Second))
			time.Sleep(20 * time.Millisecond)
		}
		for _, end := range ends {
			<-end
		}
		most := int(time.Since(begun).Seconds()*10) + 1
		if got := rows.Counts().Transactions; got > most {
			t.Errorf("%d transactions, at most %d", got, most)
		}
	})
}

func TestOneConflictDoesNotFailTheOthers(t *testing.T) {
	run(t, func(t *testing.T, rows *fakeplatform.Rows, j *batcher.Batcher) {
		rows.Put(key(1), []byte("taken"))
		first, second, third := insert(j, 0, time.Second), insert(j, 1, time.Second), insert(j, 2, time.Second)
		if r := <-first; r.Err != nil {
			t.Error(r.Err)
		}
		var conflict *storer.Conflict
		if r := <-second; !errors.As(r.Err, &conflict) {
			t.Errorf("got %v", r.Err)
		} else if diff := cmp.Diff("taken", string(conflict.Current[0].Value)); diff != "" {
			t.Error(diff)
		}
		if r := <-third; r.Err != nil {
			t.Error(r.Err)
		}
	})
}

// A write without an answer lands later; sent again under the same expectation
// it either lands first or finds the earlier one there. It lands once.
func TestWriteInDoubtIsSettled(t *testing.T) {
	for _, late := range []time.Duration{0, 5 * time.Millisecond, 3 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			run(t, func(t *testing.T, rows *fakeplatform.Rows, j *batcher.Batcher) {
				rows.SetFaults(fakeplatform.RowFaults{LoseAnswers: 1, LandLate: late})
				end := insert(j, 0, 10*time.Second)
				time.Sleep(2 * time.Millisecond)
				rows.SetFaults(fakeplatform.RowFaults{})
				r := <-end
				var conflict *storer.Conflict
				isLanded := r.Err == nil || errors.As(r.Err, &conflict) && string(conflict.Current[0].Value) == "v"
				if !isLanded {
					t.Errorf("got %v", r.Err)
				}
				time.Sleep(5 * time.Second)
				if got := rows.Counts().Transactions; got != 1 {
					t.Errorf("landed %d times", got)
				}
			})
		})
	}
}

func TestGivenUpJobSaysWhetherItMayLand(t *testing.T) {
	run(t, func(t *testing.T, rows *fakeplatform.Rows, j *batcher.Batcher) {
		rows.SetFaults(fakeplatform.RowFaults{Outage: true})
		if r := <-insert(j, 0, 300*time.Millisecond); !errors.Is(r.Err, storer.ErrUnavailable) {
			t.Errorf("refused: got %v", r.Err)
		}
		rows.SetFaults(fakeplatform.RowFaults{LoseAnswers: 1, LandLate: time.Minute})
		// Long enough to be sent at all after the failures before.
		if r := <-insert(j, 1, 3*time.Second); !errors.Is(r.Err, storer.ErrInDoubt) {
			t.Errorf("not answered: got %v", r.Err)
		}
	})
}

func TestJobThatTheStoreNeverTakesFailsAlone(t *testing.T) {
	run(t, func(t *testing.T, _ *fakeplatform.Rows, j *batcher.Batcher) {
		var changes []storer.Change
		for i := range storer.MaxEntries {
			changes = append(changes, storer.Change{RowKey: key(1000 + i)})
		}
		done := make(chan batcher.Result, 1)
		first := insert(j, 0, time.Second)
		j.Submit(&batcher.Job{Changes: changes, Done: func(r batcher.Result) { done <- r }})
		last := insert(j, 1, time.Second)
		if r := <-done; !errors.Is(r.Err, storer.ErrInvalid) {
			t.Errorf("got %v", r.Err)
		}
		for _, end := range []<-chan batcher.Result{first, last} {
			if r := <-end; r.Err != nil {
				t.Error(r.Err)
			}
		}
	})
}

// No storm after an outage: what waited goes out joined.
func TestOutageIsFollowedByJoinedWrites(t *testing.T) {
	run(t, func(t *testing.T, rows *fakeplatform.Rows, j *batcher.Batcher) {
		rows.SetFaults(fakeplatform.RowFaults{Outage: true})
		var ends []<-chan batcher.Result
		for i := range 200 {
			ends = append(ends, insert(j, i, 20*time.Second))
			time.Sleep(20 * time.Millisecond)
		}
		rows.SetFaults(fakeplatform.RowFaults{})
		for _, end := range ends {
			if r := <-end; r.Err != nil {
				t.Fatal(r.Err)
			}
		}
		if got := rows.Counts().Transactions; got > 8 {
			t.Errorf("%d transactions for 200 jobs", got)
		}
	})
}

// The pauses after failures end as soon as the store is reached again.
func TestResumeEndsThePauses(t *testing.T) {
	run(t, func(t *testing.T, rows *fakeplatform.Rows, j *batcher.Batcher) {
		rows.SetFaults(fakeplatform.RowFaults{Outage: true})
		end := insert(j, 0, time.Minute)
		time.Sleep(5 * time.Second)
		rows.SetFaults(fakeplatform.RowFaults{})
		begun := time.Now()
		j.Resume()
		if r := <-end; r.Err != nil || time.Since(begun) > 10*time.Millisecond {
			t.Errorf("written %v after the store was back: %v", time.Since(begun), r.Err)
		}
	})
}

// A store that refuses gets one transaction at a time, and a larger one later.
func TestRefusingStoreIsNotPressed(t *testing.T) {
	run(t, func(t *testing.T, rows *fakeplatform.Rows, j *batcher.Batcher) {
		rows.SetFaults(fakeplatform.RowFaults{Outage: true})
		for i := range 400 {
			insert(j, i, time.Minute)
			time.Sleep(10 * time.Millisecond)
		}
		if got := rows.Counts().Refused; got > 20 {
			t.Errorf("%d transactions in 4 s on a store that refuses", got)
		}
	})
}

// Replays three seconds of a slow store, as three bookkeepers met it: each
// transaction occupies its partitions for 0.2 s. Transactions over many
// partitions would take turns.
func TestSlowStoreIsWrittenInManyPartitionsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		rows.SetFaults(fakeplatform.RowFaults{Service: 200 * time.Millisecond})
		ctx, cancel := context.WithCancel(t.Context())
		var runs, work sync.WaitGroup
		var joiners []*batcher.Batcher
		for range 3 {
			j := batcher.New(rows.For("a"))
			joiners = append(joiners, j)
			runs.Go(func() { j.Run(ctx) })
		}
		var late atomic.Int64
		for i := range 450 {
			done, begun := make(chan batcher.Result, 1), time.Now()
			joiners[i%3].Submit(&batcher.Job{
				Changes: []storer.Change{{RowKey: storer.PartitionedKey("t", fmt.Sprint(i))}}, Done: func(r batcher.Result) { done <- r },
			})
			work.Go(func() {
				if r := <-done; r.Err != nil {
					t.Error(r.Err)
				}
				if time.Since(begun) > time.Second {
					late.Add(1)
				}
			})
			time.Sleep(7 * time.Millisecond)
		}
		work.Wait()
		cancel()
		runs.Wait()
		if got := late.Load(); got > 90 {
			t.Errorf("%d of 450 rows took more than a second", got)
		}
	})
}

func TestOnePartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		seen := &recorder{Rows: rows.For("a")}
		j := batcher.New(seen, batcher.WithSinglePartition())
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			j.Run(ctx)
		}()
		var ends []chan batcher.Result
		for i := range 100 {
			done := make(chan batcher.Result, 1)
			j.Submit(&batcher.Job{
				Changes: []storer.Change{{RowKey: storer.PartitionedKey("t", fmt.Sprint(i))}}, Done: func(r batcher.Result) { done <- r },
			})
			ends = append(ends, done)
		}
		for _, end := range ends {
			if r := <-end; r.Err != nil {
				t.Error(r.Err)
			}
		}
		if seen.mixed > 0 {
			t.Errorf("%d transactions over several partitions", seen.mixed)
		}
		cancel()
		<-ended
	})
}

// recorder counts transactions over several partitions.
type recorder struct {
	storer.Rows
	mixed int
}

func (r *recorder) Transact(ctx context.Context, changes []storer.Change) (int64, error) {
	for _, c := range changes {
		if c.Partition != changes[0].Partition {
			r.mixed++
			break
		}
	}
	return r.Rows.Transact(ctx, changes)
}
