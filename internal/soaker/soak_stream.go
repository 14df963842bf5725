package soaker

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// callerStream is a stream over all attempts of its caller.
type callerStream struct {
	attempts []sentCall
	// want is the number of events that the stream has, and events are those that came.
	want   int
	events []standin.StreamEvent
	// began is the index of the attempt that brought the first event.
	began int
	// hasFailed is true once a violation has been reported.
	hasFailed bool
}

func (s *callerStream) first() sentCall { return s.attempts[0] }

func (s *callerStream) last() sentCall { return s.attempts[len(s.attempts)-1] }

// begin sends the first attempt of a stream with the number of events.
func (c *caller) begin(ctx context.Context, call standin.Call, want int) *callerStream {
	s := &callerStream{want: want}
	c.attempt(ctx, s, c.drawInstance(), call)
	return s
}

// takeUp takes up a stream that broke off or that the caller left, at other instances. It returns
// the reply of the last attempt.
func (c *caller) takeUp(ctx context.Context, s *callerStream) standin.Reply {
	for try := 0; try < turnTries && s.mayGoOn() && ctx.Err() == nil; try++ {
		call := s.first().call
		call.StopAfter = 0
		if len(s.events) > 0 {
			call.Resumes, call.LastEventID, call.ResumesFromZero = s.attempts[s.began].call.ID, s.events[len(s.events)-1].ID, true
		}
		c.count(c.report.Checks, "stream taken up")
		c.attempt(ctx, s, c.otherInstance(s.last().instance), call)
	}
	return s.last().reply
}

// mayGoOn reports whether the stream has begun and is not complete.
func (s *callerStream) mayGoOn() bool {
	hasBegun := false
	for _, sent := range s.attempts {
		if sent.reply.Status == http.StatusOK && sent.reply.IsComplete {
			return false
		}
		hasBegun = hasBegun || sent.reply.Status == http.StatusOK
	}
	return hasBegun
}

func (c *caller) otherInstance(than *instance) *instance {
	others := slices.DeleteFunc(c.present(), func(in *instance) bool { return in == than })
	if len(others) == 0 {
		return than
	}
	return others[c.random.IntN(len(others))]
}

// attempt sends an attempt of the stream and checks its events, and those of all attempts.
func (c *caller) attempt(ctx context.Context, s *callerStream, in *instance, call standin.Call) {
	sent := c.send(ctx, in, call)
	s.attempts = append(s.attempts, sent)
	if sent.reply.Status != http.StatusOK {
		return
	}
	events := sent.reply.StreamEvents()
	if len(s.events) == 0 && len(events) > 0 {
		s.began = len(s.attempts) - 1
	}
	c.count(c.report.Checks, "events")
	expected := c.expected(sent.call, events)
	s.events = append(s.events, events...)
	switch {
	case !slices.Equal(expected, events):
		c.failStream(s, "got %v, want %v", events, expected)
	case !isOneVersion(s.events):
		c.failStream(s, "has events of several versions: %v", s.events)
	case len(s.events) > s.want:
		c.failStream(s, "has %d events, and not %d", len(s.events), s.want)
	case sent.reply.IsComplete && standin.WholeEvents(sent.reply.Body) != sent.reply.Body:
		c.failStream(s, "ended as complete within an event: %q", sent.reply.Body)
	case sent.reply.IsComplete && !s.isWhole(c):
		c.failStream(s, "ended as complete after %d events of %d", len(s.events), s.want)
	}
}

// expected returns the events that the attempt is to have in place of those that it got.
func (c *caller) expected(call standin.Call, got []standin.StreamEvent) []standin.StreamEvent {
	if len(got) == 0 {
		return got
	}
	version := got[0].Version
	numbering := c.numbering(version)
	first := 0
	if call.ResumesFromZero {
		first = numbering.After(call.LastEventID)
	}
	expected := make([]standin.StreamEvent, len(got))
	for i := range got {
		index := first + i
		expected[i] = standin.StreamEvent{ID: numbering.At(index), Data: fmt.Sprintf("%s.%d", call.ID, index+1), Version: version}
	}
	return expected
}

// isWhole reports whether the last event of the stream has come.
func (s *callerStream) isWhole(c *caller) bool {
	if len(s.events) == 0 {
		return s.want == 0
	}
	last := s.events[len(s.events)-1]
	numbering := c.numbering(last.Version)
	return last.ID == numbering.At(s.want-1)
}

func isOneVersion(events []standin.StreamEvent) bool {
	return !slices.ContainsFunc(events, func(e standin.StreamEvent) bool { return e.Version != events[0].Version })
}

// failStream reports a violation of the stream, once, with all its attempts.
func (c *caller) failStream(s *callerStream, format string, args ...any) {
	if s.hasFailed {
		return
	}
	s.hasFailed = true
	c.violate("ORDER: a stream "+format+"; attempts: %s", append(args, c.describeAll(s.attempts))...)
}

func (c *caller) describeAll(attempts []sentCall) string {
	texts := make([]string, len(attempts))
	for i, sent := range attempts {
		texts[i] = c.describe(sent)
	}
	return strings.Join(texts, "; ")
}

// timeFormat is that of the instances' logs.
const timeFormat = "15:04:05.000"

// describe names an attempt, the instance that got it, and the endpoints that ran it, with times as
// in the instances' logs.
func (c *caller) describe(sent sentCall) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s at %s", sent.call.ID, sent.instance.name)
	if sent.isOld {
		text.WriteString(" by HTTP/1.0")
	}
	if !sent.reply.Sent.IsZero() {
		fmt.Fprintf(&text, ", sent whole at %s,", sent.reply.Sent.UTC().Format(timeFormat))
	}
	fmt.Fprintf(&text, " from %s for %v", sent.began.UTC().Format(timeFormat), sent.ended.Sub(sent.began).Round(time.Millisecond))
	if sent.call.ResumesFromZero {
		fmt.Fprintf(&text, ", after event %d of %s", sent.call.LastEventID, sent.call.Resumes)
	}
	fmt.Fprintf(&text, ", answered %d", sent.reply.Status)
	if !sent.reply.IsComplete {
		fmt.Fprintf(&text, " in part (%v)", sent.reply.Err)
	}
	if len(sent.reply.Body) > 0 && sent.reply.Status != http.StatusOK {
		fmt.Fprintf(&text, " %q", sent.reply.Body[:min(len(sent.reply.Body), 60)])
	}
	for _, run := range c.runs(sent.call.ID) {
		fmt.Fprintf(&text, ", ran at %s of %s from %s", run.Endpoint, run.Version, run.Began.UTC().Format(timeFormat))
		if !run.Ended.IsZero() {
			fmt.Fprintf(&text, " for %v", run.Ended.Sub(run.Began).Round(time.Millisecond))
		}
		if run.Resumes {
			fmt.Fprintf(&text, " after event %d", run.ResumeAfter)
		}
	}
	return text.String()
}
