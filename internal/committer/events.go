package committer

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var eventCommitDelayed = logger.Define(3200, "CommitDelayed", log.WarnLevel,
	"a batch could not be committed and is tried again",
	"Check the platform's store; answers wait for it.")
