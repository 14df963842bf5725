package driver

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// The log events of the load tool.
var (
	Violated = logger.Define(8400, "LoadViolated", log.ErrorLevel,
		"An answer broke what must always hold.", "Keep the result and explain the program with wigeonctl.")
	AnswerCut = logger.Define(8401, "LoadAnswerCut", log.WarnLevel,
		"No whole answer to a request has arrived.", "Compare the time with the instances' logs.")
)
