package assembler

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var (
	eventServing       = logger.Define(1101, "Serving", log.InfoLevel, "callers are served", "Nothing.")
	eventAcquireFailed = logger.Define(1102, "LeaseFailed", log.WarnLevel, "the lease could not be taken",
		"Look at the platform's store; the instance tries again every second.")
	eventLeaseAcquired = logger.Define(1103, "LeaseTaken", log.InfoLevel, "the lease was taken under a new generation", "Nothing.")
	eventLeaseLost     = logger.Define(1104, "TenureEnded", log.WarnLevel, "the lease was lost; a new one is taken",
		"Look for a pause of this instance or a cut from the store before this event.")
	eventVersionInForce  = logger.Define(1105, "VersionInForce", log.InfoLevel, "a document version is in force here", "Nothing.")
	eventStopping        = logger.Define(1106, "Stopping", log.InfoLevel, "a planned stop has begun", "Nothing.")
	eventDrainIncomplete = logger.Define(1107, "DrainCut", log.WarnLevel, "the drain ended before everything was handed over",
		"Raise DrainTimeout if turns or calls take longer than that.")
	eventServeFailed = logger.Define(1109, "ServeFailed", log.ErrorLevel, "the callers' listener has failed",
		"Look for another process on the address and restart the instance.")
	eventClaimFailed = logger.Define(1110, "HoldFailed", log.WarnLevel,
		"the right to order an engine could not be taken", "Look at the platform's store; it is tried again.")
	eventStopped = logger.Define(1108, "Stopped", log.InfoLevel, "the instance has stopped as planned", "Nothing.")
)
