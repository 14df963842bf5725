package fakeengine

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// The log events of the stand-in engine.
var (
	FaultsSet = logger.Define(8100, "FakeEngineFaultsSet", log.InfoLevel,
		"The stand-in engine's faults were set.", "None; only stand-ins log this.")
	LeavingSet = logger.Define(8101, "FakeEngineLeavingSet", log.InfoLevel,
		"The stand-in engine was told whether it is leaving.", "None; only stand-ins log this.")
	OrderApplied = logger.Define(8102, "FakeEngineOrderApplied", log.InfoLevel,
		"The stand-in engine carried out an order.", "None; only stand-ins log this.")
)
