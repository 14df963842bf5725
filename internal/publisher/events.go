package publisher

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// Log events of this package.
var (
	EventInForce = logger.Define(2000, "DocumentInForce", log.InfoLevel,
		"document version activated",
		"None.")
	EventUnreadable = logger.Define(2001, "DocumentUnreadable", log.WarnLevel,
		"reading the document from the store failed",
		"Check the platform's store. The instance keeps its current version.")
	EventStaleRead = logger.Define(2002, "DocumentOlder", log.WarnLevel,
		"store returned an older document version; it is not applied",
		"Check the platform's store for stale reads. The instance keeps the newer version.")
	EventUncompilable = logger.Define(2003, "DocumentUncompilable", log.ErrorLevel,
		"accepted document version does not compile with this release",
		"Upgrade the instance to the release that accepted the document, or roll the document back.")
	EventPeerFailed = logger.Define(2004, "DocumentPeerFailed", log.WarnLevel,
		"fetching the document from another instance failed",
		"Check the connection between the two instances.")
)
