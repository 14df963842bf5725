package fakeplatform_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/storer"
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

// set returns a commit of one row under a condition on its version.
func set(key, value string, version int64) storer.Commit {
	return storer.Commit{
		ID:         "commit-" + value,
		Conditions: []storer.Condition{{Key: key, Version: version}},
		Writes:     []storer.Write{{Key: key, Value: []byte(value)}},
	}
}

func wantErr(t *testing.T, want, got error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("got error %v, want %v", got, want)
	}
}

func mustCommit(t *testing.T, p *fakeplatform.Platform, c storer.Commit) int64 {
	t.Helper()
	result, err := p.Commit(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	return result.Versions[c.Writes[0].Key]
}

func TestCommitIsAllOrNothing(t *testing.T) {
	p := fakeplatform.New()
	version := mustCommit(t, p, set("a", "1", 0))
	_, err := p.Commit(t.Context(), storer.Commit{
		Conditions: []storer.Condition{{Key: "a", Version: version}, {Key: "b", Version: 7}},
		Writes:     []storer.Write{{Key: "a", Value: []byte("2")}, {Key: "b", Value: []byte("2")}},
	})
	wantErr(t, storer.ErrConflict, err)
	rows, err := p.Read(t.Context(), "b", "a")
	wantErr(t, nil, err)
	want := []storer.Row{{Key: "b"}, {Key: "a", Value: []byte("1"), Version: version}}
	if diff := cmp.Diff(want, rows); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(fakeplatform.Counts{Commits: 1, RowWrites: 1, Conflicts: 1, Reads: 1}, p.Counts()); diff != "" {
		t.Error(diff)
	}
}

func TestVersionIsNotUsedAgainAfterDelete(t *testing.T) {
	p := fakeplatform.New()
	first := mustCommit(t, p, set("a", "1", 0))
	if _, err := p.Commit(t.Context(), storer.Commit{Writes: []storer.Write{{Key: "a", Delete: true}}}); err != nil {
		t.Fatal(err)
	}
	second := mustCommit(t, p, set("a", "2", 0))
	if second <= first {
		t.Errorf("version %d after a delete does not exceed %d", second, first)
	}
	_, err := p.Commit(t.Context(), set("a", "3", first))
	wantErr(t, storer.ErrConflict, err)
}

func TestScanPagesInKeyOrder(t *testing.T) {
	p := fakeplatform.New()
	for _, key := range []string{"r/3", "r/1", "q/9", "r/2", "s/0"} {
		mustCommit(t, p, set(key, key, 0))
	}
	var got []string
	after := ""
	for {
		rows, err := p.Scan(t.Context(), "r/", after, 2)
		if err != nil {
			t.Fatal(err)
		}
		if len(rows) == 0 {
			break
		}
		for _, row := range rows {
			got = append(got, row.Key)
		}
		after = rows[len(rows)-1].Key
	}
	if diff := cmp.Diff([]string{"r/1", "r/2", "r/3"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestCallersBytesAreCopied(t *testing.T) {
	p := fakeplatform.New()
	body := []byte("whole")
	if err := p.Put(t.Context(), "o", body); err != nil {
		t.Fatal(err)
	}
	body[0] = 'X'
	got, err := p.Get(t.Context(), "o")
	wantErr(t, nil, err)
	got[1] = 'X'
	again, err := p.Get(t.Context(), "o")
	wantErr(t, nil, err)
	if diff := cmp.Diff("whole", string(again)); diff != "" {
		t.Error(diff)
	}
}

func TestOutageRunsNothing(t *testing.T) {
	p := fakeplatform.New()
	p.SetFaults(storer.Faults{Outage: true, LoseAnswers: 1})
	_, err := p.Commit(t.Context(), set("a", "1", 0))
	wantErr(t, storer.ErrUnavailable, err)
	wantErr(t, storer.ErrUnavailable, p.Put(t.Context(), "o", nil))
	_, err = p.Get(t.Context(), "o")
	wantErr(t, storer.ErrUnavailable, err)
	p.SetFaults(storer.Faults{})
	rows, err := p.Read(t.Context(), "a")
	wantErr(t, nil, err)
	if diff := cmp.Diff([]storer.Row{{Key: "a"}}, rows); diff != "" {
		t.Error(diff)
	}
	_, err = p.Get(t.Context(), "o")
	wantErr(t, storer.ErrNotFound, err)
}

func TestLostAnswerComesAfterTheWrite(t *testing.T) {
	p := fakeplatform.New()
	p.SetFaults(storer.Faults{LoseAnswers: 1})
	_, err := p.Commit(t.Context(), set("a", "1", 0))
	wantErr(t, storer.ErrInDoubt, err)
	wantErr(t, storer.ErrInDoubt, p.Put(t.Context(), "o", []byte("body")))
	rows, err := p.Read(t.Context(), "a")
	wantErr(t, nil, err)
	if diff := cmp.Diff("1", string(rows[0].Value)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(2, p.Counts().Lost); diff != "" {
		t.Error(diff)
	}
}

func TestLostAnswersFollowTheSeed(t *testing.T) {
	lost := func(seed uint64) string {
		p := fakeplatform.New(fakeplatform.WithSeed(seed), fakeplatform.WithFaults(storer.Faults{LoseAnswers: 0.5}))
		drawn := ""
		for i := range 64 {
			_, err := p.Commit(t.Context(), set(fmt.Sprint(i), "v", 0))
			drawn += map[bool]string{true: "x", false: "."}[errors.Is(err, storer.ErrInDoubt)]
		}
		return drawn
	}
	if diff := cmp.Diff(lost(7), lost(7)); diff != "" {
		t.Error(diff)
	}
	if lost(7) == lost(8) {
		t.Error("two seeds drew the same losses")
	}
}

func TestLateWriteTakesEffectOnlyIfItsConditionsStillHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fakeplatform.New(fakeplatform.WithLateness(time.Second))
		p.SetFaults(storer.Faults{LoseAnswers: 1})
		for _, key := range []string{"kept", "beaten"} {
			_, err := p.Commit(t.Context(), set(key, "late", 0))
			wantErr(t, storer.ErrInDoubt, err)
		}
		p.SetFaults(storer.Faults{})
		mustCommit(t, p, set("beaten", "rival", 0))
		time.Sleep(time.Second)
		rows, err := p.Read(t.Context(), "kept", "beaten")
		wantErr(t, nil, err)
		if diff := cmp.Diff([]string{"late", "rival"}, []string{string(rows[0].Value), string(rows[1].Value)}); diff != "" {
			t.Error(diff)
		}
	})
}

func TestDelayRunsOutTheCallersTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fakeplatform.New()
		p.SetFaults(storer.Faults{Delay: time.Minute})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := p.Commit(ctx, set("a", "1", 0))
		wantErr(t, storer.ErrInDoubt, err)
		start := time.Now()
		rows, err := p.Read(t.Context(), "a")
		wantErr(t, nil, err)
		if diff := cmp.Diff(time.Minute, time.Since(start)); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff("1", string(rows[0].Value)); diff != "" {
			t.Error(diff)
		}
	})
}

func TestSilentPlatformAnswersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fakeplatform.New()
		p.SetFaults(storer.Faults{Silent: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := p.Commit(ctx, set("a", "1", 0))
		wantErr(t, storer.ErrInDoubt, err)
		wantErr(t, context.DeadlineExceeded, err)
		_, err = p.Read(ctx, "a")
		wantErr(t, storer.ErrUnavailable, err)
		p.SetFaults(storer.Faults{})
		rows, err := p.Read(t.Context(), "a")
		wantErr(t, nil, err)
		if diff := cmp.Diff([]storer.Row{{Key: "a"}}, rows); diff != "" {
			t.Error(diff)
		}
	})
}

func TestRatesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fakeplatform.New(fakeplatform.WithWriteRate(10, 2), fakeplatform.WithReadRate(10, 1))
		mustCommit(t, p, set("a", "1", 0))
		mustCommit(t, p, set("b", "1", 0))
		_, err := p.Commit(t.Context(), set("c", "1", 0))
		wantErr(t, storer.ErrUnavailable, err)
		_, err = p.Read(t.Context(), "c")
		wantErr(t, nil, err)
		_, err = p.Scan(t.Context(), "", "", 0)
		wantErr(t, storer.ErrUnavailable, err)
		time.Sleep(100 * time.Millisecond)
		mustCommit(t, p, set("c", "1", 0))
		if diff := cmp.Diff(2, p.Counts().Throttled); diff != "" {
			t.Error(diff)
		}
	})
}

func TestListOfInstancesLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fakeplatform.New(fakeplatform.WithFaults(storer.Faults{ListLag: 5 * time.Second}))
		steps := []struct {
			after time.Duration
			want  []storer.Listing
		}{
			{0, []storer.Listing{}},
			{5 * time.Second, []storer.Listing{{Instance: "i-1"}}},
			{2 * time.Second, []storer.Listing{{Instance: "i-1"}, {Instance: "i-2", Leaving: true}}},
			{time.Second, []storer.Listing{{Instance: "i-2", Leaving: true}}},
		}
		p.Register(storer.Listing{Instance: "i-1"})
		time.AfterFunc(2*time.Second, func() { p.Register(storer.Listing{Instance: "i-2", Leaving: true}) })
		time.AfterFunc(3*time.Second, func() { p.Deregister("i-1") })
		for _, step := range steps {
			time.Sleep(step.after)
			got, err := p.Instances(t.Context())
			wantErr(t, nil, err)
			if diff := cmp.Diff(step.want, got); diff != "" {
				t.Errorf("after %v: %s", step.after, diff)
			}
		}
	})
}

func TestViewFailsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fakeplatform.New()
		cut, whole := p.View(), p.View()
		cut.SetFaults(storer.Faults{Outage: true})
		_, err := cut.Commit(t.Context(), set("a", "1", 0))
		wantErr(t, storer.ErrUnavailable, err)
		_, err = whole.Commit(t.Context(), set("a", "2", 0))
		wantErr(t, nil, err)
		cut.SetFaults(storer.Faults{LoseAnswers: 1})
		wantErr(t, storer.ErrInDoubt, cut.Put(t.Context(), "o", nil))
		_, err = whole.Get(t.Context(), "o")
		wantErr(t, nil, err)
		cut.SetFaults(storer.Faults{Silent: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = cut.Scan(ctx, "", "", 0)
		wantErr(t, storer.ErrUnavailable, err)
		wantErr(t, storer.ErrInDoubt, cut.Delete(ctx, "o"))
		_, err = whole.List(t.Context(), "", 0)
		wantErr(t, nil, err)
		if diff := cmp.Diff(fakeplatform.Counts{Commits: 1, RowWrites: 1, Puts: 1, Gets: 1, ObjectLists: 1}, p.Counts()); diff != "" {
			t.Error(diff)
		}
	})
}

// Against a plain map: a refused write changes nothing, one in doubt has taken
// effect here, versions only rise, and reads see the newest state.
func TestTableAgreesWithAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := fakeplatform.New(fakeplatform.WithSeed(rapid.Uint64().Draw(t, "seed")))
		rows := map[string]storer.Row{}
		highest := int64(0)
		keys := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"commit": func(t *rapid.T) {
				key, other := keys.Draw(t, "key"), keys.Draw(t, "other")
				version := rows[other].Version + rapid.SampledFrom([]int64{0, 0, 0, 1}).Draw(t, "stale")
				remove := rapid.Bool().Draw(t, "delete")
				value := rapid.SliceOfN(rapid.Byte(), 1, 4).Draw(t, "value")
				_, err := p.Commit(context.Background(), storer.Commit{
					Conditions: []storer.Condition{{Key: other, Version: version}},
					Writes:     []storer.Write{{Key: key, Value: value, Delete: remove}},
				})
				refused := errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrUnavailable)
				if refused || p.Faults().Outage || version != rows[other].Version {
					return
				}
				read, _ := p.Read(context.Background(), key)
				if delete(rows, key); !remove {
					if read[0].Version <= highest {
						t.Fatalf("version %d after %d", read[0].Version, highest)
					}
					highest = read[0].Version
					rows[key] = storer.Row{Key: key, Value: value, Version: highest}
				}
			},
			"faults": func(t *rapid.T) {
				p.SetFaults(storer.Faults{
					Outage:      rapid.Bool().Draw(t, "outage"),
					LoseAnswers: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "lose"),
				})
			},
			"": func(t *rapid.T) {
				found, err := p.Scan(context.Background(), "", "", 0)
				if err != nil {
					return
				}
				got := map[string]storer.Row{}
				for _, row := range found {
					got[row.Key] = row
				}
				if diff := cmp.Diff(rows, got); diff != "" {
					t.Fatal(diff)
				}
			},
		})
	})
}
