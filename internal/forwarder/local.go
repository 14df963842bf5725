package forwarder

import (
	"context"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/requester"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
)

// LocalDoer runs the commands that other instances send to this one. It waits until
// this instance serves the shard, and refuses commands for shards of other instances.
type LocalDoer struct {
	self             string
	placer           Placer
	doer             requester.Doer
	placementTimeout time.Duration
}

var _ requester.Doer = (*LocalDoer)(nil)

// NewLocalDoer returns a LocalDoer for the instance named self.
func NewLocalDoer(self string, placer Placer, doer requester.Doer) *LocalDoer {
	return &LocalDoer{self: self, placer: placer, doer: doer, placementTimeout: DefaultPlacementTimeout}
}

// Do implements requester.Doer.
func (l *LocalDoer) Do(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
	key := command.RoutingKey()
	if key == "" {
		return l.doer.Do(ctx, command, sink)
	}
	shard := requester.ShardOf(key)
	if placement := l.awaitPlacement(ctx, shard); !placement.Local {
		moved := answerer.New(answerer.Moved, "shard %d is owned by instance %q", shard, placement.Instance)
		moved.Owner = placement.Instance
		return requester.Reply{}, moved
	}
	return l.doer.Do(ctx, command, sink)
}

// awaitPlacement returns the placement of the shard once this instance serves it. It
// returns earlier if another instance owns the shard, or after the placement timeout.
func (l *LocalDoer) awaitPlacement(ctx context.Context, shard int) sharder.Placement {
	ctx, cancel := context.WithTimeout(ctx, l.placementTimeout)
	defer cancel()
	refreshed := false
	for {
		placement := l.placer.Locate(shard)
		if placement.Local {
			return placement
		}
		if placement.Instance != l.self {
			// The sender may have read a newer shard map.
			if refreshed || l.placer.Refresh(ctx) != nil {
				return placement
			}
			refreshed = true
			continue
		}
		poll := time.NewTimer(placementPollInterval)
		select {
		case <-poll.C:
		case <-ctx.Done():
			poll.Stop()
			return placement
		}
	}
}
