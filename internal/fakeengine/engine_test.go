package fakeengine_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/fakeengine"
	"github.com/wigeonstand/wigeonstand/internal/generator"
)

func TestStreamIsWholeAndNamesItsRequest(t *testing.T) {
	withEngine(t, func(f face) {
		r := request("a", 5)
		s := f.generate(f.Context(), r)
		f.same(http.StatusOK, s.Status)
		f.same(fakeengine.Text(r.Seed, r.Messages, 0, 5), s.Text)
		f.same(&generator.Usage{Prompt: 2, Generated: 5}, s.last().Usage)
		offset := 0
		for _, chunk := range s.Chunks {
			f.same([]any{"a", offset}, []any{chunk.Request, chunk.Offset})
			f.same(fakeengine.CountTokens(chunk.Text), chunk.Tokens)
			offset += chunk.Tokens
		}
		// Two prompt tokens are prefilled before the five are decoded.
		f.same(2*time.Millisecond+5*tokenTime, s.Took)
	})
}

func TestStepsGrowWithTheBatchAndTheRestWaits(t *testing.T) {
	withEngine(t, func(f face) {
		urgent := request("urgent", 1)
		urgent.Priority = -1
		streams := f.all(request("a", 10), request("b", 10), request("late", 1), urgent)
		// The first is alone for its prefill; then both slots are taken.
		// The first is admitted alone; of the three that wait, the urgent one is
		// next. A step is 10 ms, 2 ms more with two decoding, and each prefill
		// of a prompt adds 2 ms to a step.
		want := []time.Duration{
			122 * time.Millisecond,
			156 * time.Millisecond,
			146 * time.Millisecond,
			26 * time.Millisecond,
		}
		got := []time.Duration{streams[0].Took, streams[1].Took, streams[2].Took, streams[3].Took}
		f.same(want, got)
	})
}

func TestCachedPrefixIsNotPrefilledAgain(t *testing.T) {
	withEngine(t, func(f face) {
		first := request("a", 4)
		first.Messages[0].Text = strings.Repeat("word ", 16)
		cold := f.generate(f.Context(), first)
		next := first
		next.Request = "b"
		next.Messages = append(first.Messages,
			generator.Message{Role: "Assistant", Text: cold.Text},
			generator.Message{Role: "User", Text: "go on then please"})
		warm := f.generate(f.Context(), next)
		f.same(16*time.Millisecond+4*tokenTime, cold.Took)
		f.same(&generator.Usage{Prompt: 24, Cached: 20, Generated: 4}, warm.last().Usage)
		f.same(4*time.Millisecond+4*tokenTime, warm.Took)
	})
}

func TestInstructionsAreSharedWithinABusinessOnly(t *testing.T) {
	withEngine(t, func(f face) {
		cached := func(id, business string) int {
			r := request(id, 1)
			r.Business = business
			r.Messages = append([]generator.Message{{Role: "User", Text: "you tally the trays now"}}, r.Messages...)
			return f.generate(f.Context(), r).last().Usage.Cached
		}
		f.same([]int{0, 4, 0}, []int{cached("a", "binfold"), cached("b", "binfold"), cached("c", "laulukaar")})
	})
}

func TestRunningGenerationKeepsItsPrefix(t *testing.T) {
	withEngine(t, func(f face) {
		long, big := request("long", 200), request("big", 1)
		long.Messages[0].Text = strings.Repeat("long ", 16)
		big.Messages[0].Text = strings.Repeat("big ", 64)
		held := func() int {
			for _, h := range f.engine.Holdings().Holdings {
				if h.Program == long.Program {
					return h.Tokens
				}
			}
			return 0
		}
		done := make(chan stream)
		go func() { done <- f.generate(f.Context(), long) }()
		time.Sleep(10 * tokenTime)
		f.generate(f.Context(), big)
		f.same(16, held())
		<-done
		big.Request, big.Messages[0].Text = "bigger", strings.Repeat("bigger ", 64)
		f.generate(f.Context(), big)
		f.same(0, held())
	})
}

func TestReleaseEmptiesHoldings(t *testing.T) {
	withEngine(t, func(f face) {
		f.generate(f.Context(), request("a", 8))
		f.same(generator.HoldingReport{Holdings: []generator.Holding{{Program: "program-a", Tokens: 8}}}, f.engine.Holdings())
		for range 2 {
			status, _ := f.status("/v1/release", generator.ReleaseRequest{Program: "program-a"})
			f.same(http.StatusNoContent, status)
		}
		f.same(generator.HoldingReport{Holdings: []generator.Holding{}}, f.engine.Holdings())
	})
}

