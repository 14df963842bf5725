package faker

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// The log events of Server.
var (
	Serving = logger.Define(8300, "FakeServing", log.InfoLevel,
		"The fake has started serving.", "None.")
	Stopped = logger.Define(8301, "FakeStopped", log.InfoLevel,
		"The fake has stopped serving.", "None.")
	CutOff = logger.Define(8302, "FakeCutOff", log.WarnLevel,
		"Requests in flight were aborted because the grace period expired.", "Raise --grace if they were expected to finish.")
)
