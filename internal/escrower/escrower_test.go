package escrower_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/escrower"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

func TestHoldersNeverExceedLimit(t *testing.T) {
	platform := fakeplatform.New()
	platform.SetFaults(storer.Faults{LoseAnswers: 0.3})
	const limit = 1000
	granted := make([]int, 4)
	var work sync.WaitGroup
	for n := range granted {
		work.Go(func() {
			e := escrower.New(platform, fmt.Sprintf("ee-tln-%d", n))
			for range 20 {
				tokens, err := e.Draw(context.Background(), "laulukaar", 30, limit)
				if err == nil {
					granted[n] += tokens
				}
			}
		})
	}
	work.Wait()
	total := 0
	for _, tokens := range granted {
		total += tokens
	}
	platform.SetFaults(storer.Faults{})
	account, err := escrower.New(platform, "reader").Read(context.Background(), "laulukaar")
	if err != nil {
		t.Fatal(err)
	}
	if total > account.Drawn || account.Drawn > limit {
		t.Errorf("%d tokens were granted, the row has %d drawn, the limit is %d", total, account.Drawn, limit)
	}
}

func TestReturnedTokensCanBeDrawnAgain(t *testing.T) {
	ctx := context.Background()
	e := escrower.New(fakeplatform.New(), "ee-tln-1")
	if _, err := e.Draw(ctx, "laulukaar", 600, 1000); err != nil {
		t.Fatal(err)
	}
	if err := e.Return(ctx, "laulukaar", 200); err != nil {
		t.Fatal(err)
	}
	tokens, err := e.Draw(ctx, "laulukaar", 900, 1000)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(600, tokens); diff != "" {
		t.Error(diff)
	}
}
