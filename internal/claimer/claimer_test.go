package intender_test

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/intender"
	"github.com/wigeonstand/wigeonstand/internal/orderer"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

func TestReplacedHolderRecordsNothing(t *testing.T) {
	ctx := context.Background()
	platform := fakeplatform.New()
	former, latter := intender.New(platform, "ee-tln-1-4"), intender.New(platform, "ee-trt-1-7")
	for _, i := range []*intender.Intender{former, latter} {
		if err := i.Hold(ctx, []string{"engine-0"}); err != nil {
			t.Fatal(err)
		}
	}
	first, _ := former.Fence("engine-0")
	second, held := latter.Fence("engine-0")
	if !held || second <= first {
		t.Errorf("the fencing number went from %d to %d", first, second)
	}
	intent := orderer.Intent{Endpoint: "engine-0", Order: generator.Order{Fence: first}}
	if err := former.Record(ctx, intent); err == nil {
		t.Error("the replaced holder recorded an intent")
	}
	if _, held := former.Fence("engine-0"); held {
		t.Error("the replaced holder still holds the engine")
	}
}

func TestIntentsLastUntilSettled(t *testing.T) {
	ctx := context.Background()
	platform := fakeplatform.New()
	former := intender.New(platform, "ee-tln-1-4")
	if err := former.Hold(ctx, []string{"engine-0"}); err != nil {
		t.Fatal(err)
	}
	fence, _ := former.Fence("engine-0")
	want := []orderer.Intent{{Endpoint: "engine-0", Order: generator.Order{ID: "o-1", Fence: fence}}}
	if err := former.Record(ctx, want[0]); err != nil {
		t.Fatal(err)
	}
	latter := intender.New(platform, "ee-trt-1-7")
	if err := latter.Hold(ctx, []string{"engine-0"}); err != nil {
		t.Fatal(err)
	}
	got, err := latter.Open(ctx, "engine-0")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if err := latter.Settle(ctx, "engine-0", fence); err != nil {
		t.Fatal(err)
	}
	if got, err = latter.Open(ctx, "engine-0"); err != nil || len(got) > 0 {
		t.Errorf("Open returned %v, %v after Settle", got, err)
	}
}

func TestLostAnswerGivesTheRightUp(t *testing.T) {
	ctx := context.Background()
	platform := fakeplatform.New()
	i := intender.New(platform, "ee-tln-1-4")
	platform.SetFaults(storer.Faults{LoseAnswers: 1})
	if err := i.Hold(ctx, []string{"engine-0"}); err == nil {
		t.Fatal("Hold returned no error")
	}
	if _, held := i.Fence("engine-0"); held {
		t.Error("the engine is held though the write is in doubt")
	}
	platform.SetFaults(storer.Faults{})
	if err := i.Hold(ctx, []string{"engine-0"}); err != nil {
		t.Fatal(err)
	}
	fence, _ := i.Fence("engine-0")
	if diff := cmp.Diff(int64(2), fence); diff != "" {
		t.Error(diff)
	}
}
