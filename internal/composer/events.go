package composer

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var (
	eventStarted = logger.Define(5020, "EntryStarted", log.InfoLevel,
		"the instance has started", "None.")
	eventStopping = logger.Define(5021, "EntryStopping", log.InfoLevel,
		"the instance was told to stop and reports that it is not ready", "None, if it was planned.")
	eventStopped = logger.Define(5022, "EntryStopped", log.InfoLevel,
		"the instance has stopped", "None.")
	eventListenerError = logger.Define(5023, "ListenerComplained", log.WarnLevel,
		"the callers' listener reports an error", "None, unless it goes on.")
	eventStorePathChanged = logger.Define(5024, "StoreWayChanged", log.WarnLevel,
		"the way on which the store is reached has changed", "Look at the store, or at the network between, if it stays Relayed or Lost.")
	eventMembersChanged = logger.Define(5025, "MembersChanged", log.InfoLevel,
		"instances came or went", "None, if it was planned.")
	eventHeartbeatFailed = logger.Define(5026, "HeartbeatFailed", log.WarnLevel,
		"the instance's heartbeat was not written", "Look at the store if it goes on.")
	eventReadinessChanged = logger.Define(5027, "ReadinessChanged", log.InfoLevel,
		"the instance reports another readiness", "Look at the store's way if it stays not ready.")
	eventSettingsReloaded = logger.Define(5028, "SettingsReread", log.InfoLevel,
		"the settings were read anew; they apply at the next start", "None.")
	eventHandoverFailed = logger.Define(5030, "BooksNotHandedOver", log.WarnLevel,
		"books could not be handed over; what was granted ahead of need is lost to their programs", "Look at the instances that should have taken them.")
	eventRequestsCut = logger.Define(5029, "RequestsCut", log.WarnLevel,
		"requests in flight were cut because the grace period was over", "Look at what took so long.")
)
