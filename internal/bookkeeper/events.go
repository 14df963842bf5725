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
	eventRightTaken = logger.Define(5044, "RightTaken", log.InfoLevel,
		"the right to open the programs of a slot without a row was taken", "None.")
	eventRightMalformed = logger.Define(5045, "RightMalformed", log.ErrorLevel,
		"the row of a right is malformed or of a later version; it grants nothing", "Find the writer of the row. A later version is expected during an upgrade.")
	eventOpeningsRecorded = logger.Define(5046, "OpeningsRecorded", log.InfoLevel,
		"programs that were opened without a row were charged what they used", "None.")
	eventDeductionBegan = logger.Define(5047, "DeductionBegan", log.WarnLevel,
		"neither the former holder of a right nor its witnesses answered; programs that the holder may have opened don't get the withheld part of their budgets for a day", "None, if instances were lost; see docs/operators/incidents-entry.md.")
	eventFormerUnused = logger.Define(5049, "FormerOpenedNothing", log.InfoLevel,
		"neither the former holder of a right nor its witnesses answered; by its last renewal it had opened nothing", "None.")
	eventRightReleased = logger.Define(5048, "RightReleased", log.InfoLevel,
		"a right was given up in a planned stop; its successor need not ask for openings", "None.")
)
