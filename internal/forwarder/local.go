package forwarder

import (
	"context"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/requester"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
)

// LocalDoer runs the commands of other instances here. It waits for a shard that
// this instance is about to serve and refuses those of other instances.
type LocalDoer struct {
	self   string
	placer Placer
	doer   requester.Doer
	limit  time.Duration
}

var _ requester.Doer = (*LocalDoer)(nil)

// NewLocalDoer returns a LocalDoer for the instance named self.
func NewLocalDoer(self string, placer Placer, doer requester.Doer) *LocalDoer {
	return &LocalDoer{self: self, placer: placer, doer: doer, limit: DefaultPlacementTimeout}
}

// Do implements requester.Doer.
func (l *LocalDoer) Do(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
	key := command.RoutingKey()
	if key == "" {
		return l.doer.Do(ctx, command, sink)
	}
	shard := requester.ShardOf(key)
	if place := l.await(ctx, shard); !place.Local {
		moved := answerer.New(answerer.Moved, "shard %d is with %q", shard, place.Instance)
		moved.Owner = place.Instance
		return requester.Reply{}, moved
	}
	return l.doer.Do(ctx, command, sink)
}

// await returns the placement once the shard is served here, or when it is
// known to belong to another instance or the wait is over.
func (l *LocalDoer) await(ctx context.Context, shard int) sharder.Placement {
	ctx, cancel := context.WithTimeout(ctx, l.limit)
	defer cancel()
	refreshed := false
	for {
		place := l.placer.Locate(shard)
		if place.Local {
			return place
		}
		if place.Instance != l.self {
			// The sender may have seen a newer map.
			if refreshed || l.placer.Refresh(ctx) != nil {
				return place
			}
			refreshed = true
			continue
		}
		poll := time.NewTimer(placePoll)
		select {
		case <-poll.C:
		case <-ctx.Done():
			poll.Stop()
			return place
		}
	}
}
