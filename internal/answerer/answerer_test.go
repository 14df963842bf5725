package answerer_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
)

func TestTableHasOneRowPerKind(t *testing.T) {
	seen := map[answerer.Kind]bool{}
	for _, row := range answerer.Table() {
		if seen[row.Kind] {
			t.Errorf("kind %s has two rows", row.Kind)
		}
		seen[row.Kind] = true
		if row.Retryable != (row.RetryAfter > 0) {
			t.Errorf("kind %s: Retryable is %v but RetryAfter is %v", row.Kind, row.Retryable, row.RetryAfter)
		}
		if row.Message == "" || row.Status < 400 {
			t.Errorf("kind %s has an incomplete row: %+v", row.Kind, row)
		}
	}
}

func TestKindAndCauseSurviveWrapping(t *testing.T) {
	cause := errors.New("disk failure")
	err := fmt.Errorf("while serving: %w", answerer.Wrap(answerer.Overloaded, cause, "queue of %d", 7).WithRetryAfter(3*time.Second))
	if diff := cmp.Diff(answerer.Overloaded, answerer.KindOf(err)); diff != "" {
		t.Error(diff)
	}
	if !errors.Is(err, cause) {
		t.Error("errors.Is does not find the cause")
	}
	if diff := cmp.Diff(3*time.Second, answerer.As(err).Response().RetryAfter); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(answerer.Internal, answerer.KindOf(cause)); diff != "" {
		t.Error(diff)
	}
}
