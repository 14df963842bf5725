package soaker

import (
	"slices"
	"time"
)

// The quota of each account in a day of losses, over all instances: in each window at most what
// quotaRate allows, quotaOverage of it and quotaTolerance more.
const (
	quotaRate      = 10.0
	quotaWindow    = 5 * time.Second
	quotaOverage   = 0.1
	quotaTolerance = 5
)

// checkQuotas checks that no account had more requests in a window than its quota allows, over all
// instances. A request counts from when its caller sent it to when an endpoint read it first.
func (s *soak) checkQuotas(callers []*caller) {
	if s.accounts.rate == 0 {
		return
	}
	type span struct{ began, arrived time.Time }
	spans := make([][]span, s.accounts.count())
	arrivals := s.arrivals()
	for _, c := range callers {
		for _, sent := range c.sent {
			if all := arrivals[sent.call.ID]; len(all) > 0 {
				spans[c.account()] = append(spans[c.account()], span{sent.began, all[0].At})
			}
		}
	}
	allowed := s.accounts.rate*quotaWindow.Seconds()*(1+quotaOverage) + quotaTolerance
	for account, of := range spans {
		slices.SortFunc(of, func(a, b span) int { return a.began.Compare(b.began) })
		most, at := 0, time.Time{}
		for i, first := range of {
			n := 0
			for _, other := range of[i:] {
				if other.arrived.Sub(first.began) <= quotaWindow {
					n++
				}
			}
			if n > most {
				most, at = n, first.began
			}
		}
		s.count(s.report.Checks, "quota")
		s.log("%s had at most %d requests in %v, allowed %.0f", accountName(account), most, quotaWindow, allowed)
		if float64(most) > allowed {
			s.violate("QUOTA: %s had %d requests in %v from %s, allowed %.0f", accountName(account), most, quotaWindow, at.UTC().Format(timeFormat), allowed)
		}
	}
}
