package bookkeeper_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/apportioner"
	"github.com/wigeonstand/wigeonstand/internal/bookkeeper"
)

// The bookkeeper divides what is scarce between accounts by the new programs that it sees. A
// turn of a program under way must neither be refused nor count as demand.
func TestShareOfNewPrograms(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		k := f.start("k")
		ask := func(program, turn string, c *apportioner.Contender) *float64 {
			out, err := k.Open(t.Context(), bookkeeper.OpenRequest{Program: program, Turn: turn, Tokens: turnTokens, Budget: 3 * turnTokens, Wait: time.Second, Contender: c})
			if err != nil || out.Status != bookkeeper.OK {
				t.Fatal(out, err)
			}
			return out.RefusedShare
		}
		contender := func(account string, work float64) *apportioner.Contender {
			return &apportioner.Contender{Account: account, Service: "s", Work: work, Refused: 0.5}
		}
		got := []*float64{
			ask("p1", "t1", contender("a", 100)), ask("p2", "t2", contender("b", 100)), ask("p2", "t3", contender("b", 1e6)),
			ask("p3", "t4", contender("a", 200)), ask("p4", "t5", nil),
		}
		out, err := k.Open(t.Context(), bookkeeper.OpenRequest{
			Program: "p5", Turn: "t6", Tokens: turnTokens, Budget: turnTokens, Wait: time.Second,
			Contender: &apportioner.Contender{Account: "a", Service: "s", UnknownRoute: "r"},
		})
		if err != nil || out.Need != nil {
			t.Errorf("%+v, %v", out.Need, err)
		}
		half, twoThirds := 0.5, 2./3
		if diff := cmp.Diff([]*float64{&half, &half, nil, &twoThirds, nil}, got, cmp.Comparer(func(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 })); diff != "" {
			t.Error(diff)
		}
	})
}
