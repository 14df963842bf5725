package fakeservice

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// The log events of the stand-in service.
var (
	LeavingSet = logger.Define(8201, "FakeServiceLeavingSet", log.InfoLevel,
		"The stand-in service was told whether it is leaving.", "None; only stand-ins log this.")
	FaultsSet = logger.Define(8200, "FakeServiceFaultsSet", log.InfoLevel,
		"The stand-in service's faults were set.", "None; only stand-ins log this.")
)
