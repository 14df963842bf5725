package relayer

import (
	"context"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/allotter"
	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/matcher"
)

const (
	// quotaWaitDivisor limits the wait of a request of a program under way for a permit to a
	// part of the time until its deadline, and maxQuotaWait limits it in any case. Callers
	// abort a stream that has no data for 2 s.
	quotaWaitDivisor = 4
	maxQuotaWait     = time.Second
	// returnDivisor is the part of its time left for which a caller honours a Retry-After.
	returnDivisor = 3
)

// Quotas gives permits for the requests of accounts with a quota.
type Quotas interface {
	Permit(ctx context.Context, in allotter.Request) (allotter.Decision, error)
}

// permission is the outcome of a request for a permit.
type permission struct {
	allotter.Decision
	err error
}

// hasQuota reports whether the request needs a permit.
func (x *exchange) hasQuota() bool {
	return x.Quotas != nil && x.account != nil && x.account.Rate > 0
}

// isUnderWay reports whether the request states by itself that its program has started: it
// continues a turn, or is a call of a tool.
func (x *exchange) isUnderWay() bool {
	return x.call.Program != "" && (x.call.PreviousTurn != "" || x.route.Kind != matcher.Stream)
}

// askPermit asks for a permit if the request needs one.
func (x *exchange) askPermit(isUnderWay bool) permission {
	if !x.hasQuota() {
		return permission{Decision: allotter.Decision{Result: allotter.Granted}}
	}
	d, err := x.Quotas.Permit(x.ctx, allotter.Request{
		Account: x.account.Name, Version: x.table.Version, Rate: x.account.Rate, Burst: x.account.Burst,
		Program: x.call.Program, Route: x.route.Name, ID: x.call.ID, IsUnderWay: isUnderWay,
		MaxWait: x.limitWait(min(x.timeLeft()/quotaWaitDivisor, maxQuotaWait)),
	})
	return permission{d, err}
}

// startAskingPermit asks for a permit beside the other preparations of a turn.
func (x *exchange) startAskingPermit() <-chan permission {
	out := make(chan permission, 1)
	if !x.hasQuota() {
		out <- x.askPermit(false)
		return out
	}
	go func() { out <- x.askPermit(x.isUnderWay()) }()
	return out
}

// allows reports whether the permit was granted; if not, the request has been refused. It did
// not run.
func (x *exchange) allows(p permission) bool {
	switch {
	case p.Result == allotter.Granted && p.err == nil:
		return true
	case x.isCallerDisconnected():
		x.abort("Canceled", p.err)
	case p.err != nil && x.isAnswerTimeOver():
		x.refuseStopping()
	case p.err != nil:
		x.refuse(answerer.Wrap(answerer.DeadlineNotRun, p.err, "no permit before the deadline"), "Deadline")
	case p.Result == allotter.Unreachable:
		x.refuse(answerer.New(answerer.QuotaUnknown, "the instances that keep the account's quota do not answer").WithRetryAfter(x.returnTime(p.Wait)), "QuotaUnknown")
	default:
		x.refuse(answerer.New(answerer.QuotaReached, "the account has used up its quota of requests").WithRetryAfter(x.returnTime(p.Wait)), string(p.Result))
	}
	return false
}

// returnTime returns the time after which the caller is to come back. Callers who can't wait as
// long come back at different times within their limits.
func (x *exchange) returnTime(wait time.Duration) time.Duration {
	limit := x.timeLeft() / returnDivisor
	if wait > limit {
		wait = limit/2 + time.Duration(randomFraction()*float64(limit/2))
	}
	return max(wait, time.Millisecond)
}
