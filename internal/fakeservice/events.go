package fakeservice

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// The log events of the stand-in service.
var (
	FaultsSet = logger.Define(8200, "FakeServiceFaultsSet", log.InfoLevel,
		"The stand-in service's faults were set.", "None; only stand-ins log this.")
)
