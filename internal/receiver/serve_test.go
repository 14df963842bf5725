package receiver_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/receiver"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// answerAfter replies to every command after the time, unless it was ended.
func answerAfter(d time.Duration) doFunc {
	return func(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
		time.Sleep(d)
		if err := ctx.Err(); err != nil {
			return requester.Reply{}, err
		}
		return answerAll(ctx, command, sink)
	}
}

// untilEnded waits for the end of the command and then says so on the channel.
func untilEnded(ended chan<- error) doFunc {
	return func(ctx context.Context, _ requester.Command, _ requester.Sink) (requester.Reply, error) {
		<-ctx.Done()
		ended <- ctx.Err()
		return requester.Reply{}, answerer.Wrap(answerer.Canceled, ctx.Err(), "gone")
	}
}

func (c *client) expectStatus(t *testing.T, want int) {
	t.Helper()
	status, body := c.receive(t)
	if diff := cmp.Diff(want, status); diff != "" {
		t.Errorf("%s: %s", body, diff)
	}
}

func (c *client) expectKind(t *testing.T, want answerer.Kind) {
	t.Helper()
	_, body := c.receive(t)
	if diff := cmp.Diff(want, refusalOf(t, body).Kind); diff != "" {
		t.Error(diff)
	}
}

func TestSlowHeaderIsCutInTime(t *testing.T) {
	inBubble(t, answerAll, func(t *testing.T, _ *serving, c *client) {
		started := time.Now()
		written := make(chan struct{})
		go func() {
			defer close(written)
			for _, b := range []byte(turnHead) {
				if _, err := c.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(time.Second)
			}
		}()
		_, _ = io.ReadAll(c)
		elapsed := time.Since(started)
		<-written
		if diff := cmp.Diff(3*time.Second, elapsed); diff != "" {
			t.Error(diff)
		}
	}, receiver.WithHeaderLimit(1<<14, 3*time.Second))
}

func TestSlowBodyIsRefusedInTime(t *testing.T) {
	for key, want := range map[string]answerer.Kind{"key": answerer.BadRequest, "nobody": answerer.Unauthenticated} {
		inBubble(t, answerAll, func(t *testing.T, _ *serving, c *client) {
			started := time.Now()
			c.send("POST /v1/programs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key +
				"\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{")
			c.expectKind(t, want)
			_, _ = io.ReadAll(c)
			if elapsed := time.Since(started); elapsed > 4*time.Second {
				t.Errorf("the connection was held for %v", elapsed)
			}
		}, receiver.WithBodyLimit(1<<20, 3*time.Second))
	}
}

func TestCallerThatDoesNotReadIsCut(t *testing.T) {
	failed := make(chan error, 1)
	endless := func(_ context.Context, _ requester.Command, sink requester.Sink) (requester.Reply, error) {
		var err error
		for err == nil {
			err = sink.Chunk(generator.Chunk{Text: "a"})
		}
		failed <- err
		return requester.Reply{}, err
	}
	inBubble(t, endless, func(t *testing.T, _ *serving, c *client) {
		c.send(turn(`{"Input":"x","Stream":true}`))
		time.Sleep(5 * time.Second)
		if len(failed) != 1 {
			t.Error("no write failed")
		}
	}, receiver.WithWriteTimeout(time.Second))
}

func TestCallerThatHangsUpEndsTheCommand(t *testing.T) {
	ended := make(chan error, 1)
	inBubble(t, untilEnded(ended), func(t *testing.T, _ *serving, c *client) {
		c.send(turn(`{"Input":"x"}`))
		synctest.Wait()
		_ = c.Close()
		synctest.Wait()
		if len(ended) != 1 {
			t.Error("the command goes on")
		}
	})
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}

func TestCommandMayOutlastTheBodyTimeout(t *testing.T) {
	inBubble(t, answerAfter(30*time.Second), func(t *testing.T, _ *serving, c *client) {
		for range 2 {
			c.send(turn(`{"Input":"x"}`))
			c.expectStatus(t, http.StatusOK)
		}
	}, receiver.WithBodyLimit(1<<20, time.Second))
}

func TestStopCutsNothingInFlight(t *testing.T) {
	inBubble(t, answerAfter(20*time.Second), func(t *testing.T, s *serving, c *client) {
		c.send(turn(`{"Input":"x","Stream":true}`))
		synctest.Wait()
		s.stop()
		c.expectStatus(t, http.StatusOK)
	}, receiver.WithDrainTimeout(time.Minute))
}

func TestStopIsBoundedByTheDrainTimeout(t *testing.T) {
	ended := make(chan error, 1)
	inBubble(t, untilEnded(ended), func(t *testing.T, s *serving, c *client) {
		c.send(turn(`{"Input":"x"}`))
		synctest.Wait()
		started := time.Now()
		s.stop()
		err := <-s.stopped
		if diff := cmp.Diff(time.Second, time.Since(started)); diff != "" {
			t.Error(diff)
		}
		s.stopped <- err
	}, receiver.WithDrainTimeout(time.Second))
}

func TestOwnerHasTimeToSayWhatBecameOfTheRequest(t *testing.T) {
	late := func(ctx context.Context, command requester.Command, _ requester.Sink) (requester.Reply, error) {
		time.Sleep(command.Timeout + 100*time.Millisecond)
		if ctx.Err() != nil {
			return requester.Reply{}, ctx.Err()
		}
		<-ctx.Done()
		return requester.Reply{}, answerer.New(answerer.DeadlineNotRun, "late")
	}
	inBubble(t, late, func(t *testing.T, _ *serving, c *client) {
		c.send(turn(`{"Input":"x"}`))
		c.expectKind(t, answerer.DeadlineNotRun)
	}, receiver.WithTimeouts(time.Second, time.Second))
}

func TestRequestsOverTheLimitAreRefused(t *testing.T) {
	inBubble(t, answerAfter(time.Second), func(t *testing.T, s *serving, c *client) {
		c.send(turn(`{"Input":"x"}`))
		synctest.Wait()
		second := s.dial()
		second.send(turn(`{"Input":"x"}`))
		second.expectKind(t, answerer.Overloaded)
		_ = second.Close()
		c.expectStatus(t, http.StatusOK)
	}, receiver.WithMaximumInFlight(1))
}
