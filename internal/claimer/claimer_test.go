package claimer_test

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/claimer"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/reconciler"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

func TestReplacedHolderCannotRecordIntents(t *testing.T) {
	ctx := context.Background()
	platform := fakeplatform.New()
	former, latter := claimer.New(platform, "ee-tln-1-4"), claimer.New(platform, "ee-trt-1-7")
	for _, c := range []*claimer.Claimer{former, latter} {
		if err := c.Claim(ctx, []string{"engine-0"}); err != nil {
			t.Fatal(err)
		}
	}
	first, _ := former.Fence("engine-0")
	second, held := latter.Fence("engine-0")
	if !held || second <= first {
		t.Errorf("fencing numbers of the first and second holder: %d, %d", first, second)
	}
	intent := reconciler.Intent{Endpoint: "engine-0", Order: generator.Order{Fence: first}}
	if err := former.Record(ctx, intent); err == nil {
		t.Error("the replaced holder recorded an intent")
	}
	if _, held := former.Fence("engine-0"); held {
		t.Error("the replaced holder still has the claim")
	}
}

func TestIntentsPersistUntilRemoved(t *testing.T) {
	ctx := context.Background()
	platform := fakeplatform.New()
	former := claimer.New(platform, "ee-tln-1-4")
	if err := former.Claim(ctx, []string{"engine-0"}); err != nil {
		t.Fatal(err)
	}
	fence, _ := former.Fence("engine-0")
	want := []reconciler.Intent{{Endpoint: "engine-0", Order: generator.Order{ID: "o-1", Fence: fence}}}
	if err := former.Record(ctx, want[0]); err != nil {
		t.Fatal(err)
	}
	latter := claimer.New(platform, "ee-trt-1-7")
	if err := latter.Claim(ctx, []string{"engine-0"}); err != nil {
		t.Fatal(err)
	}
	got, err := latter.Pending(ctx, "engine-0")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if err := latter.Remove(ctx, "engine-0", fence); err != nil {
		t.Fatal(err)
	}
	if got, err = latter.Pending(ctx, "engine-0"); err != nil || len(got) > 0 {
		t.Errorf("Pending returned %v, %v after Remove", got, err)
	}
}

func TestWriteWithUnknownOutcomeReleasesClaim(t *testing.T) {
	ctx := context.Background()
	platform := fakeplatform.New()
	c := claimer.New(platform, "ee-tln-1-4")
	platform.SetFaults(storer.Faults{LoseAnswers: 1})
	if err := c.Claim(ctx, []string{"engine-0"}); err == nil {
		t.Fatal("Claim returned no error")
	}
	if _, held := c.Fence("engine-0"); held {
		t.Error("the engine is claimed after a write with unknown outcome")
	}
	platform.SetFaults(storer.Faults{})
	if err := c.Claim(ctx, []string{"engine-0"}); err != nil {
		t.Fatal(err)
	}
	fence, _ := c.Fence("engine-0")
	if diff := cmp.Diff(int64(2), fence); diff != "" {
		t.Error(diff)
	}
}
