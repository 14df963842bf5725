package fakeservice

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// The log events of the fake service.
var (
	LeavingSet = logger.Define(8201, "FakeServiceLeavingSet", log.InfoLevel,
		"The leaving state of the fake service was set.", "None; only fakes log this.")
	FaultsSet = logger.Define(8200, "FakeServiceFaultsSet", log.InfoLevel,
		"The faults of the fake service were set.", "None; only fakes log this.")
)
