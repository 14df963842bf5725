package admitter_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstand/wigeonstand/internal/admitter"
)

// Replays one engine that serves by rank while twelve accounts ask for three times what it can
// serve. Guards against accounts that starve, and against priorities without effect.
func TestNoAccountStarves(t *testing.T) {
	const accounts, rounds, perRound, served = 12, 2000, 2, 8
	got := make([]int, accounts)
	type program struct{ account, rank int }
	for round := range rounds {
		var waiting []program
		for account := range accounts {
			for i := range perRound {
				hash := xxhash.Sum64String(fmt.Sprintf("%d-%d-%d", account, round, i))
				waiting = append(waiting, program{account, admitter.Priority(admitter.Order{Priority: admitter.AccountPriority(account/4, hash), First: true})})
			}
		}
		// Equals are served in an order that differs from round to round.
		n := round * 7 % len(waiting)
		waiting = append(waiting[n:], waiting[:n]...)
		slices.SortStableFunc(waiting, func(a, b program) int { return a.rank - b.rank })
		for _, p := range waiting[:served] {
			got[p.account]++
		}
	}
	mean := rounds * served / accounts
	for account, n := range got {
		if n < mean/4 {
			t.Errorf("account %d of priority %d: %d programs served, a mean account %d", account, account/4, n, mean)
		}
	}
	if got[0] < 2*got[accounts-1] {
		t.Errorf("priorities have little effect: %v", got)
	}
}
