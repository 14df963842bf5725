package placer

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var (
	eventStepFailed = logger.Define(3300, "PlacementStepFailed", log.WarnLevel,
		"a step of the placement failed and will be retried",
		"Check the platform's store if this persists.")
	eventRowMalformed = logger.Define(3301, "LeaseRowMalformed", log.ErrorLevel,
		"a lease row could not be decoded",
		"Check which other process writes to the platform's table.")
	eventMapChanged = logger.Define(3302, "ShardMapChanged", log.InfoLevel,
		"this instance changed the shard map",
		"None.")
	eventShardClaimed = logger.Define(3303, "ShardClaimed", log.DebugLevel,
		"this instance claimed a shard and serves it",
		"None.")
	eventShardReleased = logger.Define(3304, "ShardReleased", log.DebugLevel,
		"this instance handed over a shard",
		"None.")
	eventReleaseCut = logger.Define(3305, "ReleaseCut", log.ErrorLevel,
		"requests of a shard were aborted because its handover timed out",
		"Increase the time that the instance has to drain.")
)
