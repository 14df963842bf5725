package placer

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var (
	eventStepFailed = logger.Define(3300, "PlacementStepFailed", log.WarnLevel,
		"a step of the placement failed and is taken again",
		"Check the platform's store if this goes on.")
	eventRowMalformed = logger.Define(3301, "LeaseRowMalformed", log.ErrorLevel,
		"a lease row cannot be read",
		"Check who else writes to the platform's table.")
	eventMapChanged = logger.Define(3302, "ShardMapChanged", log.InfoLevel,
		"this instance changed the shard map",
		"None.")
	eventShardClaimed = logger.Define(3303, "ShardClaimed", log.DebugLevel,
		"a shard is served by this instance from now on",
		"None.")
	eventShardReleased = logger.Define(3304, "ShardReleased", log.DebugLevel,
		"a shard was handed over",
		"None.")
	eventReleaseCut = logger.Define(3305, "ReleaseCut", log.ErrorLevel,
		"work of a shard was cut because the time for the handover ended",
		"Give the instance more time to stop.")
)
