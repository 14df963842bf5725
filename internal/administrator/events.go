package administrator

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// The events of this package.
var (
	EventEditAccepted = logger.Define(2100, "EditAccepted", log.InfoLevel,
		"an operator's edit of the document was accepted",
		"Nothing to do.")
	EventRequestRefused = logger.Define(2101, "OperatorRefused", log.WarnLevel,
		"an operator's request was refused",
		"Look at the kind of the error; the operator received the same error.")
	EventDrainOrdered = logger.Define(2102, "DrainOrdered", log.InfoLevel,
		"an operator started a planned stop of an instance",
		"Nothing to do.")
	EventProgramEnded = logger.Define(2103, "ProgramEndedByOperator", log.InfoLevel,
		"an operator ended a program",
		"Nothing to do.")
	EventOutcomeResolved = logger.Define(2104, "OutcomeResolved", log.InfoLevel,
		"an operator resolved an unknown outcome",
		"Nothing to do.")
)
