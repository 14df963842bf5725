package soaker

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

const (
	// recoveryTime is the users' bound recovery_s: how long after the return of the instances
	// service may take to return.
	recoveryTime = 15 * time.Second
	// recoveredTime is the time after it for which service is looked at, and recoveredShare the
	// share of the requests within the quota that are served then at least.
	recoveredTime  = 4 * time.Second
	recoveredShare = 0.25
	// askGap is the time between the turns of callers that keep to the quota, and greedyGap that
	// between the requests of those that don't.
	askGap    = 600 * time.Millisecond
	greedyGap = 20 * time.Millisecond
)

// runThroughLosses plays one chain of retained turns with a call after each, or, for the last
// account, calls beyond the quota.
func (c *caller) runThroughLosses(ctx context.Context) {
	lookup := standin.Call{Path: standin.PathLookup + "x"}
	for c.account() == lossAccounts-1 && ctx.Err() == nil {
		c.do(ctx, lookup)
		sleep(ctx, greedyGap)
	}
	previous := keptTurn{}
	for program := 0; ctx.Err() == nil; program++ {
		id, tokens := fmt.Sprintf("p-%d-%d", c.index, program), 0
		for tokens < callerBudget/3 && ctx.Err() == nil {
			_, kept := c.turn(ctx, id, true, previous, &tokens)
			c.do(ctx, lookup)
			sleep(ctx, askGap)
			if kept.id == "" {
				break // The program is stopped, and another one goes on from the turn.
			}
			previous = kept
		}
		c.checkBudget(id, tokens)
	}
}

// checkReturns checks that the service of accounts with a quota, and of retained turns, returned in time
// after each outage that was not followed by another one earlier.
func (s *soak) checkReturns(callers []*caller) {
	for i, o := range s.outages {
		until := time.Now()
		if i+1 < len(s.outages) {
			until = s.outages[i+1].began
		}
		if until.Before(o.back.Add(recoveryTime)) {
			continue
		}
		calls := make([][]sentCall, s.accounts.count())
		for _, c := range callers {
			sent := callsWithin(c.sent, o.back, until)
			calls[c.account()] = append(calls[c.account()], sent...)
			c.checkChain(o, sent)
		}
		for account, sent := range calls {
			s.checkServed(o, account, sent)
			if !until.Before(o.back.Add(recoveryTime + recoveredTime)) {
				s.checkRecovered(o, account, sent)
			}
		}
	}
}

// callsWithin returns the calls that began and ended between the times.
func callsWithin(calls []sentCall, from, until time.Time) []sentCall {
	return slices.DeleteFunc(slices.Clone(calls), func(sent sentCall) bool { return sent.began.Before(from) || sent.ended.After(until) })
}

func isServed(sent sentCall) bool { return sent.reply.Status == http.StatusOK && sent.reply.IsComplete }

// checkServed checks that the account was served by recoveryTime after the outage.
func (s *soak) checkServed(o outage, account int, sent []sentCall) {
	if len(sent) == 0 {
		return
	}
	s.count(s.report.Checks, "return")
	var first time.Time
	answers := map[int]int{}
	for _, call := range sent {
		switch {
		case isServed(call) && (first.IsZero() || call.ended.Before(first)):
			first = call.ended
		case !isServed(call) && call.ended.Before(o.back.Add(recoveryTime)):
			answers[call.reply.Status]++
		}
	}
	if first.IsZero() || first.Sub(o.back) > recoveryTime {
		served := "never"
		if !first.IsZero() {
			served = fmt.Sprint("after ", first.Sub(o.back).Round(time.Millisecond))
		}
		s.violate("RECOVER: %s was served %s after the return at %s, within %v is due; answers by then: %v",
			accountName(account), served, o.back.UTC().Format(timeFormat), recoveryTime, answers)
	}
}

// checkRecovered checks that the account is served when recoveryTime is over.
func (s *soak) checkRecovered(o outage, account int, sent []sentCall) {
	served := 0
	late := callsWithin(sent, o.back.Add(recoveryTime), o.back.Add(recoveryTime+recoveredTime))
	for _, call := range late {
		if isServed(call) {
			served++
		}
	}
	s.count(s.report.Checks, "service after the return")
	if within := min(float64(len(late)), quotaRate*recoveredTime.Seconds()); float64(served) < recoveredShare*within {
		s.violate("RECOVER: %s was served %d of %d times in %v from %v after the return at %s",
			accountName(account), served, len(late), recoveredTime, recoveryTime, o.back.UTC().Format(timeFormat))
	}
}

// checkChain checks that the first turn of the chain that is asked for after the outage reaches an endpoint
// by recoveryTime, in the calls after it.
func (c *caller) checkChain(o outage, sent []sentCall) {
	var tries []sentCall
	for _, call := range sent {
		isSame := len(tries) == 0 || call.call.Previous == tries[0].call.Previous
		if call.call.Previous != "" && isSame && call.began.Before(o.back.Add(recoveryTime)) {
			tries = append(tries, call)
		}
	}
	if len(tries) == 0 {
		return
	}
	c.count(c.report.Checks, "chain after the return")
	hasRun := slices.ContainsFunc(tries, func(try sentCall) bool {
		return slices.ContainsFunc(c.runs(try.call.ID), func(run standin.Run) bool { return run.Began.Before(o.back.Add(recoveryTime)) })
	})
	if !hasRun {
		c.violate("LOST: turn %s goes on at no endpoint within %v after the return at %s, in %d tries; the last: %s",
			tries[0].call.Previous, recoveryTime, o.back.UTC().Format(timeFormat), len(tries), c.describe(tries[len(tries)-1]))
	}
}
