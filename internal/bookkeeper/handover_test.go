package bookkeeper_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/bookkeeper"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
)

// Guards against a planned stop that hands out tokens again which the bookkeeper had released to
// another one. The other one is lost before the stop, or the program is idle so that its grant is
// returned to the row.
func TestReleasedTokensAreNotHandedOver(t *testing.T) {
	const budget = 24 * turnTokens
	spend := func(t *testing.T, k *bookkeeper.Bookkeeper, label string) (used int64) {
		t.Helper()
		for i := 0; open(t, k, fmt.Sprint(label, i), budget).Status == bookkeeper.OK; i++ {
			settle(t, k, fmt.Sprint(label, i), turnTokens)
			used += turnTokens
		}
		return used
	}
	tests := map[string]func(t *testing.T, f *fleet) int64{
		"ReclaimedByALostBookkeeper": func(t *testing.T, f *fleet) int64 {
			t.Helper()
			reclaiming := f.start("reclaiming")
			used := spend(t, reclaiming, "reclaiming ")
			f.kill("reclaiming")
			return used
		},
		"ReturnedToTheRow": func(t *testing.T, f *fleet) int64 {
			t.Helper()
			f.rows.SetFaults(fakeplatform.RowFaults{LoseAnswers: 1})
			time.Sleep(100 * time.Second)
			f.rows.SetFaults(fakeplatform.RowFaults{})
			return 0
		},
	}
	for name, release := range tests {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 1, func(t *testing.T, f *fleet) {
				retiring := f.start("retiring")
				if out := open(t, retiring, "first", budget); out.Status != bookkeeper.OK {
					t.Fatalf("status %v", out.Status)
				}
				settle(t, retiring, "first", turnTokens)
				used := turnTokens + release(t, f)
				handovers, err := retiring.Retire(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				// The successor stops before it has written the row.
				first, successor, other := f.start("first successor"), f.start("successor"), f.start("other")
				for _, k := range []*bookkeeper.Bookkeeper{first, successor} {
					if _, err := k.Adopt(t.Context(), bookkeeper.AdoptRequest{Handovers: handovers}); err != nil {
						t.Fatal(err)
					}
					if k == first {
						if handovers, err = first.Retire(t.Context()); err != nil {
							t.Fatal(err)
						}
					}
				}
				used += spend(t, other, "other ") + spend(t, successor, "successor ")
				if used > budget {
					t.Errorf("%d tokens were used of a budget of %d", used, budget)
				}
				if diff := cmp.Diff(1, len(handovers)); diff != "" {
					t.Errorf("ledgers handed over: %s", diff)
				}
			})
		})
	}
}

// The handover was encoded while turns that ended meanwhile changed what it states: a process of two cores
// could end by it. The race detector shows it.
func TestHandoverIsNotChangedByTurnsThatEnd(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		k := f.start("a")
		const budget, turns = 64 * turnTokens, 32
		in := bookkeeper.CloseRequest{Program: "p", Used: 1, Endpoint: "e"}
		for i := range turns {
			open(t, k, fmt.Sprint(i), budget)
		}
		in.Turn, in.Session = "0", "s"
		if _, err := k.Close(t.Context(), in); err != nil {
			t.Fatal(err)
		}
		handovers, err := k.Retire(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		encoded := make(chan error, 1)
		go func() {
			var failure error
			for range 100 {
				if _, err := cbor.Marshal(handovers); err != nil {
					failure = err
				}
			}
			encoded <- failure
		}()
		for i := 1; i < turns; i++ {
			in.Turn, in.Session = fmt.Sprint(i), fmt.Sprint("s", i)
			if _, err := k.Close(t.Context(), in); err != nil {
				t.Error(err)
			}
		}
		if err := <-encoded; err != nil {
			t.Error(err)
		}
	})
}
