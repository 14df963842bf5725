package composer

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var (
	eventStarted = logger.Define(5020, "EntryStarted", log.InfoLevel,
		"the instance has started", "None.")
	eventStopping = logger.Define(5021, "EntryStopping", log.InfoLevel,
		"the instance is stopping and reports that it is not ready", "None, if it was planned.")
	eventStopped = logger.Define(5022, "EntryStopped", log.InfoLevel,
		"the instance has stopped", "None.")
	eventComponentPanicked = logger.Define(5031, "ComponentPanicked", log.ErrorLevel,
		"a component panicked; the process ends", "Report the cause with the instance's version.")
	eventFailed = logger.Define(5131, "EntryFailed", log.ErrorLevel,
		"the process ends because of an error", "Mend the cause.")
	eventSettingsReplaced = logger.Define(5132, "SettingsReplaced", log.WarnLevel,
		"settings were refused; unknown ones are ignored, and the others have their defaults",
		"Correct the settings file.")
	eventMetricsUnavailable = logger.Define(5032, "MetricsUnavailable", log.WarnLevel,
		"the address of the metrics cannot be listened on; the instance serves without them",
		"Free the address or change AdminListen.")
	eventListenerError = logger.Define(5023, "ListenerComplained", log.WarnLevel,
		"the callers' HTTP server reported an error", "None, unless it persists.")
	eventStorePathChanged = logger.Define(5024, "StoreWayChanged", log.WarnLevel,
		"the path to the store has changed", "Check the store and the network to it if the path stays Relayed or Lost.")
	eventMembersChanged = logger.Define(5025, "MembersChanged", log.InfoLevel,
		"instances have joined or left", "None, if it was planned.")
	eventHeartbeatFailed = logger.Define(5026, "HeartbeatFailed", log.WarnLevel,
		"the instance's heartbeat or its removal could not be written", "Check the store if it persists.")
	eventRowNotDeleted = logger.Define(5033, "MemberRowNotDeleted", log.WarnLevel,
		"the row of a member without heartbeats could not be deleted", "Check the store if it persists.")
	eventReadinessChanged = logger.Define(5027, "ReadinessChanged", log.InfoLevel,
		"the instance's readiness has changed", "Check the path to the store if the instance stays not ready.")
	eventSettingsReloaded = logger.Define(5028, "SettingsReread", log.InfoLevel,
		"the settings were read again; they apply at the next start", "None.")
	eventHandoverFailed = logger.Define(5030, "BooksNotHandedOver", log.WarnLevel,
		"ledgers could not be handed over; their programs lose the unused part of their grants", "Check the instances that should have taken them over.")
	eventRequestsCut = logger.Define(5029, "RequestsCut", log.WarnLevel,
		"requests in flight were interrupted at the end of the grace period", "Check why they took so long.")
)
