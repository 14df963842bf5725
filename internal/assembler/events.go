package assembler

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var (
	eventServing       = logger.Define(1101, "Serving", log.InfoLevel, "the instance accepts requests from callers", "None.")
	eventAcquireFailed = logger.Define(1102, "LeaseFailed", log.WarnLevel, "the lease could not be acquired",
		"Check the platform's store; the instance retries every second.")
	eventLeaseAcquired = logger.Define(1103, "LeaseTaken", log.InfoLevel, "the lease was acquired under a new generation", "None.")
	eventLeaseLost     = logger.Define(1104, "TenureEnded", log.WarnLevel, "the lease was lost and is acquired again",
		"Check whether this instance was paused or cut off from the store before this event.")
	eventVersionInForce  = logger.Define(1105, "VersionInForce", log.InfoLevel, "a document version is in force on this instance", "None.")
	eventStopping        = logger.Define(1106, "Stopping", log.InfoLevel, "a graceful shutdown has begun", "None.")
	eventDrainIncomplete = logger.Define(1107, "DrainCut", log.WarnLevel, "the drain ended before all shards were handed over",
		"Raise DrainTimeout if turns or calls take longer than that.")
	eventServeFailed = logger.Define(1109, "ServeFailed", log.ErrorLevel, "the caller listener has failed",
		"Check whether another process uses the address, and restart the instance.")
	eventClaimFailed = logger.Define(1110, "HoldFailed", log.WarnLevel,
		"an engine could not be claimed", "Check the platform's store; the claim is retried.")
	eventStopped = logger.Define(1108, "Stopped", log.InfoLevel, "the instance has shut down gracefully", "None.")
)
