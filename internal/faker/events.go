package faker

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// The log events of serving a stand-in.
var (
	Serving = logger.Define(8300, "FakeServing", log.InfoLevel,
		"The stand-in serves.", "None.")
	Stopped = logger.Define(8301, "FakeStopped", log.InfoLevel,
		"The stand-in has stopped.", "None.")
	CutOff = logger.Define(8302, "FakeCutOff", log.WarnLevel,
		"Requests in flight were cut because the grace was over.", "Raise --grace if they were meant to finish.")
)
