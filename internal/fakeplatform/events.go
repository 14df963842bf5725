package fakeplatform

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// The log events of the stand-in platform.
var (
	FaultsSet = logger.Define(8000, "FakePlatformFaultsSet", log.InfoLevel,
		"The stand-in platform's faults were set.", "None; only stand-ins log this.")
)
