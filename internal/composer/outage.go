package composer

import (
	"math"

	"github.com/wigeonstand/wigeonstand/internal/bookkeeper"
	"github.com/wigeonstand/wigeonstand/internal/configurer"
	"github.com/wigeonstand/wigeonstand/internal/rerouter"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// outageShare returns the part of a program's budget that can be used while the store is
// unavailable, in thousandths.
func outageShare(settings *configurer.EntrySettings) int64 {
	return int64(math.Round(settings.Budgets.OutageShare * 1000))
}

// readClock returns the last reading of the store's clock, if its responses have any.
func readClock(rows storer.Rows) func() (storer.Reading, bool) {
	if clock, ok := rows.(storer.Clock); ok {
		return clock.LastReading
	}
	return func() (storer.Reading, bool) { return storer.Reading{}, false }
}

// outageBudgets returns the option by which programs are opened while the store is
// unavailable, if the settings enable it.
func (e *Entry) outageBudgets(m *metrics, clock func() (storer.Reading, bool)) []bookkeeper.Option {
	share := outageShare(e.settings)
	if share == 0 {
		return nil
	}
	return []bookkeeper.Option{bookkeeper.WithOutageBudgets(bookkeeper.OutageBudgets{
		Share: share, Rows: e.rerouter, Members: e.discoverer, Caller: e.peerClient,
		IsStoreAway: func() bool { path, _ := e.rerouter.Path(); return path == rerouter.Lost },
		Clock:       clock, ReturnTime: e.longestRetention,
		CountOpened: func() { m.openedWithoutRow.WithLabelValues().Inc() },
		SetHeld: func(rights, deductions int) {
			m.rightsHeld.Store(int64(rights))
			m.deductions.Store(int64(deductions))
		},
	})}
}
