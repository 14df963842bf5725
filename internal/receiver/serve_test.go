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

func (s *serving) end(t *testing.T) {
	t.Helper()
	s.stop()
	if err := <-s.stopped; err != nil {
		t.Error(err)
	}
}

func TestSlowHeaderIsCutInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, newReceiver(answerAll, receiver.WithHeaderLimit(1<<14, 3*time.Second)))
		c := s.dial()
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
		s.end(t)
	})
}

func TestSlowBodyIsRefusedInTime(t *testing.T) {
	for _, key := range []string{"key", "nobody"} {
		synctest.Test(t, func(t *testing.T) {
			s := serve(t, newReceiver(answerAll, receiver.WithBodyLimit(1<<20, 3*time.Second)))
			c := s.dial()
			started := time.Now()
			c.send("POST /v1/programs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key +
				"\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{")
			_, body := c.receive(t)
			want := map[string]answerer.Kind{"key": answerer.BadRequest, "nobody": answerer.Unauthenticated}[key]
			if diff := cmp.Diff(want, refusalOf(t, body).Kind); diff != "" {
				t.Error(diff)
			}
			_, _ = io.ReadAll(c)
			if elapsed := time.Since(started); elapsed > 4*time.Second {
				t.Errorf("the connection was held for %v", elapsed)
			}
			s.end(t)
		})
	}
}

func TestCallerThatDoesNotReadIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var failed error
		s := serve(t, newReceiver(func(_ context.Context, _ requester.Command, sink requester.Sink) (requester.Reply, error) {
			for failed == nil {
				failed = sink.Chunk(generator.Chunk{Text: "a"})
			}
			return requester.Reply{}, failed
		}, receiver.WithWriteTimeout(time.Second)))
		c := s.dial()
		c.send(turn(`{"Input":"x","Stream":true}`))
		time.Sleep(5 * time.Second)
		s.end(t)
		if failed == nil {
			t.Error("no write failed")
		}
		_ = c.Close()
	})
}

func TestCallerThatHangsUpEndsTheCommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		s := serve(t, newReceiver(func(ctx context.Context, _ requester.Command, _ requester.Sink) (requester.Reply, error) {
			<-ctx.Done()
			ended <- ctx.Err()
			return requester.Reply{}, answerer.Wrap(answerer.Canceled, ctx.Err(), "gone")
		}))
		c := s.dial()
		c.send(turn(`{"Input":"x"}`))
		synctest.Wait()
		_ = c.Close()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
		s.end(t)
	})
}

func TestCommandMayOutlastTheBodyTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, newReceiver(func(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
			time.Sleep(30 * time.Second)
			if ctx.Err() != nil {
				t.Error(ctx.Err())
			}
			return answerAll(ctx, command, sink)
		}, receiver.WithBodyLimit(1<<20, time.Second)))
		c := s.dial()
		for range 2 {
			c.send(turn(`{"Input":"x"}`))
			status, _ := c.receive(t)
			if diff := cmp.Diff(http.StatusOK, status); diff != "" {
				t.Error(diff)
			}
		}
		_ = c.Close()
		s.end(t)
	})
}

func TestStopCutsNothingInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, newReceiver(func(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
			time.Sleep(20 * time.Second)
			return answerAll(ctx, command, sink)
		}, receiver.WithDrainTimeout(time.Minute)))
		c := s.dial()
		c.send(turn(`{"Input":"x","Stream":true}`))
		synctest.Wait()
		s.stop()
		status, body := c.receive(t)
		if diff := cmp.Diff(http.StatusOK, status); diff != "" {
			t.Errorf("%s: %s", body, diff)
		}
		if err := <-s.stopped; err != nil {
			t.Error(err)
		}
	})
}

func TestStopIsBoundedByTheDrainTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, newReceiver(func(ctx context.Context, _ requester.Command, _ requester.Sink) (requester.Reply, error) {
			<-ctx.Done()
			return requester.Reply{}, ctx.Err()
		}, receiver.WithDrainTimeout(time.Second)))
		c := s.dial()
		c.send(turn(`{"Input":"x"}`))
		synctest.Wait()
		started := time.Now()
		s.end(t)
		if diff := cmp.Diff(time.Second, time.Since(started)); diff != "" {
			t.Error(diff)
		}
		_ = c.Close()
	})
}

func TestOwnerHasTimeToSayWhatBecameOfTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, newReceiver(func(ctx context.Context, command requester.Command, _ requester.Sink) (requester.Reply, error) {
			time.Sleep(command.Left)
			if ctx.Err() != nil {
				t.Error("the context ended with the caller's time")
			}
			<-ctx.Done()
			return requester.Reply{}, answerer.New(answerer.DeadlineNotRun, "late")
		}, receiver.WithTimeouts(time.Second, time.Second)))
		c := s.dial()
		c.send(turn(`{"Input":"x"}`))
		_, body := c.receive(t)
		if diff := cmp.Diff(answerer.DeadlineNotRun, refusalOf(t, body).Kind); diff != "" {
			t.Error(diff)
		}
		_ = c.Close()
		s.end(t)
	})
}

func TestRequestsOverTheLimitAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, newReceiver(func(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
			time.Sleep(time.Second)
			return answerAll(ctx, command, sink)
		}, receiver.WithMaximumInFlight(1)))
		first, second := s.dial(), s.dial()
		first.send(turn(`{"Input":"x"}`))
		synctest.Wait()
		second.send(turn(`{"Input":"x"}`))
		_, body := second.receive(t)
		if diff := cmp.Diff(answerer.Overloaded, refusalOf(t, body).Kind); diff != "" {
			t.Error(diff)
		}
		status, _ := first.receive(t)
		if diff := cmp.Diff(http.StatusOK, status); diff != "" {
			t.Error(diff)
		}
		_, _ = first.Close(), second.Close()
		s.end(t)
	})
}
