package fakeengine_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/fakeengine"
	"github.com/wigeonstand/wigeonstand/internal/generator"
)

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
