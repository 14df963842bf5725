package soaker

import (
	"context"
	"math/rand/v2"
	"time"
)

// The limits of endpoints: from limitSettle after an endpoint stated its limit, it gets at
// most limitFactor times what that allows in limitWindow, and limitSlack more.
const (
	limitRate   = 5.0
	limitSettle = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// injectLimits lets some endpoints state a limit until ctx ends, and checks what they got.
func (s *soak) injectLimits(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.Seed, 3))
	var limited []*endpoint
	for _, e := range s.allEndpoints() {
		if random.IntN(2) == 0 {
			e.SetLimit(limitRate)
			limited = append(limited, e)
		}
	}
	settled := time.Now().Add(limitSettle)
	<-ctx.Done()
	allowed := int(limitFactor*limitRate*limitWindow.Seconds()) + limitSlack
	for _, e := range limited {
		e.SetLimit(0)
		s.count(s.report.Checks, "limit")
		if n := e.MostArrivals(settled, limitWindow); n > allowed {
			s.violate("LIMIT: %s with a limit of %g a second got %d requests in %v, allowed %d", e.ID, limitRate, n, limitWindow, allowed)
		}
	}
}
