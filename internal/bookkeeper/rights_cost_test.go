package bookkeeper_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/bookkeeper"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// measure adds larger fleets, up to 1,000 instances, which take 7.3 GB of memory:
//
//	go test -run TestCostOfRights -v ./internal/bookkeeper -args -measure
var measure = flag.Bool("measure", false, "measure the cost of rights for large fleets, too")

// rate is the number of calls of the store a second.
type rate struct{ writes, reads float64 }

// storeRate returns the rate of a fleet without turns, the number of its bookkeepers, and the sizes of the rights' rows.
func storeRate(t *testing.T, instances, centres int, hasRights bool) (calls rate, bookkeepers int, rowBytes []int) {
	t.Helper()
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		const settling, length = 15 * time.Second, 10 * time.Second
		o := newWideOutageFleet(t, f, instances, centres)
		if !hasRights {
			for _, m := range o.members {
				o.kill(m.Self().Incarnation) // What the membership takes remains.
			}
		}
		pass := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
				for _, m := range o.members {
					if !m.IsHeartbeatDue() {
						continue
					}
					if err := m.WriteHeartbeat(t.Context()); err != nil {
						t.Fatal(err)
					}
				}
				for _, m := range o.members {
					if _, _, err := m.Refresh(t.Context()); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
		pass(settling)
		before, start := f.rows.Counts(), time.Now()
		pass(length)
		after, seconds := f.rows.Counts(), time.Since(start).Seconds()
		calls = rate{
			writes: float64(after.Transactions-before.Transactions) / seconds,
			reads:  float64(after.Lists-before.Lists+after.Feeds-before.Feeds) / seconds,
		}
		bookkeepers = len(o.members[0].Bookkeepers(""))
		rowBytes = rightSizes(t, f.rows)
	})
	return calls, bookkeepers, rowBytes
}

// rightSizes returns the sizes of the rights' rows.
func rightSizes(t *testing.T, rows *fakeplatform.Rows) (sizes []int) {
	t.Helper()
	page, err := rows.For("observer").List(t.Context(), storer.Range{Table: bookkeeper.RightsTable, Partition: "rights", Limit: 1000})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range page.Records {
		sizes = append(sizes, len(r.Value))
	}
	return sizes
}

// Guards against rights whose upkeep grows with the fleet and not with its bookkeepers: in the fleet of the target,
// 360 instances, it takes a tenth of the writes and reads that the store accepts at most (800 and 2,000 a second).
func TestCostOfRights(t *testing.T) {
	const target, maxWrites, maxReads = 360, 80, 200
	fleets := []struct{ instances, centres int }{{30, 3}}
	if *measure {
		fleets = append(fleets, []struct{ instances, centres int }{{100, 6}, {300, 18}, {1000, 18}}...)
	}
	for _, size := range fleets {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			with, bookkeepers, rows := storeRate(t, size.instances, size.centres, true)
			without, _, _ := storeRate(t, size.instances, size.centres, false)
			own := rate{with.writes - without.writes, with.reads - without.reads}
			t.Logf("%d instances, %d data centres, %d bookkeepers: %.1f writes/s and %.1f reads/s for rights, of %.1f and %.1f; %d rows of up to %d bytes",
				size.instances, size.centres, bookkeepers, own.writes, own.reads, with.writes, with.reads, len(rows), largest(rows))
			// Each data centre has a bookkeeper at least, so that small fleets have no fewer writes.
			part := float64(size.instances) / target
			most := rate{writes: maxWrites * max(part, 1), reads: maxReads * part}
			if own.writes > most.writes || own.reads > most.reads {
				t.Errorf("rights take %.1f writes/s and %.1f reads/s, %.1f and %.1f allowed", own.writes, own.reads, most.writes, most.reads)
			}
		})
	}
}

func largest(sizes []int) (most int) {
	for _, n := range sizes {
		most = max(most, n)
	}
	return most
}
