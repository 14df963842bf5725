package fakeengine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/wigeonstand/wigeonstand/internal/fakeengine"
	"github.com/wigeonstand/wigeonstand/internal/faker"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// fixedSeed makes the fuzzing the same in every run that names no other seed.
const fixedSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", fixedSeed)
	}
	goleak.VerifyTestMain(m)
}

const (
	model     = "songbird"
	tokenTime = 10 * time.Millisecond
)

// settings has round times, so that tests can add them up.
func settings() fakeengine.Settings {
	return fakeengine.Settings{
		Slots:        2,
		TokenTime:    tokenTime,
		PeerTime:     2 * time.Millisecond,
		PrefillTime:  time.Millisecond,
		PrefillChunk: 8,
		BlockTokens:  4,
		CacheTokens:  64,
		LoadLag:      time.Second,
		EventDelay:   time.Second,
		OrderTime:    time.Second,
		TransferTime: time.Millisecond,
	}
}

// face is an engine served in memory.
type face struct {
	*testing.T
	engine *fakeengine.Engine
	client *http.Client
}

// withEngine runs the test in a bubble with an engine that is served over HTTP.
func withEngine(t *testing.T, test func(f face), options ...fakeengine.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		options = append([]fakeengine.Option{fakeengine.WithSettings(settings()), fakeengine.WithModels(model)}, options...)
		engine := fakeengine.New("engine-1", options...)
		listener := faker.NewPipeListener()
		transport := listener.Transport()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go engine.Run(ctx)
		go func() {
			done <- faker.Server{Grace: time.Second}.ServeOn(ctx, logger.Discard(), listener, engine.Handler())
		}()
		test(face{t, engine, &http.Client{Transport: transport}})
		transport.CloseIdleConnections()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// request returns a generation of n tokens for a prompt of its own.
func request(id string, n int) generator.GenerateRequest {
	return generator.GenerateRequest{
		Request:   id,
		Program:   "program-" + id,
		Business:  "laulukaar",
		Model:     model,
		MaxTokens: n,
		Messages:  []generator.Message{{Role: "User", Text: "prompt " + id}},
		Seed:      42,
	}
}

func (f face) post(ctx context.Context, path string, value any) (*http.Response, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://engine"+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return f.client.Do(r)
}

// status posts a value and returns the status and the body; 0 is a cut connection.
func (f face) status(path string, value any) (int, string) {
	f.Helper()
	response, err := f.post(f.Context(), path, value)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		f.Fatal(err)
	}
	return response.StatusCode, string(body)
}

// stream is what came of one generation.
type stream struct {
	Status int
	Text   string
	Chunks []generator.Chunk
	Done   bool
	Took   time.Duration
}

// last returns the chunk that ended a whole stream.
func (s stream) last() generator.Chunk { return s.Chunks[len(s.Chunks)-1] }

// generate reads a generation to its end, however it ends.
func (f face) generate(ctx context.Context, r generator.GenerateRequest) stream {
	f.Helper()
	start := time.Now()
	response, err := f.post(ctx, "/v1/generate", r)
	if err != nil {
		return stream{Took: time.Since(start)}
	}
	defer func() { _ = response.Body.Close() }()
	s := stream{Status: response.StatusCode}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var chunk generator.Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			f.Error(err)
		}
		s.Chunks = append(s.Chunks, chunk)
		s.Text += chunk.Text
		s.Done = s.Done || chunk.Done
	}
	s.Took = time.Since(start)
	return s
}

// all runs the generations together and returns their streams in order.
func (f face) all(requests ...generator.GenerateRequest) []stream {
	f.Helper()
	streams := make([]stream, len(requests))
	done := make(chan struct{})
	for i, r := range requests {
		go func() {
			streams[i] = f.generate(f.Context(), r)
			done <- struct{}{}
		}()
		synctest.Wait()
	}
	for range requests {
		<-done
	}
	return streams
}

func (f face) same(want, got any) {
	f.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		f.Error(diff)
	}
}

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
		f.same(generator.EventPage{Events: []generator.Event{}}, f.engine.Events(0))
		time.Sleep(time.Second)
		want := []generator.Event{{Number: 1, Program: "program-a", Change: "Stored", Tokens: 8}}
		f.same(generator.EventPage{Events: want, Next: 1}, f.engine.Events(0))
		f.same(generator.EventPage{Events: []generator.Event{}, Next: 1}, f.engine.Events(1))
		f.same(generator.EventPage{Events: want, Next: 1}, f.engine.Events(99))
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

func TestOrdersAreFencedUnlessIgnored(t *testing.T) {
	load := func(fence int64, name string) generator.Order {
		return generator.Order{ID: name, Fence: fence, Change: "LoadModel", Model: name}
	}
	tests := []struct {
		name    string
		options []fakeengine.Option
		status  int
		want    generator.OrderReport
	}{
		{
			"checked", nil, http.StatusConflict,
			generator.OrderReport{Fence: 7, Models: []string{"new", model}, LastOrder: "new"},
		},
		{
			"ignored",
			[]fakeengine.Option{fakeengine.WithoutFenceCheck()},
			http.StatusOK,
			generator.OrderReport{Fence: 6, Models: []string{"new", "old", model}, LastOrder: "old"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withEngine(t, func(f face) {
				status, _ := f.status("/v1/orders", load(7, "new"))
				f.same(http.StatusOK, status)
				status, _ = f.status("/v1/orders", load(6, "old"))
				f.same(test.status, status)
				f.same(test.want, f.engine.State())
			}, test.options...)
		})
	}
}

