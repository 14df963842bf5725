package bookkeeper

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var (
	eventGrantReclaimed = logger.Define(5040, "GrantReclaimed", log.InfoLevel,
		"other bookkeepers were asked to release unused tokens of a program's budget", "None; expected when a program moves between data centres.")
	eventBooksAdopted = logger.Define(5041, "BooksAdopted", log.InfoLevel,
		"ledgers of a retiring bookkeeper were taken over", "None.")
	eventGrantNotWritten = logger.Define(5042, "GrantNotWritten", log.WarnLevel,
		"a program's row could not be written; its turns are refused", "Check how the store is reached (event 5024).")
	eventTurnsExpired = logger.Define(5043, "TurnsExpired", log.WarnLevel,
		"turns were never closed and count as fully used", "Check the instance that served them.")
)
