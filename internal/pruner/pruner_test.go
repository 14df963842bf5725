package pruner_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/pruner"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/internal/transcriber"
)

const table = "t"

func key(i int) storer.RowKey { return storer.PartitionedKey(table, fmt.Sprintf("%016x", i)) }

// startPruner runs a Pruner until the end of the test.
func startPruner(t *testing.T, rows storer.Rows, tables ...pruner.Table) *pruner.Pruner {
	t.Helper()
	p := pruner.New(rows, logger.Discard(), tables...)
	go p.Run(t.Context())
	return p
}

func countRows(t *testing.T, rows storer.Rows, table string) int {
	t.Helper()
	n := 0
	for i := range storer.PartitionCount {
		page, err := rows.List(t.Context(), storer.Range{Table: table, Partition: storer.PartitionName(i)})
		if err != nil {
			t.Fatal(err)
		}
		n += len(page.Records)
	}
	return n
}

func TestRowsAreRemovedWhenDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		p := startPruner(t, rows.For("x"))
		for i := range 1000 {
			rows.Put(key(i), []byte("v"))
			after := time.Minute
			if i%2 == 0 {
				after = time.Hour
			}
			p.Schedule([]storer.RowKey{key(i)}, after)
		}
		time.Sleep(59 * time.Second)
		if diff := cmp.Diff(1000, countRows(t, rows.For("x"), table)); diff != "" {
			t.Error(diff)
		}
		time.Sleep(time.Minute)
		if diff := cmp.Diff(500, countRows(t, rows.For("x"), table)); diff != "" {
			t.Error(diff)
		}
		if n := rows.Counts().Transactions; n > 4*60 {
			t.Errorf("%d transactions in a minute", n)
		}
	})
}

func TestRemovalsAreRetriedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		p := startPruner(t, rows.For("x"))
		for i := range 100 {
			rows.Put(key(i), []byte("v"))
			p.Schedule([]storer.RowKey{key(i)}, time.Minute)
		}
		rows.SetFaults(fakeplatform.RowFaults{Outage: true})
		time.Sleep(5 * time.Minute)
		if n := rows.Counts().Refused; n > 5*60 {
			t.Errorf("%d calls to the store during the outage, want at most one per second", n)
		}
		rows.SetFaults(fakeplatform.RowFaults{})
		time.Sleep(3 * time.Minute)
		if diff := cmp.Diff(0, countRows(t, rows.For("x"), table)); diff != "" {
			t.Error(diff)
		}
	})
}

// The sweep deletes rows that no instance has scheduled for deletion, but only those
// older than the maximum age, counted from a row's last write.
func TestSweepRemovesOrphanedRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		startPruner(t, rows.For("x"), pruner.Table{Name: table, MaxAge: func() time.Duration { return time.Hour }})
		for i := range 500 {
			rows.Put(key(i), []byte("v"))
		}
		time.Sleep(59 * time.Minute)
		for i := range 50 {
			rows.Put(key(i), []byte("again"))
		}
		if diff := cmp.Diff(500, countRows(t, rows.For("x"), table)); diff != "" {
			t.Error(diff)
		}
		// The sweep visits partitions in random order; 24 hours suffice for all of them.
		for n := 0; n < 24*60 && countRows(t, rows.For("x"), table) > 50; n++ {
			time.Sleep(time.Minute)
			if n < 55 && countRows(t, rows.For("x"), table) < 50 {
				t.Fatal("rows were deleted less than the maximum age after their last write")
			}
		}
		time.Sleep(24 * time.Hour)
		if diff := cmp.Diff(0, countRows(t, rows.For("x"), table)); diff != "" {
			t.Error(diff)
		}
	})
}

// Simulates three hours of turns, each of which continues any turn within its
// retention, written by instances whose clocks differ, while rows are being pruned.
// Every turn must be found with its complete transcript during its retention, and the
// table must stay bounded. Turns share rows with earlier turns, so that pruning a turn's
// rows too early would truncate the transcripts of later ones.
func TestRetainedTurnsAreNeverPruned(t *testing.T) {
	const (
		retention = time.Minute
		hours     = 3
		skew      = 2 * time.Minute
	)
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			store := fakeplatform.NewRows(seed)
			rows := store.For("x")
			p := startPruner(t, rows)
			type recordedTurn struct {
				id, text string
				at       time.Time
			}
			var retained []recordedTurn
			maxRows := 0
			for i := 0; time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)) < hours*time.Hour; i++ {
				time.Sleep(time.Duration(random.Int64N(int64(8 * time.Second))))
				for len(retained) > 0 && time.Since(retained[0].at) > retention {
					retained = retained[1:]
				}
				var previous *transcriber.Turn
				text := ""
				if len(retained) > 0 && random.IntN(50) > 0 {
					from := retained[random.IntN(len(retained))]
					turn, got, err := transcriber.New(rows).Transcript(t.Context(), from.id)
					if err != nil {
						t.Fatalf("seed %d: transcript of a turn recorded %v ago: %v", seed, time.Since(from.at), err)
					}
					if string(got) != from.text {
						t.Fatalf("seed %d: transcript of %d bytes, want %d", seed, len(got), len(from.text))
					}
					previous, text = turn, from.text
				}
				if len(text) > 450_000 {
					previous, text = nil, ""
				}
				input := strings.Repeat(string(rune('a'+i%26)), random.IntN(3_000))
				clock := time.Now().Add(time.Duration(random.Int64N(int64(2*skew))) - skew)
				turn := transcriber.Next(previous, []byte(text), transcriber.Continuation{
					ID: fmt.Sprintf("%016x", i), Input: []byte(input), WrittenAt: clock, Retention: retention,
				})
				changes, err := turn.Changes()
				if err != nil {
					t.Fatal(err)
				}
				if _, err := rows.Transact(t.Context(), changes); err != nil {
					t.Fatal(err)
				}
				var keys []storer.RowKey
				for _, c := range changes {
					keys = append(keys, c.RowKey)
				}
				p.Schedule(keys, pruner.RowRetention(retention))
				retained = append(retained, recordedTurn{turn.ID, text + input, time.Now()})
				if i%100 == 0 {
					maxRows = max(maxRows, countRows(t, rows, transcriber.Table))
				}
			}
			// About 15 turns a minute of up to 8 rows each, kept for 11 minutes.
			if maxRows > 15*8*12 {
				t.Errorf("seed %d: %d rows", seed, maxRows)
			}
		})
	}
}
