package estimator_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/estimator"
)

const turnTime = 100 * time.Millisecond

// run lets a program of the route pass: each turn is followed by a tool call of 200 ms.
func run(e *estimator.Estimator, id string, turns int, stretch time.Duration) {
	target := time.Duration(turns) * 420 * time.Millisecond
	begin, context := time.Now(), int64(512)
	for range turns {
		e.Begin(id, "planner", target-time.Since(begin), true)
		time.Sleep(turnTime * stretch)
		e.End(estimator.Turn{Program: id, Route: "planner", PromptTokens: context + 300, SharedTokens: 512, OutputTokens: 60, Took: turnTime * stretch})
		context += 360
		e.Call(id, "tool")
		time.Sleep(2 * turnTime)
	}
	time.Sleep(5 * time.Second)
}

// A route seen for the first time has the need that its callers state. Two programs replace
// it, and a burst in which turns take five times as long does not pass for what they need
// on idle engines.
func TestNeedOfARoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := estimator.New()
		stated := estimator.Need{Turns: 1, Prefill: 800, Output: 80, Context: 880}
		if diff := cmp.Diff(stated, e.Need("planner", 800, 80)); diff != "" {
			t.Error(diff)
		}
		for i := range 3 {
			run(e, fmt.Sprint(i), 10, 1)
		}
		want := estimator.Need{
			Turns: 10, Calls: 10, Services: []string{"tool"}, Prefill: 300, Output: 60, Context: 512 + 3600, TurnTime: turnTime, Period: 3 * turnTime,
			Target: 4200 * time.Millisecond, IsLearned: true,
		}
		need := e.Need("planner", 1, 1)
		if diff := cmp.Diff(want, need); diff != "" {
			t.Error(diff)
		}
		// The turn that a program repeats after a failure is not its next one.
		e.Begin("again", "planner", time.Second, true)
		time.Sleep(turnTime / 2)
		e.Begin("again", "planner", time.Second, true)
		if got := e.Need("planner", 1, 1).Period; got != 3*turnTime {
			t.Errorf("after a repeated turn the period is %v", got)
		}
		e.Begin("under way", "planner", 5*time.Second, true)
		e.End(estimator.Turn{Program: "under way", Route: "planner", Took: turnTime})
		for _, tc := range []struct {
			program string
			first   bool
			want    estimator.Progress
		}{
			{"under way", false, estimator.Progress{Rest: need.Rest(1, 5*time.Second), TurnTime: turnTime, Target: 5 * time.Second, IsKnown: true}},
			{"new", true, estimator.Progress{Rest: need.Rest(0, 8*time.Second), TurnTime: turnTime, Target: 8 * time.Second}},
			{"from another instance", false, estimator.Progress{Rest: turnTime, TurnTime: turnTime, Target: need.Target}},
		} {
			if diff := cmp.Diff(tc.want, e.Progress(tc.program, "planner", tc.first, 8*time.Second)); diff != "" {
				t.Errorf("%s: %s", tc.program, diff)
			}
		}
		run(e, "burst", 10, 5)
		if got := e.Need("planner", 1, 1).TurnTime; got > 3*turnTime/2 {
			t.Errorf("after a burst a turn needs %v", got)
		}
	})
}

// The rest of a program that is longer than others follows its target: with the mean of the
// route, short programs counted as late from their first turn.
func TestRestFollowsTheTarget(t *testing.T) {
	need := estimator.Need{Turns: 10, TurnTime: turnTime, Period: 3 * turnTime, Target: 4 * time.Second}
	for _, tc := range []struct {
		turns  int
		target time.Duration
		want   time.Duration
	}{
		{0, 4 * time.Second, 28 * turnTime},
		{9, 4 * time.Second, turnTime},
		{30, 4 * time.Second, turnTime},
		{0, 2 * time.Second, 13 * turnTime},
		{5, 8 * time.Second, 43 * turnTime},
		{0, time.Hour, 88 * turnTime},
		{0, 0, 28 * turnTime},
	} {
		if got := need.Rest(tc.turns, tc.target); got != tc.want {
			t.Errorf("%d turns, target %v: %v, want %v", tc.turns, tc.target, got, tc.want)
		}
	}
}

// Programs that never end, and routes without number, must not take memory without bound.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := estimator.New()
		for i := range 5000 {
			id := fmt.Sprint(i)
			e.Begin(id, "route-"+id, time.Second, true)
			e.End(estimator.Turn{Program: id, Route: "route-" + id, PromptTokens: 1, Took: 1})
		}
		if e.Progress("1999", "", false, 0).IsKnown == e.Progress("2000", "", false, 0).IsKnown {
			t.Error("the number of programs is not bounded at 2000")
		}
		time.Sleep(10 * time.Second)
		if got := e.Need("route-1", 7, 0); got.Prefill != 7 {
			t.Errorf("one program of the route passes for its need: %+v", got)
		}
		if e.Progress("1", "", false, 0).IsKnown {
			t.Error("an ended program is known")
		}
	})
}

// A route of rare programs is known after the first that an instance sees, from another one. What
// it has learned itself stays, and figures that make no sense are not taken.
func TestNeedIsAdoptedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		need := estimator.Need{
			Turns: 9, Calls: 12, Services: []string{"a", "b"}, Prefill: 300, Output: 60, Context: 4000,
			TurnTime: turnTime, Period: 3 * turnTime, Target: 4 * time.Second, IsLearned: true,
		}
		e := estimator.New()
		for _, change := range []func(*estimator.Need){
			func(n *estimator.Need) { n.Turns = 0 },
			func(n *estimator.Need) { n.Turns = math.NaN() },
			func(n *estimator.Need) { n.Context = math.Inf(1) },
			func(n *estimator.Need) { n.TurnTime = -1 },
			func(n *estimator.Need) { n.Services = make([]string, 100) },
			func(n *estimator.Need) { n.IsLearned = false },
		} {
			invalid := need
			change(&invalid)
			e.Adopt("planner", invalid)
			if e.Need("planner", 1, 1).IsLearned {
				t.Errorf("%+v was adopted", invalid)
			}
		}
		e.Adopt("planner", need)
		other := need
		other.Turns = 3
		e.Adopt("planner", other)
		if diff := cmp.Diff(need, e.Need("planner", 1, 1)); diff != "" {
			t.Error(diff)
		}
	})
}
