package transcriber_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/internal/transcriber"
)

func record(t *testing.T, rows *fakeplatform.Rows, turn *transcriber.Turn) {
	t.Helper()
	changes, err := turn.Changes()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := rows.For("writer").Transact(t.Context(), changes); err != nil {
		t.Fatal(err)
	}
	for _, c := range changes {
		if len(c.Value) > 64<<10 {
			t.Errorf("row of %d bytes exceeds 64 KB", len(c.Value))
		}
	}
}

// next returns a turn with a retention of one minute.
func next(previous *transcriber.Turn, transcript, id, input, output string) *transcriber.Turn {
	return transcriber.Next(previous, []byte(transcript), transcriber.Continuation{
		ID: id, Input: []byte(input), Output: []byte(output), WrittenAt: time.Now(), Retention: time.Minute,
	})
}

// Transcripts are complete for any size of turns, and the size of rows does not
// grow with the number of turns.
func TestTranscriptsOfDifferentLengths(t *testing.T) {
	for _, size := range []int{1, 100, 5_000, 30_000, 200_000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			rows := fakeplatform.NewRows(1)
			var previous *transcriber.Turn
			var want strings.Builder
			for i := range 30 {
				input := strings.Repeat(string(rune('a'+i%26)), size)
				turn := next(previous, want.String(), fmt.Sprintf("%016x", i), input, "out\n")
				record(t, rows, turn)
				want.WriteString(input + "out\n")
				previous = turn
			}
			last, text, err := transcriber.New(rows.For("reader")).Transcript(t.Context(), previous.ID)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(previous.ID, last.ID); diff != "" {
				t.Error(diff)
			}
			if want.String() != string(text) {
				t.Errorf("%d bytes, want %d", len(text), want.Len())
			}
		})
	}
}

func TestAbsentTurn(t *testing.T) {
	rows := fakeplatform.NewRows(1)
	record(t, rows, next(nil, "", "abc", "in", ""))
	reader := transcriber.New(rows.For("reader"))
	for _, id := range []string{"ab", "abcd", "x"} {
		if _, _, err := reader.Transcript(t.Context(), id); !errors.Is(err, transcriber.ErrTurnNotFound) {
			t.Errorf("%s: got %v", id, err)
		}
	}
}

// While the store is unavailable, a turn may exist.
func TestOutageIsNotReportedAsNotFound(t *testing.T) {
	rows := fakeplatform.NewRows(1)
	rows.SetFaults(fakeplatform.RowFaults{Outage: true})
	_, _, err := transcriber.New(rows.For("reader")).Transcript(t.Context(), "x")
	if errors.Is(err, transcriber.ErrTurnNotFound) || !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("got %v", err)
	}
}

// A turn whose transcript has a missing part exists itself.
func TestMissingPartIsNotReportedAsNotFound(t *testing.T) {
	rows := fakeplatform.NewRows(1)
	big := strings.Repeat("x", 30_000)
	first := next(nil, "", "first", big, "")
	second := next(first, big, "second", big, "")
	record(t, rows, second)
	if _, _, err := transcriber.New(rows.For("reader")).Transcript(t.Context(), "second"); err == nil || errors.Is(err, transcriber.ErrTurnNotFound) {
		t.Errorf("got %v", err)
	}
}

func TestCacheIsBounded(t *testing.T) {
	rows := fakeplatform.NewRows(1)
	reader := transcriber.New(rows.For("reader"))
	for i := range 400 {
		turn := next(nil, "", fmt.Sprint(i), strings.Repeat("x", 50_000), "")
		record(t, rows, turn)
		reader.Cache(turn)
	}
	before := rows.Counts().Lists
	for i := range 400 {
		if _, _, err := reader.Transcript(t.Context(), fmt.Sprint(i)); err != nil {
			t.Fatal(err)
		}
	}
	if lists := rows.Counts().Lists - before; lists < 200 {
		t.Errorf("only %d of 400 turns, 20 MB in total, were read from the store", lists)
	}
}

