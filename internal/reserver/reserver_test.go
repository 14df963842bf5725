package reserver

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against large requests that are passed by small ones forever, and against requests that
// wait although they can't get their turn.
func TestDecide(t *testing.T) {
	of := func(sizes ...int64) []Request {
		var out []Request
		for _, size := range sizes {
			out = append(out, Request{Size: size})
		}
		return out
	}
	for name, tc := range map[string]struct {
		free    int64
		waiting []Request
		want    []decision
	}{
		"none":                         {10, nil, []decision{}},
		"all fit":                      {10, of(4, 6), []decision{isGranted, isGranted}},
		"one fits":                     {10, of(6, 6), []decision{isGranted, waits}},
		"small ones don't pass":        {5, of(6, 1), []decision{waits, waits}},
		"too much waits":               {0, of(8, 8, 8, 1), []decision{waits, waits, isRefused, isRefused}},
		"what is granted doesn't wait": {10, of(10, 10, 10, 1), []decision{isGranted, waits, waits, isRefused}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, decide(tc.free, 20, tc.waiting)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against urgent requests, and those of programs under way, that are refused before others.
func TestRank(t *testing.T) {
	ranked := []Request{
		{Size: 1, IsUnderWay: true}, {Size: 2, IsUnderWay: true, Priority: 2}, {Size: 3}, {Size: 4, Priority: 1}, {Size: 5, Priority: 2},
	}
	shuffled := slices.Clone(ranked)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	slices.SortFunc(shuffled, compareRank)
	if diff := cmp.Diff(ranked, shuffled); diff != "" {
		t.Error(diff)
	}
}

// Guards against memory that is granted twice or never returned, and waits beyond the limit.
func TestReserverNeverGrantsMoreThanItsSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, maxWait = 100, time.Second
		r := New(size)
		var used, granted atomic.Int64
		var work sync.WaitGroup
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 1))
			work.Go(func() {
				for range 20 {
					request := Request{Size: 1 + random.Int64N(size), IsUnderWay: random.IntN(2) == 0, Priority: random.IntN(3)}
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(2000))*time.Millisecond)
					start := time.Now()
					err := r.Reserve(ctx, request, maxWait)
					cancel()
					if waited := time.Since(start); waited > maxWait {
						t.Errorf("waited %s", waited)
					}
					if err != nil {
						if !errors.Is(err, ErrFull) {
							t.Error(err)
						}
						time.Sleep(time.Millisecond)
						continue
					}
					granted.Add(1)
					if total := used.Add(request.Size); total > size {
						t.Errorf("%d bytes reserved", total)
					}
					time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
					used.Add(-request.Size)
					r.Release(request.Size)
				}
			})
		}
		work.Wait()
		if granted.Load() == 0 || r.free != size || len(r.waiting) != 0 {
			t.Errorf("%d granted, %d free, %d wait", granted.Load(), r.free, len(r.waiting))
		}
	})
}

// Guards against a wait of a request that never fits, and of one whose context has ended.
func TestReserveEnds(t *testing.T) {
	r := New(10)
	if err := r.Reserve(t.Context(), Request{Size: 11}, time.Hour); !errors.Is(err, ErrTooLarge) {
		t.Error(err)
	}
	if !r.TryReserve(10) || r.TryReserve(1) {
		t.Error("TryReserve does not follow what is free")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := r.Reserve(ctx, Request{Size: 1}, time.Hour); !errors.Is(err, ErrFull) {
		t.Error(err)
	}
	r.Release(10)
	if err := r.Reserve(t.Context(), Request{Size: 10}, 0); err != nil {
		t.Error(err)
	}
}
