package forwarder

import (
	"context"
	"errors"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// Do runs the command on the instance at the address, whichever instance owns its
// shard. The command is sent once: an error of kind OwnerUnavailable means that it was
// not delivered, and NotDurable that the reply was lost.
func (c *Client) Do(ctx context.Context, address string, command requester.Command) (requester.Reply, error) {
	reply, err := c.do(ctx, address, command, discardSink{}, false)
	switch {
	case errors.Is(err, errUndelivered):
		return reply, answerer.Wrap(answerer.OwnerUnavailable, err, "the instance is unreachable")
	case errors.Is(err, errReplyLost):
		return reply, answerer.Wrap(answerer.NotDurable, err, "the reply of the instance was lost")
	}
	return reply, err
}

// discardSink is the sink of commands that stream no chunks.
type discardSink struct{}

// Chunk implements requester.Sink.
func (discardSink) Chunk(generator.Chunk) error { return nil }
