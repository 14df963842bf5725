package driver

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// The log events of the load tool.
var (
	Violated = logger.Define(8400, "LoadViolated", log.ErrorLevel,
		"An answer broke what must always hold.", "Keep the result and explain the program with wigeonctl.")
)
