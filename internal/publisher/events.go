package publisher

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// The events of this package.
var (
	EventInForce = logger.Define(2000, "DocumentInForce", log.InfoLevel,
		"document version in force",
		"Nothing to do.")
	EventUnreadable = logger.Define(2001, "DocumentUnreadable", log.WarnLevel,
		"document cannot be read from the store",
		"Check the platform's store. The instance serves the version that it has.")
	EventStaleRead = logger.Define(2002, "DocumentOlder", log.WarnLevel,
		"the store answered with an older document version, which is not applied",
		"Check the platform's store for stale reads. The instance serves the newer version.")
	EventUncompilable = logger.Define(2003, "DocumentUncompilable", log.ErrorLevel,
		"accepted document version cannot be compiled by this release",
		"Bring the instance to the release that accepted the document, or roll the document back.")
	EventPeerFailed = logger.Define(2004, "DocumentPeerFailed", log.WarnLevel,
		"document version cannot be fetched from another instance",
		"Check the connection between the two instances.")
)