// Rows are removed by age. A turn that refers to old rows, by the clock of its
// writer, would lose its transcript.
func TestTurnsDoNotReferToOldRows(t *testing.T) {
	const retention = time.Minute
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	big := strings.Repeat("x", 30_000)
	first := transcriber.Next(nil, nil, transcriber.Continuation{ID: "first", Input: []byte(big), WrittenAt: at, Retention: retention})
	for _, tc := range []struct {
		age  time.Duration
		want string
	}{
		{0, "first"},
		{29 * time.Second, "first"},
		{31 * time.Second, ""},
		{time.Hour, ""},
		{-29 * time.Second, "first"},
		{-31 * time.Second, ""},
	} {
		second := transcriber.Next(first, []byte(big), transcriber.Continuation{
			ID: "second", Input: []byte("in\n"), WrittenAt: at.Add(tc.age), Retention: retention,
		})
		if diff := cmp.Diff(tc.want, second.Base); diff != "" {
			t.Errorf("after %v: %s", tc.age, diff)
		}
		if transcript := big + "in\n"; tc.want == "" && string(second.Text) != transcript {
			t.Errorf("after %v: %d bytes, want %d", tc.age, len(second.Text), len(transcript))
		}
		// A turn's oldest row is that of the turns that it refers to.
		third := transcriber.Next(second, nil, transcriber.Continuation{ID: "third", Input: []byte(big), WrittenAt: at.Add(tc.age), Retention: retention})
		wantOldest := at
		if tc.want == "" {
			wantOldest = at.Add(tc.age)
		}
		if diff := cmp.Diff(wantOldest.UnixMilli(), third.OldestMillis); diff != "" {
			t.Errorf("after %v: %s", tc.age, diff)
		}
	}
}

// IDs are chosen by callers, and the ID of one turn may continue that of another.
func TestTurnsWithSimilarIDsAreSeparate(t *testing.T) {
	rows := fakeplatform.NewRows(1)
	long := strings.Repeat("long ", 30_000)
	for id, input := range map[string]string{"t1": "one\n", "t1-31": "other\n", "t1/": "slash\n", "t2": long, "t2-1": long + "!", "t2.5": "five\n", "t2/": "slash\n"} {
		turn := next(nil, "", id, input, "out\n")
		changes, err := turn.Changes()
		if err != nil {
			t.Fatal(err)
		}
		for i := range changes {
			changes[i].Partition = "" // All in one partition, as by chance.
			rows.Put(changes[i].RowKey, changes[i].Value)
		}
	}
	reader := transcriber.New(singlePartition{rows.For("reader")})
	for id, want := range map[string]string{"t1": "one\nout\n", "t1-31": "other\nout\n", "t2": long + "out\n", "t2.5": "five\nout\n"} {
		_, got, err := reader.Transcript(t.Context(), id)
		if err != nil {
			t.Errorf("%s: %v", id, err)
		}
		if diff := cmp.Diff(want, string(got)); diff != "" {
			t.Errorf("%s: %d bytes, want %d", id, len(got), len(want))
		}
	}
}

// singlePartition reads every range from the partition without a name.
type singlePartition struct{ rows storer.Rows }

func (s singlePartition) List(ctx context.Context, r storer.Range) (storer.Page, error) {
	r.Partition = ""
	return s.rows.List(ctx, r)
}

// Guards against turns that another account continues, and rows of earlier versions of the
// program, which have no account, that nobody can continue.
func TestAccountsOfTurns(t *testing.T) {
	rows := fakeplatform.NewRows(1)
	for _, tc := range []struct{ id, account string }{{"0001", "acme"}, {"0002", ""}} {
		record(t, rows, transcriber.Next(nil, nil, transcriber.Continuation{ID: tc.id, Account: tc.account, Input: []byte("in"), WrittenAt: time.Now(), Retention: time.Minute}))
		reader := transcriber.New(rows.For("reader"))
		for _, source := range []string{"store", "cache"} {
			turn, _, err := reader.Transcript(t.Context(), tc.id)
			if err != nil {
				t.Fatal(err)
			}
			for account, want := range map[string]bool{"acme": true, "other": tc.account == "", "": tc.account == ""} {
				if diff := cmp.Diff(want, turn.MayContinue(account)); diff != "" {
					t.Errorf("turn of %q from the %s, continued by %q: %s", tc.account, source, account, diff)
				}
			}
		}
	}
}
