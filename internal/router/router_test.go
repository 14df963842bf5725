package router_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/router"
)

var policies = []string{
	router.Affinity, router.TwoChoices, router.LeastLoaded, router.RoundRobin, router.Random,
}

func drawCandidates(t *rapid.T) []router.Candidate {
	candidates := make([]router.Candidate, rapid.IntRange(1, 6).Draw(t, "candidates"))
	for i := range candidates {
		candidates[i] = router.Candidate{
			Endpoint:        fmt.Sprint("e", i),
			Local:           rapid.Bool().Draw(t, "local"),
			Running:         rapid.IntRange(0, 5).Draw(t, "running"),
			Waiting:         rapid.IntRange(0, 2).Draw(t, "waiting"),
			Slots:           4,
			Outstanding:     rapid.IntRange(0, 5).Draw(t, "outstanding"),
			SentSinceReport: rapid.IntRange(0, 2).Draw(t, "since"),
			PrefixTokens:    rapid.IntRange(0, 3).Draw(t, "prefix") * 500,
			Ramp:            float64(rapid.IntRange(0, 4).Draw(t, "ramp")) / 4,
			GapRatio:        1,
		}
	}
	return candidates
}

// hasFreeSlot is the test oracle for candidates that any policy may pick.
func hasFreeSlot(c router.Candidate) bool {
	used := max(c.Running+c.Waiting+c.SentSinceReport, c.Outstanding)
	return used < int(float64(c.Slots)*c.Ramp)
}

// mayExceedSlots is the test oracle for full candidates that Affinity may pick:
// the one that served the last turn, if it holds a prefix and its load is below
// three times its slots, or for an urgent request any whose load is below 1.25
// times its slots.
func mayExceedSlots(request router.Request, c router.Candidate) bool {
	used := max(c.Running+c.Waiting+c.SentSinceReport, c.Outstanding)
	slots := int(float64(c.Slots) * c.Ramp)
	if request.Urgent && float64(used) < 1.25*float64(slots) {
		return true
	}
	return c.Endpoint == request.LastEndpoint && c.PrefixTokens > 0 && used < 3*slots
}

// Every policy picks a candidate with a free slot if there is one and none
// otherwise; Affinity may also pick the full candidates of mayExceedSlots.
func TestPickChoosesAdmissible(t *testing.T) {
	for _, name := range policies {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				r := router.New(compiler.Policy{Routing: name}, rapid.Uint64().Draw(t, "seed"))
				candidates := drawCandidates(t)
				request := router.Request{
					PromptTokens: 1500, MaxTokens: 64, Urgent: rapid.Bool().Draw(t, "urgent"),
					LastEndpoint: fmt.Sprint("e", rapid.IntRange(0, 6).Draw(t, "last")),
				}
				allowed := func(c router.Candidate) bool {
					return hasFreeSlot(c) || name == router.Affinity && mayExceedSlots(request, c)
				}
				want := slices.ContainsFunc(candidates, allowed)
				i, got := r.Pick(request, candidates)
				if got != want {
					t.Fatalf("Pick found a candidate: %v, want %v", got, want)
				}
				if got && !allowed(candidates[i]) {
					t.Fatalf("Pick returned the inadmissible candidate %d", i)
				}
			})
		})
	}
}

// The same seed gives the same choices.
func TestPickIsDeterministic(t *testing.T) {
	for _, name := range policies {
		rapid.Check(t, func(t *rapid.T) {
			candidates := drawCandidates(t)
			seed := rapid.Uint64().Draw(t, "seed")
			picks := func() (picks []int) {
				r := router.New(compiler.Policy{Routing: name}, seed)
				for range 10 {
					i, _ := r.Pick(router.Request{PromptTokens: 100, MaxTokens: 10}, candidates)
					picks = append(picks, i)
				}
				return picks
			}
			if diff := cmp.Diff(picks(), picks()); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

func idle(endpoint string) router.Candidate {
	return router.Candidate{Endpoint: endpoint, Slots: 16, Ramp: 1, GapRatio: 1}
}

func TestAffinity(t *testing.T) {
	withPrefix := idle("held")
	withPrefix.PrefixTokens = 20000
	busyWithPrefix := withPrefix
	busyWithPrefix.Running = 15
	busyShortPrefix := idle("small")
	busyShortPrefix.PrefixTokens = 100
	busyShortPrefix.Running = 15
	fullWithPrefix := withPrefix
	fullWithPrefix.Outstanding = 16
	overloaded := withPrefix
	overloaded.Outstanding = 48
	busyWithoutPrefix := idle("other")
	busyWithoutPrefix.Running = 15
	slow := idle("last")
	slow.GapRatio = 4
	slightlyBusier := withPrefix
	slightlyBusier.Endpoint = "last"
	slightlyBusier.Running = 1
	tests := []struct {
		name       string
		last       string
		candidates []router.Candidate
		want       string
	}{
		{"PrefixWins", "", []router.Candidate{idle("a"), idle("b"), withPrefix}, "held"},
		{"LongPrefixWinsOverLoad", "", []router.Candidate{idle("a"), busyWithPrefix}, "held"},
		{"LoadWinsOverShortPrefix", "", []router.Candidate{idle("a"), busyShortPrefix}, "a"},
		{"FullIsSkipped", "", []router.Candidate{idle("a"), fullWithPrefix}, "a"},
		{"ProgramWaitsForItsPrefix", "held", []router.Candidate{busyWithoutPrefix, fullWithPrefix}, "held"},
		{"ProgramLeavesOverloaded", "held", []router.Candidate{busyWithoutPrefix, overloaded}, "other"},
		{"ProgramLeavesSlow", "last", []router.Candidate{idle("a"), slow}, "a"},
		{"SmallSavingDoesNotMove", "last", []router.Candidate{withPrefix, slightlyBusier}, "last"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := router.New(compiler.Policy{}, 1)
			request := router.Request{PromptTokens: 20050, MaxTokens: 128, LastEndpoint: test.last}
			i, ok := r.Pick(request, test.candidates)
			if !ok {
				t.Fatal("Pick found no candidate")
			}
			if diff := cmp.Diff(test.want, test.candidates[i].Endpoint); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestRoundRobinSkipsFull(t *testing.T) {
	r := router.New(compiler.Policy{Routing: router.RoundRobin}, 1)
	busy := idle("b")
	busy.Outstanding = 16
	var got []int
	for range 4 {
		i, _ := r.Pick(router.Request{}, []router.Candidate{idle("a"), busy, idle("c")})
		got = append(got, i)
	}
	if diff := cmp.Diff([]int{0, 2, 0, 2}, got); diff != "" {
		t.Error(diff)
	}
}
