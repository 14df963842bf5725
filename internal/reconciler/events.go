package reconciler

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var (
	ordered = logger.Define(4300, "OrderSent", log.InfoLevel,
		"an engine carried out an order",
		"None.")
	inLine = logger.Define(4301, "EngineInLine", log.InfoLevel,
		"an engine serves what the document asks for",
		"None.")
	notInLine = logger.Define(4302, "EngineNotInLine", log.WarnLevel,
		"an engine does not serve what the document asks for yet",
		"Look at the cause if it stays; the engine is looked at again at the next interval.")
	fenced = logger.Define(4303, "EngineFenced", log.WarnLevel,
		"an engine was ordered under a higher fencing number",
		"None; another instance orders the engine now.")
)
