package leaser

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var (
	eventFenced = logger.Define(3100, "LeaseFenced", log.ErrorLevel,
		"another generation holds this instance's lease",
		"The process stops serving. Check why it could not renew the lease in time.")
	eventLeaseTaken = logger.Define(3101, "LeaseTaken", log.WarnLevel,
		"the expired lease of an instance was fenced",
		"Check the instance named; its shards move to other instances.")
)
