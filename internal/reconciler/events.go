package reconciler

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var (
	orderSent = logger.Define(4300, "OrderSent", log.InfoLevel,
		"an engine carried out an order",
		"None.")
	engineInLine = logger.Define(4301, "EngineInLine", log.InfoLevel,
		"an engine is in the state that the document specifies",
		"None.")
	engineNotInLine = logger.Define(4302, "EngineNotInLine", log.WarnLevel,
		"an engine is not yet in the state that the document specifies",
		"Check the cause if the event repeats; the engine is reconciled again after the interval.")
	engineFenced = logger.Define(4303, "EngineFenced", log.WarnLevel,
		"an engine has received an order with a higher fencing number",
		"None; another instance holds the engine now.")
)