func TestEventsAreLate(t *testing.T) {
	withEngine(t, func(f face) {
		f.generate(f.Context(), request("a", 8))
		f.same(generator.CacheEventPage{Events: []generator.CacheEvent{}}, f.engine.Events(0))
		time.Sleep(time.Second)
		want := []generator.CacheEvent{{Number: 1, Program: "program-a", Change: "Stored", Tokens: 8}}
		f.same(generator.CacheEventPage{Events: want, Next: 1}, f.engine.Events(0))
		f.same(generator.CacheEventPage{Events: []generator.CacheEvent{}, Next: 1}, f.engine.Events(1))
		f.same(generator.CacheEventPage{Events: want, Next: 1}, f.engine.Events(99))
	})
}

func TestLostEventsLeaveGaps(t *testing.T) {
	half := settings()
	half.EventLoss = 0.5
	withEngine(t, func(f face) {
		for i := range 20 {
			f.generate(f.Context(), request(fmt.Sprint(i), 8))
		}
		time.Sleep(time.Second)
		page := f.engine.Events(0)
		f.same(true, len(page.Events) > 0 && int64(len(page.Events)) < page.Next)
		for i := 1; i < len(page.Events); i++ {
			f.same(true, page.Events[i-1].Number < page.Events[i].Number)
		}
	}, fakeengine.WithSettings(half))
}

func TestLoadReportLags(t *testing.T) {
	withEngine(t, func(f face) {
		running := func() [2]int { l := f.engine.Load(); return [2]int{l.Running, l.Waiting} }
		for _, id := range []string{"a", "b", "c"} {
			go f.generate(f.Context(), request(id, 300))
		}
		synctest.Wait()
		f.same([2]int{0, 0}, running())
		time.Sleep(1500 * time.Millisecond)
		f.same([2]int{2, 1}, running())
		time.Sleep(time.Minute)
		f.same([2]int{0, 0}, running())
	})
}

func TestCancelEndsTheStream(t *testing.T) {
	over := settings()
	over.CancelOvershoot = 3
	withEngine(t, func(f face) {
		time.AfterFunc(5*tokenTime, func() {
			for _, id := range []string{"a", "waiting", "not known"} {
				status, _ := f.status("/v1/cancel", generator.CancelRequest{Request: id})
				f.same(http.StatusNoContent, status)
			}
		})
		streams := f.all(request("a", 100), request("b", 100), request("waiting", 100))
		f.same("Canceled", streams[0].last().Error)
		f.same(true, streams[0].last().Usage.Generated < 10 && streams[0].last().Usage.Generated >= 3)
		f.same(&generator.Usage{Prompt: 2}, streams[2].last().Usage)
		f.same("", streams[1].last().Error)
		f.same(true, streams[1].Done)
	}, fakeengine.WithSettings(over))
}

func TestCallerThatLeavesFreesTheSlot(t *testing.T) {
	withEngine(t, func(f face) {
		ctx, cancel := context.WithTimeout(f.Context(), 5*tokenTime)
		defer cancel()
		s := f.generate(ctx, request("a", 1000))
		f.same(false, s.Done)
		time.Sleep(2 * tokenTime)
		f.same(0, f.engine.Busy())
		f.same(1, f.engine.Counts().Canceled)
	})
}

func TestResumeContinuesTheSameText(t *testing.T) {
	withEngine(t, func(f face) {
		r := request("a", 20)
		f.engine.SetFaults(fakeengine.Faults{CutAfter: 7, Times: 1})
		cut := f.generate(f.Context(), r)
		f.same([]any{false, 7}, []any{cut.Done, fakeengine.CountTokens(cut.Text)})
		r.Request, r.Offset = "a-2", 7
		rest := f.generate(f.Context(), r)
		f.same(fakeengine.Text(r.Seed, r.Messages, 0, 20), cut.Text+rest.Text)
		f.same(13, rest.last().Usage.Generated)
	})
}

func TestExportedBlocksAreFoundAfterImport(t *testing.T) {
	withEngine(t, func(f face) {
		f.generate(f.Context(), request("a", 14))
		status, body := f.status("/v1/export", generator.ReleaseRequest{Program: "program-a"})
		f.same(http.StatusOK, status)
		other := fakeengine.New("engine-2", fakeengine.WithSettings(settings()))
		start := time.Now()
		if err := other.Import(f.Context(), []byte(body)); err != nil {
			f.Fatal(err)
		}
		f.same(16*time.Millisecond, time.Since(start))
		f.same(f.engine.Holdings(), other.Holdings())
	})
}