func TestOrderTakesEffectAfterItsCallerLeft(t *testing.T) {
	withEngine(t, func(f face) {
		ctx, cancel := context.WithTimeout(f.Context(), time.Millisecond)
		defer cancel()
		response, err := f.post(ctx, "/v1/orders", generator.Order{ID: "o", Fence: 1, Change: "SetRole", Name: "Prefill"})
		if err == nil {
			_ = response.Body.Close()
			f.Error("the order was answered in time")
		}
		f.same("", f.engine.State().Role)
		time.Sleep(time.Second)
		f.same("Prefill", f.engine.State().Role)
	})
}

func TestRefusedGenerationsAreNotRun(t *testing.T) {
	withEngine(t, func(f face) {
		unknown := request("a", 1)
		unknown.Model = "gone"
		f.same(http.StatusNotFound, f.generate(f.Context(), unknown).Status)
		adapted := request("a", 1)
		adapted.Adapter = "karaoke"
		f.same(http.StatusNotFound, f.generate(f.Context(), adapted).Status)
		f.same(http.StatusBadRequest, f.generate(f.Context(), request("a", 0)).Status)
		f.engine.SetFaults(fakeengine.Faults{Refuse: true, Times: 1})
		f.same(http.StatusServiceUnavailable, f.generate(f.Context(), request("a", 1)).Status)
		f.same(fakeengine.Counts{}, f.engine.Counts())
		f.same(http.StatusOK, f.generate(f.Context(), request("a", 1)).Status)
	})
}

func TestFaultsStrikeGenerations(t *testing.T) {
	tests := []struct {
		name   string
		faults fakeengine.Faults
		want   stream
	}{
		{"dropped", fakeengine.Faults{Drop: true}, stream{}},
		{"silent", fakeengine.Faults{Silent: true}, stream{Took: time.Minute}},
		{"stalled", fakeengine.Faults{StallAfter: 1}, stream{Status: http.StatusOK, Took: time.Minute}},
		{"cut at the end", fakeengine.Faults{CutAfter: 3}, stream{Status: http.StatusOK, Took: 32 * time.Millisecond}},
		{"slow", fakeengine.Faults{Slow: 2}, stream{Status: http.StatusOK, Done: true, Took: 64 * time.Millisecond}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withEngine(t, func(f face) {
				f.engine.SetFaults(test.faults)
				ctx, cancel := context.WithTimeout(f.Context(), time.Minute)
				defer cancel()
				got := f.generate(ctx, request("a", 3))
				got.Chunks, got.Text = nil, ""
				f.same(test.want, got)
				f.engine.SetFaults(fakeengine.Faults{})
				time.Sleep(time.Second)
				f.same(true, f.generate(f.Context(), request("b", 3)).Done)
			})
		})
	}
}

func TestCrossedAnswerCarriesAnotherRequestsID(t *testing.T) {
	withEngine(t, func(f face) {
		f.engine.SetFaults(fakeengine.Faults{Cross: true, Times: 1})
		streams := f.all(request("a", 3), request("b", 30))
		f.same("b", streams[0].last().Request)
		f.same("b", streams[1].last().Request)
	})
}

func TestReportsCanBeLost(t *testing.T) {
	withEngine(t, func(f face) {
		f.generate(f.Context(), request("a", 8))
		f.engine.SetFaults(fakeengine.Faults{LoseReleases: true, LoseOrders: true})
		status, _ := f.status("/v1/release", generator.ReleaseRequest{Program: "program-a"})
		f.same(0, status)
		f.same(1, len(f.engine.Holdings().Holdings))
		status, _ = f.status("/v1/orders", generator.Order{ID: "o", Fence: 1, Change: "SetRole", Name: "Decode"})
		f.same(0, status)
		f.same("Decode", f.engine.State().Role)
	})
}

func TestLeavingEngineRefusesAfterItsGrace(t *testing.T) {
	grace := settings()
	grace.LeavingGrace = 2 * time.Second
	withEngine(t, func(f face) {
		f.engine.SetLeaving(true)
		f.same(http.StatusOK, f.generate(f.Context(), request("a", 1)).Status)
		time.Sleep(2 * time.Second)
		response, err := f.post(f.Context(), "/v1/generate", request("b", 1))
		if err != nil {
			f.Fatal(err)
		}
		_ = response.Body.Close()
		f.same([]any{http.StatusServiceUnavailable, "true"}, []any{response.StatusCode, response.Header.Get(faker.HeaderLeaving)})
		f.same(1, f.engine.Counts().LeavingRefusals)
	}, fakeengine.WithSettings(grace))
}

func TestWorkGivenToALeavingEngineIsCounted(t *testing.T) {
	withEngine(t, func(f face) {
		f.engine.SetLeaving(true)
		f.same(true, f.engine.Load().Leaving)
		time.Sleep(3 * time.Second)
		f.engine.SetLeaving(true)
		f.generate(f.Context(), request("a", 1))
		counts := f.engine.Counts()
		f.same(1, counts.AfterLeaving)
		f.same(3*time.Second, counts.LatestAfterLeaving)
	})
}
