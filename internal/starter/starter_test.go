package starter_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/starter"
)

var errMissing = errors.New("missing")

func TestStartWaitsForWhatIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var text strings.Builder
		s := starter.New(logger.New(&text, logger.WithJSON()), starter.WithPatience(10*time.Second))
		begun := time.Now()
		err := s.Do(t.Context(), "settings", func() error {
			if time.Since(begun) < 4*time.Second {
				return errMissing
			}
			return nil
		})
		if err != nil || time.Since(begun) > 5*time.Second {
			t.Errorf("%v after %v", err, time.Since(begun))
		}
		if lines := strings.Count(text.String(), "StartDelayed"); lines < 1 || lines > 3 {
			t.Errorf("%d lines for one cause that lasts for 4 s:\n%s", lines, &text)
		}
	})
}

func TestStartEndsWithTheCause(t *testing.T) {
	for name, stopAfter := range map[string]time.Duration{"after the patience": time.Hour, "at the stop": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), stopAfter)
				defer cancel()
				begun := time.Now()
				err := starter.New(logger.Discard(), starter.WithPatience(10*time.Second)).Do(ctx, "settings", func() error { return errMissing })
				if !errors.Is(err, errMissing) {
					t.Errorf("error %v", err)
				}
				if took, want := time.Since(begun), min(stopAfter, 10*time.Second); took < want || took > want+time.Second {
					t.Errorf("it took %v, not %v", took, want)
				}
			})
		})
	}
}
