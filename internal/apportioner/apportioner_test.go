package apportioner_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/wigeonstand/wigeonstand/internal/apportioner"
)

func TestRefused(t *testing.T) {
	type demands []apportioner.Demand
	for _, tc := range []struct {
		name    string
		demands demands
		refused float64
		want    []float64
	}{
		{"one account", demands{{Work: 5}}, 0.4, []float64{0.4}},
		{"equal demands", demands{{Work: 5}, {Work: 5}}, 0.3, []float64{0.3, 0.3}},
		{"what one does not use is lent", demands{{Work: 1}, {Work: 5}, {Work: 10}}, 0.5, []float64{0, 0.3, 0.65}},
		{"by weight", demands{{Work: 20, Weight: 16}, {Work: 20, Weight: 4}}, 0.5, []float64{0.2, 0.8}},
		{"without a weight beside others", demands{{Work: 10, Weight: 2}, {Work: 10, Weight: 4}, {Work: 10}}, 0.5, []float64{2. / 3, 1. / 3, 0.5}},
		{"all", demands{{Work: 3}, {Work: 4}}, 1, []float64{1, 1}},
		{"nothing", demands{{Work: 3}, {Work: 4}}, 0, []float64{0, 0}},
	} {
		var got []float64
		for i := range tc.demands {
			got = append(got, apportioner.Refused(tc.demands, i, tc.refused))
		}
		if diff := cmp.Diff(tc.want, got, cmpopts.EquateApprox(0, 1e-9)); diff != "" {
			t.Errorf("%s: %s", tc.name, diff)
		}
	}
}

// ask lets the accounts ask for a second, each at its rate, and returns the share that is
// refused of each.
func ask(a *apportioner.Apportioner, refused float64, rates map[string]int) map[string]float64 {
	shares := map[string]float64{}
	for i := range 20 {
		for account, rate := range rates {
			for range (i+1)*rate/20 - i*rate/20 {
				shares[account] = a.Ask(apportioner.Contender{Account: account, Service: "s", Work: 100, Refused: refused})
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return shares
}

// Load: one account of 82 sends seven times its usual rate. It takes capacity from no other:
// the work to be refused is its own. Accounts that lent their shares have them back with their
// first program.
func TestSevenTimesTheUsualRateTakesFromNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := apportioner.New()
		rates := map[string]int{"loud": 140}
		for i := range 80 {
			rates[fmt.Sprint("account-", i)] = 20
		}
		usual := 81.0 * 20
		refused := 1 - usual/(usual+120)
		var shares map[string]float64
		for range 9 {
			shares = ask(a, refused, rates)
		}
		for account, share := range shares {
			if account != "loud" && share > 0.02 {
				t.Errorf("%.2f of %s refused", share, account)
			}
		}
		if shares["loud"] < 0.75 {
			t.Errorf("%.2f of the loud account refused", shares["loud"])
		}
		if got := a.Ask(apportioner.Contender{Account: "back", Service: "s", Work: 100, Refused: refused}); got != 0 {
			t.Errorf("an account that was away is refused to %.2f", got)
		}
	})
}

// A kind that is refused wholly keeps a quarter of what all are served, and less than a more
// urgent one.
func TestStarvedKindKeepsAFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := apportioner.New()
		var urgent, other float64
		for range 200 {
			urgent = a.Ask(apportioner.Contender{Account: "a", Service: "s", Work: 300, Refused: 0.1})
			other = a.Ask(apportioner.Contender{Account: "b", Service: "s", Level: 1, Work: 100, Refused: 1})
			time.Sleep(50 * time.Millisecond)
		}
		served := 0.75*0.9 + 0.25*(1-other)
		if diff := cmp.Diff([]float64{0.1, 1 - served/4}, []float64{urgent, other}, cmpopts.EquateApprox(0, 0.02)); diff != "" {
			t.Error(diff)
		}
		// Another service and a later window have nothing to do with it.
		time.Sleep(time.Minute)
		for _, service := range []string{"s", "other"} {
			if got := a.Ask(apportioner.Contender{Account: "c", Service: service, Work: 1, Refused: 1}); got != 1 {
				t.Errorf("%s: %.2f refused", service, got)
			}
		}
	})
}

// Accounts without number, of a configuration or of an instance of another version, must not
// take memory without bound, and figures that make no sense have a bounded effect.
func TestInvalidDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := apportioner.New()
		for i := range 10000 {
			a.Ask(apportioner.Contender{Account: fmt.Sprint(i), Service: "s", Work: float64(-i), Weight: -1, Refused: 7})
		}
		for _, value := range []float64{-3, math.NaN(), math.Inf(-1)} {
			if got := a.Ask(apportioner.Contender{Account: "1", Service: "s", Work: value, Weight: value, Refused: value}); got != 0 {
				t.Errorf("%.2f refused", got)
			}
		}
		if got := a.Ask(apportioner.Contender{Account: "2", Service: "s", Work: math.Inf(1), Weight: math.Inf(1), Refused: math.Inf(1)}); !(got >= 0 && got <= 1) {
			t.Errorf("%.2f refused", got)
		}
	})
}
