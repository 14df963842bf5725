// Package forwarder implements the RPC between instances. A Forwarder sends a
// command to the owner of its shard and returns the reply; a Client also exchanges
// heartbeats and fetches documents, and a Server serves these calls. Package placer
// decides which instance owns a shard.
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
	// MaxHops is the maximum Hops of a command that Forwarder.Do accepts.
	MaxHops = 2
	// DefaultPlacementTimeout is the default of WithPlacementTimeout.
	DefaultPlacementTimeout = 3 * time.Second
	placementPollInterval   = 50 * time.Millisecond
)

// Placer looks up the owners of shards.
type Placer interface {
	sharder.Locator
	// Refresh reads the shard map again.
	Refresh(ctx context.Context) error
}

// Forwarder implements requester.Doer for an entry instance: it runs a command
// locally if this instance owns its shard, and otherwise sends it to the owner. It
// is safe for concurrent use.
type Forwarder struct {
	placer           Placer
	client           *Client
	local            requester.Doer
	meter            *meter.Meter
	log              *logger.Logger
	placementTimeout time.Duration
}

var _ requester.Doer = (*Forwarder)(nil)

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithMeter sets the meter that counts retries.
func WithMeter(m *meter.Meter) Option { return func(f *Forwarder) { f.meter = m } }

// WithLogger sets the logger; the default discards all events.
func WithLogger(log *logger.Logger) Option { return func(f *Forwarder) { f.log = log } }

// WithPlacementTimeout limits the wait for a shard that is moving between instances.
func WithPlacementTimeout(d time.Duration) Option {
	return func(f *Forwarder) { f.placementTimeout = d }
}

// New returns a Forwarder that runs the commands of local shards on local.
func New(placer Placer, client *Client, local requester.Doer, options ...Option) *Forwarder {
	f := &Forwarder{
		placer:           placer,
		client:           client,
		local:            local,
		log:              logger.Discard(),
		placementTimeout: DefaultPlacementTimeout,
	}
	for _, option := range options {
		option(f)
	}
	if f.meter == nil {
		f.meter = meter.New()
	}
	return f
}

// Do implements requester.Doer. It retries a command once if its shard has moved,
// and once on a new connection if the command was not delivered, or if its reply was
// lost and the command is idempotent.
func (f *Forwarder) Do(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
	key := command.RoutingKey()
	if key == "" {
		return f.local.Do(ctx, command, sink)
	}
	if command.Hops > MaxHops {
		return requester.Reply{}, answerer.New(answerer.Moved, "the command was forwarded %d times", command.Hops)
	}
	call := &call{Forwarder: f, shard: requester.ShardOf(key), command: command, sink: &resumingSink{sink: sink}}
	return call.run(ctx)
}

// call is the execution of one command, with its retries.
type call struct {
	*Forwarder
	shard   int
	command requester.Command
	sink    *resumingSink

	// newConnection is set if the next attempt must not use a pooled connection.
	newConnection bool
	// refreshed is set once the shard map was refreshed for the command.
	refreshed bool
	// maybeDelivered is set once an attempt may have reached the owner.
	maybeDelivered bool
}

func (c *call) run(ctx context.Context) (requester.Reply, error) {
	for {
		reply, err := c.attempt(ctx)
		if err == nil || !c.prepareRetry(ctx, err) {
			return reply, c.finalError(ctx, err)
		}
		c.sink.restart()
	}
}

// attempt runs the command once on the current owner of its shard.
func (c *call) attempt(ctx context.Context) (requester.Reply, error) {
	placement, err := c.awaitPlacement(ctx)
	if err != nil {
		return requester.Reply{}, err
	}
	if placement.Local {
		return c.local.Do(ctx, c.command, c.sink)
	}
	command := c.command
	command.Hops++
	if deadline, ok := ctx.Deadline(); ok {
		command.Timeout = time.Until(deadline)
	}
	return c.client.do(ctx, placement.Address, command, c.sink, c.newConnection)
}

