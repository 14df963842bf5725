package stopper_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/stopper"
)

// Guards against requests that are passed on although they can't be answered before the instance
// ends (issue 47), and against refusals of those that can.
func TestMaxWait(t *testing.T) {
	const second = time.Second
	for name, tc := range map[string]struct {
		request   stopper.Request
		graceLeft time.Duration
		want      time.Duration
	}{
		"its deadline ends before":             {stopper.Request{Left: 2 * second}, 3 * second, 2 * second},
		"its deadline has passed":              {stopper.Request{Left: -second}, 3 * second, 0},
		"early, known":                         {stopper.Request{Left: 30 * second, Expected: second}, 7 * second, 5500 * time.Millisecond},
		"just in time":                         {stopper.Request{Left: 30 * second, Expected: second}, 1500 * time.Millisecond, 0},
		"late":                                 {stopper.Request{Left: 30 * second, Expected: second}, 1400 * time.Millisecond, -100 * time.Millisecond},
		"short but late":                       {stopper.Request{Left: 30 * second, Expected: time.Millisecond}, 200 * time.Millisecond, -51250 * time.Microsecond},
		"longer than the rest":                 {stopper.Request{Left: 30 * second, Expected: 10 * second}, 7 * second, -5750 * time.Millisecond},
		"expected beyond its deadline":         {stopper.Request{Left: 7500 * time.Millisecond, Expected: 10 * second}, 7 * second, -500 * time.Millisecond},
		"unknown":                              {stopper.Request{Left: 30 * second}, 7 * second, -1},
		"after the end":                        {stopper.Request{Left: 30 * second, Expected: second}, -second, -2500 * time.Millisecond},
		"after the end, unknown":               {stopper.Request{Left: 30 * second}, -second, -1},
		"a stream goes on":                     {stopper.Request{Left: 30 * second, Expected: 10 * second, HasResponse: true}, second, second},
		"a stream goes on, after the end":      {stopper.Request{Left: 30 * second, HasResponse: true}, -second, 0},
		"a stream goes on until its deadline":  {stopper.Request{Left: second, HasResponse: true}, 2 * second, second},
		"unknown, its deadline is just beyond": {stopper.Request{Left: 7001 * time.Millisecond}, 7 * second, -1},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, stopper.MaxWait(tc.request, tc.graceLeft)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestExpected(t *testing.T) {
	d := stopper.NewDurations()
	expect := func(route string, isRepeatable bool, want time.Duration) {
		t.Helper()
		if diff := cmp.Diff(want, d.Expected("s", route, isRepeatable)); diff != "" {
			t.Error(route, isRepeatable, diff)
		}
	}
	expect("a", false, 0)
	for i := range 1000 {
		d.Record("s", "a", time.Duration(1+i%128)*time.Millisecond)
	}
	for range 9 {
		d.Record("s", "b", time.Second)
	}
	expect("a", false, 126*time.Millisecond)
	expect("a", true, 102*time.Millisecond)
	expect("b", false, time.Second) // Of all requests to the service, as nine are too few.
	if got := d.Expected("other", "a", true); got != 0 {
		t.Errorf("another service: %s", got)
	}
}

func TestContextEndsWithTheAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := stopper.New()
		if _, isStopping := s.Left(); isStopping {
			t.Error("it stops before it began to")
		}
		began := make(chan bool, 1)
		s.OnBegin(func() { began <- true })
		s.Begin(3 * time.Second)
		<-began
		time.Sleep(time.Second)
		if left, isStopping := s.Left(); left != 2*time.Second || !isStopping || s.Context().Err() != nil {
			t.Errorf("%s left, stops %v, %v", left, isStopping, s.Context().Err())
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if err := context.Cause(s.Context()); !errors.Is(err, stopper.ErrEnded) {
			t.Errorf("ended with %v", err)
		}
	})
}
