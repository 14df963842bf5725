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

// run runs a pruner until the end of the test.
func run(t *testing.T, rows storer.Rows, tables ...pruner.Table) *pruner.Pruner {
	t.Helper()
	p := pruner.New(rows, logger.Discard(), tables...)
	go p.Run(t.Context())
	return p
}

func count(t *testing.T, rows storer.Rows, table string) int {
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
		p := run(t, rows.For("x"))
		for i := range 1000 {
			rows.Put(key(i), []byte("v"))
			after := time.Minute
			if i%2 == 0 {
				after = time.Hour
			}
			p.Schedule([]storer.RowKey{key(i)}, after)
		}
		time.Sleep(59 * time.Second)
		if diff := cmp.Diff(1000, count(t, rows.For("x"), table)); diff != "" {
			t.Error(diff)
		}
		time.Sleep(time.Minute)
		if diff := cmp.Diff(500, count(t, rows.For("x"), table)); diff != "" {
			t.Error(diff)
		}
		if n := rows.Counts().Transactions; n > 4*60 {
			t.Errorf("%d transactions in a minute", n)
		}
	})
}

func TestRemovalsOutliveOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		p := run(t, rows.For("x"))
		for i := range 100 {
			rows.Put(key(i), []byte("v"))
			p.Schedule([]storer.RowKey{key(i)}, time.Minute)
		}
		rows.SetFaults(fakeplatform.RowFaults{Outage: true})
		time.Sleep(5 * time.Minute)
		if n := rows.Counts().Refused; n > 5*60 {
			t.Errorf("%d calls to a store that refuses", n)
		}
		rows.SetFaults(fakeplatform.RowFaults{})
		time.Sleep(3 * time.Minute)
		if diff := cmp.Diff(0, count(t, rows.For("x"), table)); diff != "" {
			t.Error(diff)
		}
	})
}

// What an instance left that ended is found, but only what is old, and not what
// was written again.
func TestLeftRowsAreFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		run(t, rows.For("x"), pruner.Table{Name: table, MaxAge: func() time.Duration { return time.Hour }})
		for i := range 500 {
			rows.Put(key(i), []byte("v"))
		}
		time.Sleep(59 * time.Minute)
		for i := range 50 {
			rows.Put(key(i), []byte("again"))
		}
		if diff := cmp.Diff(500, count(t, rows.For("x"), table)); diff != "" {
			t.Error(diff)
		}
		// Pages come from partitions by chance; 24 hours are far above all of them.
		for n := 0; n < 24*60 && count(t, rows.For("x"), table) > 50; n++ {
			time.Sleep(time.Minute)
			if n < 55 && count(t, rows.For("x"), table) < 50 {
				t.Fatal("rows that were written again are gone")
			}
		}
		time.Sleep(24 * time.Hour)
		if diff := cmp.Diff(0, count(t, rows.For("x"), table)); diff != "" {
			t.Error(diff)
		}
	})
}

// Plays hours of turns that continue any young turn, written by instances whose
// clocks differ, with rows removed all the while: a turn is found with its whole
// transcript as long as its route promises, and the table does not grow.
func TestYoungTurnsAreNeverPruned(t *testing.T) {
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
			p := run(t, rows)
			type made struct {
				id, text string
				at       time.Time
			}
			var young []made
			most := 0
			for i := 0; time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)) < hours*time.Hour; i++ {
				time.Sleep(time.Duration(random.Int64N(int64(8 * time.Second))))
				for len(young) > 0 && time.Since(young[0].at) > retention {
					young = young[1:]
				}
				var previous *transcriber.Turn
				text := ""
				if len(young) > 0 && random.IntN(50) > 0 {
					from := young[random.IntN(len(young))]
					turn, got, err := transcriber.New(rows).Transcript(t.Context(), from.id)
					if err != nil {
						t.Fatalf("seed %d: a turn of %v: %v", seed, time.Since(from.at), err)
					}
					if string(got) != from.text {
						t.Fatalf("seed %d: a transcript of %d bytes, want %d", seed, len(got), len(from.text))
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
				young = append(young, made{turn.ID, text + input, time.Now()})
				if i%100 == 0 {
					most = max(most, count(t, rows, transcriber.Table))
				}
			}
			// Some 15 turns a minute, of up to 8 rows, for 11 minutes.
			if most > 15*8*12 {
				t.Errorf("seed %d: %d rows", seed, most)
			}
		})
	}
}
