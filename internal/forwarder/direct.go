package forwarder

import (
	"context"
	"errors"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// Do runs the command on the instance at the address, whoever owns what it
// names. It is sent once: OwnerUnavailable means that it was not delivered and
// NotDurable that its answer was lost.
func (c *Client) Do(ctx context.Context, address string, command requester.Command) (requester.Reply, error) {
	reply, err := c.do(ctx, address, command, noSink{}, false)
	switch {
	case errors.Is(err, errUndelivered):
		return reply, answerer.Wrap(answerer.OwnerUnavailable, err, "the instance could not be reached")
	case errors.Is(err, errLost):
		return reply, answerer.Wrap(answerer.NotDurable, err, "the instance's answer was lost")
	}
	return reply, err
}

// noSink drops the chunks of commands that have none.
type noSink struct{}

// Chunk implements requester.Sink.
func (noSink) Chunk(generator.Chunk) error { return nil }
