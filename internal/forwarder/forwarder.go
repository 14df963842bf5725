// Package forwarder owns the calls between instances: it carries a command to
// the owner of its shard and the answer back, exchanges heartbeats, and serves
// the calls of the others. It does not own which instance owns a shard, nor
// what a command does there.
package forwarder

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/meter"
	"github.com/wigeonstand/wigeonstand/internal/requester"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
)

const (
	// MaxHops bounds how often a command is forwarded.
	MaxHops = 2
	// DefaultPlacementTimeout bounds the wait for a shard that is moving.
	DefaultPlacementTimeout = 3 * time.Second
	placePoll               = 50 * time.Millisecond
)

// Placer says who owns a shard and reads the shard map anew.
type Placer interface {
	sharder.Locator
	Refresh(ctx context.Context) error
}

// Forwarder implements requester.Doer for an entry: it runs a command here if
// this instance owns the shard, and on the owner otherwise.
type Forwarder struct {
	placer     Placer
	client     *Client
	local      requester.Doer
	meter      *meter.Meter
	log        *logger.Logger
	placeLimit time.Duration
}

var _ requester.Doer = (*Forwarder)(nil)

// Option sets one property of a Forwarder.
type Option func(*Forwarder)

// WithMeter sets where retries are counted.
func WithMeter(m *meter.Meter) Option { return func(f *Forwarder) { f.meter = m } }

// WithLogger sets where events are logged.
func WithLogger(log *logger.Logger) Option { return func(f *Forwarder) { f.log = log } }

// WithPlacementTimeout bounds the wait for a shard that is moving.
func WithPlacementTimeout(d time.Duration) Option { return func(f *Forwarder) { f.placeLimit = d } }

// New returns a Forwarder.
func New(placer Placer, client *Client, local requester.Doer, options ...Option) *Forwarder {
	f := &Forwarder{
		placer:     placer,
		client:     client,
		local:      local,
		log:        logger.Discard(),
		placeLimit: DefaultPlacementTimeout,
	}
	for _, option := range options {
		option(f)
	}
	if f.meter == nil {
		f.meter = meter.New()
	}
	return f
}

// Do implements requester.Doer. A command is tried again once when its owner had
// moved, and once on a fresh connection when it was not delivered or, if
// the owner recognizes a repetition, when its answer was lost.
func (f *Forwarder) Do(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
	key := command.RoutingKey()
	if key == "" {
		return f.local.Do(ctx, command, sink)
	}
	if command.Hops > MaxHops {
		return requester.Reply{}, answerer.New(answerer.Moved, "forwarded %d times", command.Hops)
	}
	call := &call{Forwarder: f, shard: requester.ShardOf(key), command: command, sink: &resumer{sink: sink}}
	return call.run(ctx)
}

// call is one command under way from the entry.
type call struct {
	*Forwarder
	shard   int
	command requester.Command
	sink    *resumer

	fresh     bool
	refreshed bool
	delivered bool
}

func (c *call) run(ctx context.Context) (requester.Reply, error) {
	for {
		reply, err := c.once(ctx)
		if err == nil || !c.again(ctx, err) {
			return reply, c.explain(ctx, err)
		}
		c.sink.restart()
	}
}

// once places the command and runs it there.
func (c *call) once(ctx context.Context) (requester.Reply, error) {
	place, err := c.await(ctx)
	if err != nil {
		return requester.Reply{}, err
	}
	if place.Local {
		return c.local.Do(ctx, c.command, c.sink)
	}
	command := c.command
	command.Hops++
	if deadline, ok := ctx.Deadline(); ok {
		command.Timeout = time.Until(deadline)
	}
	return c.client.do(ctx, place.Address, command, c.sink, c.fresh)
}

// await returns the shard's placement once it is ready.
func (c *call) await(ctx context.Context) (sharder.Placement, error) {
	limit := time.NewTimer(c.placeLimit)
	defer limit.Stop()
	for {
		place := c.placer.Locate(c.shard)
		if place.Ready && (place.Local || place.Address != "") {
			return place, nil
		}
		poll := time.NewTimer(placePoll)
		select {
		case <-poll.C:
		case <-limit.C:
			return place, answerer.New(answerer.Moved, "shard %d is moving", c.shard)
		case <-ctx.Done():
			return place, errors.Join(errUndelivered, ctx.Err())
		}
	}
}

// again says whether the command is to be tried once more, and prepares that.
func (c *call) again(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	switch {
	case errors.Is(err, errLost):
		c.delivered = true
		if c.fresh || !repeatable(c.command) {
			return false
		}
		return c.renew("AnswerLost")
	case errors.Is(err, errUndelivered):
		if c.fresh {
			return false
		}
		return c.renew("Undelivered")
	case answerer.KindOf(err) == answerer.Moved && !c.refreshed:
		c.refreshed = true
		c.meter.Retries.WithLabelValues("Moved", "Peer").Inc()
		return c.placer.Refresh(ctx) == nil
	}
	return false
}

func (c *call) renew(reason string) bool {
	c.fresh = true
	c.meter.Retries.WithLabelValues(reason, "Peer").Inc()
	return true
}

// explain turns the fate of the last attempt into an error with a kind. Once any
// attempt may have been delivered, the command is never said to be not run.
func (c *call) explain(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errLost):
		c.delivered = true
	case errors.Is(err, errUndelivered):
	case c.delivered && answerer.Lookup(answerer.KindOf(err)).Ran == answerer.NotRun:
	default:
		return answerer.As(err)
	}
	c.log.Log(eventUnanswered, "Request", c.command.Request, "Delivered", c.delivered, "Cause", err)
	if c.delivered {
		return answerer.Wrap(lostKind(c.command), err, "the owner's answer was lost")
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return answerer.Wrap(answerer.Canceled, err, "the caller went away")
	case ctx.Err() != nil:
		return answerer.Wrap(answerer.DeadlineNotRun, err, "the owner was not reached in time")
	}
	return answerer.Wrap(answerer.OwnerUnavailable, err, "shard %d", c.shard)
}

// repeatable says whether the owner recognizes a repetition of the command.
func repeatable(command requester.Command) bool {
	switch {
	case command.Turn != nil:
		return command.Turn.Number > 0 || command.Turn.Key != ""
	case command.Call != nil:
		return command.Call.Key != ""
	}
	return true
}

// lostKind returns the kind of a command that may have taken effect.
func lostKind(command requester.Command) answerer.Kind {
	switch {
	case command.Call != nil:
		return answerer.OutcomeUnknown
	case command.Turn != nil, command.Open != nil, command.End != nil, command.Resolve != nil:
		return answerer.NotDurable
	}
	return answerer.OwnerUnavailable
}

// resumer passes the chunks of a repeated attempt on from where the attempt
// before ended. If the generation is another one, its chunks are left out; the
// reply has the whole text.
type resumer struct {
	sink    requester.Sink
	request string
	next    int
	again   bool
}

func (r *resumer) restart() { r.again = r.next > 0 }

// Chunk implements requester.Sink.
func (r *resumer) Chunk(chunk generator.Chunk) error {
	if r.again && (chunk.Request != r.request || chunk.Offset < r.next) {
		return nil
	}
	r.request = chunk.Request
	r.next = chunk.Offset + chunk.Tokens
	return r.sink.Chunk(chunk)
}
