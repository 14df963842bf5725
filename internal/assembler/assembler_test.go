package assembler_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/pkg/caller"
)

// TestSessionSurvivesKill guards against turns lost or refused after an instance is
// killed. Each turn of a session enters through another instance.
func TestSessionSurvivesKill(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, logWriter())
		defer f.close()
		ctx := t.Context()
		var programs []string
		for range 6 {
			p, err := f.client(-1).Open(ctx, "lyric-editor")
			if err != nil {
				t.Fatal(err)
			}
			programs = append(programs, p.ID())
		}
		for turn := 1; turn <= 4; turn++ {
			if turn == 3 {
				f.kill(1)
			}
			for n, id := range programs {
				entry := []int{0, 2, 1}[(turn+n)%3]
				if f.instances[entry] == nil {
					entry = 0
				}
				input := fmt.Sprintf("line %d of session %d", turn, n)
				if _, err := f.client(entry).Program(id).Ask(ctx, input, caller.WithNumber(turn)); err != nil {
					t.Fatalf("turn %d of session %d: %v", turn, n, err)
				}
			}
		}
		for _, id := range programs {
			history, err := f.client(2).Program(id).History(ctx, 0)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(4, len(history.Turns)); diff != "" {
				t.Errorf("history of %s: %s", id, diff)
			}
		}
	})
}

// TestKeyedCallExecutesOnce guards against a second execution of a call that is repeated
// with its key through other instances, before and after an instance is killed.
func TestKeyedCallExecutesOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, logWriter())
		defer f.close()
		for n := range 5 {
			if n == 3 {
				f.kill(0)
				time.Sleep(20 * time.Second)
			}
			entry := 1 + n%2
			_, err := f.client(entry).Call(t.Context(), "fee-posting", http.MethodPost, "/postings",
				caller.WithCallKey("fee-1"), caller.WithBody("application/json", []byte(`{"Cents":250}`)))
			if err != nil {
				t.Fatal(err)
			}
		}
		if diff := cmp.Diff(1, f.service.Counts().Executed); diff != "" {
			t.Error(diff)
		}
	})
}

// TestModelIsLoadedDespiteKills kills instances while an engine that lacks its model and
// ignores fencing numbers is ordered to load it. The engine must end up with the model.
func TestModelIsLoadedDespiteKills(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, logWriter())
		defer f.close()
		for n := range fleetSize - 1 {
			time.Sleep(6 * time.Second)
			f.kill(n)
		}
		time.Sleep(time.Minute)
		if diff := cmp.Diff([]string{"songbird"}, f.engines[unloadedEngine].State().Models); diff != "" {
			t.Error(diff)
		}
	})
}
