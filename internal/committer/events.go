package committer

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var eventCommitDelayed = logger.Define(3200, "CommitDelayed", log.WarnLevel,
	"commit of a journal batch failed; it is retried",
	"Check the platform's store; responses are held back until the batch is durable.")
