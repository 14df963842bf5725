package fakeengine_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/fakeengine"
	"github.com/wigeonstand/wigeonstand/internal/faker"
	"github.com/wigeonstand/wigeonstand/internal/generator"
)

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
