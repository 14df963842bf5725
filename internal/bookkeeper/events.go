package bookkeeper

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var (
	eventReclaimed = logger.Define(5040, "GrantReclaimed", log.InfoLevel,
		"other bookkeepers were asked for tokens of a program's budget", "None; it happens when a program moves between data centres.")
	eventAdopted = logger.Define(5041, "BooksAdopted", log.InfoLevel,
		"books of a bookkeeper that retires were taken over", "None.")
	eventNotGrown = logger.Define(5042, "GrantNotWritten", log.WarnLevel,
		"a program's row could not be written; its turns are refused", "Look at the store's way (event 5024).")
	eventExpired = logger.Define(5043, "TurnsExpired", log.WarnLevel,
		"turns never ended and count at their most", "Look at the instance that served them.")
)