// awaitPlacement waits until the owner of the shard serves it and returns the
// placement.
func (c *call) awaitPlacement(ctx context.Context) (sharder.Placement, error) {
	timeout := time.NewTimer(c.placementTimeout)
	defer timeout.Stop()
	for {
		placement := c.placer.Locate(c.shard)
		if placement.Ready && (placement.Local || placement.Address != "") {
			return placement, nil
		}
		poll := time.NewTimer(placementPollInterval)
		select {
		case <-poll.C:
		case <-timeout.C:
			return placement, answerer.New(answerer.Moved, "shard %d is moving to another instance", c.shard)
		case <-ctx.Done():
			return placement, errors.Join(errUndelivered, ctx.Err())
		}
	}
}

// prepareRetry reports whether the command is retried after err, and sets up the
// next attempt.
func (c *call) prepareRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	switch {
	case errors.Is(err, errReplyLost):
		c.maybeDelivered = true
		if c.newConnection || !isIdempotent(c.command) {
			return false
		}
		return c.retryOnNewConnection("AnswerLost")
	case errors.Is(err, errUndelivered):
		if c.newConnection {
			return false
		}
		return c.retryOnNewConnection("Undelivered")
	case answerer.KindOf(err) == answerer.Moved && !c.refreshed:
		c.refreshed = true
		c.meter.Retries.WithLabelValues("Moved", "Peer").Inc()
		return c.placer.Refresh(ctx) == nil
	}
	return false
}

// retryOnNewConnection makes the next attempt use a new connection and counts the
// retry. It returns true.
func (c *call) retryOnNewConnection(reason string) bool {
	c.newConnection = true
	c.meter.Retries.WithLabelValues(reason, "Peer").Inc()
	return true
}

// finalError converts the error of the last attempt to an error with a kind. If any
// attempt may have been delivered, a kind whose Ran is NotRun is replaced by
// lostReplyKind.
func (c *call) finalError(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errReplyLost):
		c.maybeDelivered = true
	case errors.Is(err, errUndelivered):
	case c.maybeDelivered && answerer.Lookup(answerer.KindOf(err)).Ran == answerer.NotRun:
	default:
		return answerer.As(err)
	}
	c.log.Log(eventUnanswered, "Request", c.command.Request, "Delivered", c.maybeDelivered, "Cause", err)
	if c.maybeDelivered {
		return answerer.Wrap(lostReplyKind(c.command), err, "the reply of the owner was lost")
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return answerer.Wrap(answerer.Canceled, err, "the caller canceled the request")
	case ctx.Err() != nil:
		return answerer.Wrap(answerer.DeadlineNotRun, err, "the deadline passed before the command was delivered to the owner")
	}
	return answerer.Wrap(answerer.OwnerUnavailable, err, "the owner of shard %d is unreachable", c.shard)
}

// isIdempotent reports whether the owner detects a repetition of the command.
func isIdempotent(command requester.Command) bool {
	switch {
	case command.Turn != nil:
		return command.Turn.Number > 0 || command.Turn.Key != ""
	case command.Call != nil:
		return command.Call.Key != ""
	}
	return true
}

// lostReplyKind returns the error kind for a command whose reply was lost, so that
// it may have taken effect.
func lostReplyKind(command requester.Command) answerer.Kind {
	switch {
	case command.Call != nil:
		return answerer.OutcomeUnknown
	case command.Turn != nil, command.Open != nil, command.End != nil, command.Resolve != nil:
		return answerer.NotDurable
	}
	return answerer.OwnerUnavailable
}

// resumingSink drops the chunks of a retried attempt that the previous attempt
// already passed to sink. If the retry is served by a different generation request,
// all its chunks are dropped; the reply contains the whole text.
type resumingSink struct {
	sink    requester.Sink
	request string
	// nextOffset is the offset after the last token passed to sink.
	nextOffset int
	retrying   bool
}

// restart prepares for the chunks of another attempt.
func (r *resumingSink) restart() { r.retrying = r.nextOffset > 0 }

// Chunk implements requester.Sink.
func (r *resumingSink) Chunk(chunk generator.Chunk) error {
	if r.retrying && (chunk.Request != r.request || chunk.Offset < r.nextOffset) {
		return nil
	}
	r.request = chunk.Request
	r.nextOffset = chunk.Offset + chunk.Tokens
	return r.sink.Chunk(chunk)
}
