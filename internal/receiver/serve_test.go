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

// replyAfter replies to every command after d, unless its context was canceled.
func replyAfter(d time.Duration) doFunc {
	return func(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
		time.Sleep(d)
		if err := ctx.Err(); err != nil {
			return requester.Reply{}, err
		}
		return replyToAll(ctx, command, sink)
	}
}

// replyOnCancel waits until the command's context is canceled and sends its error.
func replyOnCancel(canceled chan<- error) doFunc {
	return func(ctx context.Context, _ requester.Command, _ requester.Sink) (requester.Reply, error) {
		<-ctx.Done()
		canceled <- ctx.Err()
		return requester.Reply{}, answerer.Wrap(answerer.Canceled, ctx.Err(), "canceled")
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
	if diff := cmp.Diff(want, decodeError(t, body).Kind); diff != "" {
		t.Error(diff)
	}
}

func TestSlowHeaderTimesOut(t *testing.T) {
	serveInBubble(t, replyToAll, func(t *testing.T, _ *testServer, c *client) {
		started := time.Now()
		written := make(chan struct{})
		go func() {
			defer close(written)
			for _, b := range []byte(turnHeader) {
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

func TestSlowBodyTimesOut(t *testing.T) {
	for key, want := range map[string]answerer.Kind{"key": answerer.BadRequest, "unknown": answerer.Unauthenticated} {
		serveInBubble(t, replyToAll, func(t *testing.T, _ *testServer, c *client) {
			started := time.Now()
			c.send("POST /v1/programs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key +
				"\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{")
			c.expectKind(t, want)
			_, _ = io.ReadAll(c)
			if elapsed := time.Since(started); elapsed > 4*time.Second {
				t.Errorf("the connection stayed open for %v", elapsed)
			}
		}, receiver.WithBodyLimit(1<<20, 3*time.Second))
	}
}

func TestWriteToAStalledCallerTimesOut(t *testing.T) {
	failed := make(chan error, 1)
	endless := func(_ context.Context, _ requester.Command, sink requester.Sink) (requester.Reply, error) {
		var err error
		for err == nil {
			err = sink.Chunk(generator.Chunk{Text: "a"})
		}
		failed <- err
		return requester.Reply{}, err
	}
	serveInBubble(t, endless, func(t *testing.T, _ *testServer, c *client) {
		c.send(turnRequest(`{"Input":"x","Stream":true}`))
		time.Sleep(5 * time.Second)
		if len(failed) != 1 {
			t.Error("no write failed within the write timeout")
		}
	}, receiver.WithWriteTimeout(time.Second))
}

func TestDisconnectCancelsTheCommand(t *testing.T) {
	canceled := make(chan error, 1)
	serveInBubble(t, replyOnCancel(canceled), func(t *testing.T, _ *testServer, c *client) {
		c.send(turnRequest(`{"Input":"x"}`))
		synctest.Wait()
		_ = c.Close()
		synctest.Wait()
		if len(canceled) != 1 {
			t.Error("the command was not canceled")
		}
	})
	if err := <-canceled; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}

func TestCommandMayOutlastTheBodyTimeout(t *testing.T) {
	serveInBubble(t, replyAfter(30*time.Second), func(t *testing.T, _ *testServer, c *client) {
		for range 2 {
			c.send(turnRequest(`{"Input":"x"}`))
			c.expectStatus(t, http.StatusOK)
		}
	}, receiver.WithBodyLimit(1<<20, time.Second))
}

func TestStopWaitsForRequestsInFlight(t *testing.T) {
	serveInBubble(t, replyAfter(20*time.Second), func(t *testing.T, s *testServer, c *client) {
		c.send(turnRequest(`{"Input":"x","Stream":true}`))
		synctest.Wait()
		s.stop()
		c.expectStatus(t, http.StatusOK)
	}, receiver.WithDrainTimeout(time.Minute))
}

func TestStopIsBoundedByTheDrainTimeout(t *testing.T) {
	canceled := make(chan error, 1)
	serveInBubble(t, replyOnCancel(canceled), func(t *testing.T, s *testServer, c *client) {
		c.send(turnRequest(`{"Input":"x"}`))
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

func TestOwnerMayReplyWithinTheGracePeriod(t *testing.T) {
	late := func(ctx context.Context, command requester.Command, _ requester.Sink) (requester.Reply, error) {
		time.Sleep(command.Timeout + 100*time.Millisecond)
		if ctx.Err() != nil {
			return requester.Reply{}, ctx.Err()
		}
		<-ctx.Done()
		return requester.Reply{}, answerer.New(answerer.DeadlineNotRun, "late")
	}
	serveInBubble(t, late, func(t *testing.T, _ *testServer, c *client) {
		c.send(turnRequest(`{"Input":"x"}`))
		c.expectKind(t, answerer.DeadlineNotRun)
	}, receiver.WithTimeouts(time.Second, time.Second))
}

func TestRequestsOverTheLimitAreRejected(t *testing.T) {
	serveInBubble(t, replyAfter(time.Second), func(t *testing.T, s *testServer, c *client) {
		c.send(turnRequest(`{"Input":"x"}`))
		synctest.Wait()
		second := s.dial()
		second.send(turnRequest(`{"Input":"x"}`))
		second.expectKind(t, answerer.Overloaded)
		_ = second.Close()
		c.expectStatus(t, http.StatusOK)
	}, receiver.WithMaximumInFlight(1))
}
