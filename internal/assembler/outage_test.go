package assembler_test

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/pkg/caller"
)

// refusal is the kind and the execution status of an error response.
type refusal struct{ Kind, Ran string }

func refusalFrom(err error) refusal {
	var refused *caller.Error
	if !errors.As(err, &refused) {
		return refusal{}
	}
	return refusal{Kind: refused.Kind, Ran: string(refused.Ran)}
}

// TestStoreOutage makes the store fail for more than ten minutes. It checks the errors of a
// turn, an unrepeatable call and a new program meanwhile, and that afterwards the history
// is complete, the turn is replayed and the refused call was not executed.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, logWriter())
		defer f.close()
		ctx := t.Context()
		time.Sleep(10 * time.Second)
		client := f.client(0)
		session, err := client.Open(ctx, "lyric-editor")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := session.Ask(ctx, "the first line", caller.WithNumber(1)); err != nil {
			t.Fatal(err)
		}
		f.platform.SetFaults(storer.Faults{Outage: true})
		time.Sleep(time.Minute)

		_, err = f.clientWithoutRetries(1).Program(session.ID()).Ask(ctx, "the second line", caller.WithNumber(2))
		if diff := cmp.Diff(refusal{"NotDurable", "Unknown"}, refusalFrom(err)); diff != "" {
			t.Errorf("turn during the outage: %s", diff)
		}
		_, err = f.clientWithoutRetries(1).Call(ctx, "fee-posting", http.MethodPost, "/postings", caller.WithCallKey("fee-1"))
		if diff := cmp.Diff(refusal{"StoreUnavailable", "NotRun"}, refusalFrom(err)); diff != "" {
			t.Errorf("unrepeatable call during the outage: %s", diff)
		}
		_, err = f.clientWithoutRetries(2).Open(ctx, "lyric-editor")
		if diff := cmp.Diff(refusal{"StoreUnavailable", "NotRun"}, refusalFrom(err)); diff != "" {
			t.Errorf("open during the outage: %s", diff)
		}
		time.Sleep(10 * time.Minute)
		f.platform.SetFaults(storer.Faults{})
		time.Sleep(30 * time.Second)

		answer, err := f.client(2).Program(session.ID()).Ask(ctx, "the second line", caller.WithNumber(2))
		if err != nil {
			t.Fatal(err)
		}
		if !answer.Replayed {
			t.Error("the turn that ran during the outage was executed again instead of replayed")
		}
		history, err := f.client(1).Program(session.ID()).History(ctx, 0)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(2, len(history.Turns)); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(0, f.service.Counts().Executed); diff != "" {
			t.Errorf("executions of the call refused with NotRun: %s", diff)
		}
	})
}

// TestPartitionBetweenInstances partitions two instances that both reach the store. It
// guards against programs that move meanwhile: each is served by its owner or refused
// with OwnerUnavailable. After the partition all must be served.
func TestPartitionBetweenInstances(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, logWriter())
		defer f.close()
		ctx := t.Context()
		time.Sleep(10 * time.Second)
		var sessions []string
		for range 8 {
			session, err := f.client(-1).Open(ctx, "lyric-editor")
			if err != nil {
				t.Fatal(err)
			}
			sessions = append(sessions, session.ID())
		}
		f.network.partition(instanceName(0), instanceName(1))
		time.Sleep(time.Minute)
		served := 0
		for _, id := range sessions {
			_, err := f.clientWithoutRetries(0).Program(id).Ask(ctx, "a line", caller.WithNumber(1))
			if err == nil {
				served++
				continue
			}
			if diff := cmp.Diff(refusal{"OwnerUnavailable", "NotRun"}, refusalFrom(err)); diff != "" {
				t.Errorf("program owned by the other instance: %s", diff)
			}
		}
		if served == 0 {
			t.Error("the partitioned instance served no program")
		}
		f.network.heal()
		time.Sleep(30 * time.Second)
		for _, id := range sessions {
			if _, err := f.client(0).Program(id).Ask(ctx, "a line", caller.WithNumber(1)); err != nil {
				t.Errorf("after the partition: %v", err)
			}
		}
	})
}
