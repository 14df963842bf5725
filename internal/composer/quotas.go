package composer

import (
	"context"

	"github.com/wigeonstand/wigeonstand/internal/allotter"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
)

// newQuotas returns what keeps the quotas of accounts; nil if the deployment has none.
func (e *Entry) newQuotas(m *metrics) *allotter.Allotter {
	e.runQuotas = func(context.Context) {}
	if e.settings.QuotaWindow <= 0 {
		observeQuotas(e.meter, nil)
		return nil
	}
	quotas := allotter.New(e.discoverer, messenger.CompactClient{Client: e.peerClient},
		allotter.Limits{Window: e.settings.QuotaWindow, Overage: e.settings.QuotaOverage, Tolerance: e.settings.QuotaTolerance},
		allotter.WithLogger(e.log), allotter.WithCounter(m.countQuotaRequest))
	observeQuotas(e.meter, quotas.Usage)
	return quotas
}
