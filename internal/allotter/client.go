package allotter

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// callTimeout limits the call to an issuer. Instances are a few milliseconds apart; a
	// busy one may get its processor only every 100 ms.
	callTimeout = 120 * time.Millisecond
	// hedgeDelay is how long a request waits for the first issuer before it asks the second
	// one, too.
	hedgeDelay = 30 * time.Millisecond
	// unreachableTimeout is how long an issuer that did not answer is asked last.
	unreachableTimeout = time.Second
	// rankingMaxAge is how long the issuers of an account are kept.
	rankingMaxAge = 500 * time.Millisecond
	// maxIssuersAsked limits the issuers that are asked for one request: those in this
	// instance's list and those to which they refer.
	maxIssuersAsked = 4
	// quotaScale is the factor of quotas in messages.
	quotaScale = 1000
	// unreachableWait is the time to come back if no issuer answers.
	unreachableWait = 500 * time.Millisecond
)

// client asks issuers for permits.
type client struct {
	mu               sync.Mutex
	queues           map[netip.AddrPort]*queue
	unreachableUntil map[netip.AddrPort]time.Time
	rankings         map[string]ranking
}

// ranking is the issuers of an account that were in this instance's list at a time.
type ranking struct {
	at      time.Time
	issuers []netip.AddrPort
}

// queue is the requests for one issuer. While a call is under way, those that arrive wait for
// the next one.
type queue struct {
	isCalling bool
	waiting   []pending
}

// pending is a request with the function that takes its result.
type pending struct {
	item
	done func(result result, issuers []netip.AddrPort, isAnswered bool)
}

// answer is what one issuer responded.
type answer struct {
	result
	issuers    []netip.AddrPort
	isAnswered bool
}

// Permit gets a permit for a request. An account without a quota needs none. The error is that
// of ctx.
func (a *Allotter) Permit(ctx context.Context, in Request) (Decision, error) {
	if in.Rate <= 0 {
		return Decision{Result: Granted}, nil
	}
	d, err := a.ask(ctx, in)
	if err == nil {
		a.count(d.Result)
	}
	return d, err
}

func (a *Allotter) ask(ctx context.Context, in Request) (Decision, error) {
	i := item{
		Account: in.Account, Version: in.Version, Quota: int64((in.Rate*a.limits.Window.Seconds() + in.Burst) * quotaScale),
		Route: uint16(xxhash.Sum64String(in.Route)), IsUnderWay: in.IsUnderWay,
	}
	key := in.ID
	if key = in.ID; in.Program != "" {
		// Zero stands for no program.
		key, i.Program = in.Program, max(uint32(xxhash.Sum64String(in.Program)), 1)
	}
	targets := a.issuersOf(in.Account, xxhash.Sum64String(key)>>32)
	answers := make(chan answer, maxIssuersAsked)
	asked, running := 0, 0
	next := func() {
		if asked < min(len(targets), maxIssuersAsked) {
			a.send(ctx, targets[asked], i, answers)
			asked++
			running++
		}
	}
	next()
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	out := Decision{Result: Unreachable, Wait: unreachableWait}
	for running > 0 {
		select {
		case <-ctx.Done():
			return Decision{}, ctx.Err()
		case <-hedge.C:
			next()
		case got := <-answers:
			running--
			wait := time.Duration(got.Wait) * time.Millisecond
			switch {
			case !got.isAnswered:
			case got.Code == granted:
				return Decision{Result: Granted}, nil
			case got.Code == notIssuer:
				for _, address := range got.issuers {
					if !slices.Contains(targets, address) {
						targets = append(targets, address)
					}
				}
			default:
				result := ProgramRefused
				if got.Code == windowFull {
					result = WindowFull
				}
				if out.Result == Unreachable || wait < out.Wait {
					out = Decision{Result: result, Wait: wait}
				}
			}
			next()
		}
	}
	return out, nil
}

// issuersOf returns the issuers of the account in the order in which to ask them. The hash of
// the program spreads programs over them; those that did not answer come last.
func (a *Allotter) issuersOf(account string, hash uint64) []netip.AddrPort {
	now := time.Now()
	a.client.mu.Lock()
	r, ok := a.client.rankings[account]
	a.client.mu.Unlock()
	if !ok || now.Sub(r.at) > rankingMaxAge {
		r = ranking{at: now}
		for _, m := range a.members.Ranking(account, issuersPerAccount) {
			r.issuers = append(r.issuers, m.Address)
		}
	}
	a.client.mu.Lock()
	defer a.client.mu.Unlock()
	if !ok && len(a.client.rankings) > maxRankings {
		clear(a.client.rankings)
	}
	a.client.rankings[account] = r
	ordered := make([]netip.AddrPort, 0, maxIssuersAsked)
	var last []netip.AddrPort
	for k := range r.issuers {
		address := r.issuers[(uint64(k)+hash)%uint64(len(r.issuers))]
		if now.Before(a.client.unreachableUntil[address]) {
			last = append(last, address)
			continue
		}
		ordered = append(ordered, address)
	}
	return append(ordered, last...)
}

// maxRankings limits the rankings that are kept.
const maxRankings = 2000

// send asks one issuer. The result arrives on answers.
func (a *Allotter) send(ctx context.Context, address netip.AddrPort, i item, answers chan<- answer) {
	if address == a.members.Self().Address {
		out := a.issue(issueRequest{Items: []item{i}})
		answers <- answer{result: out.Results[0], issuers: out.Issuers, isAnswered: true}
		return
	}
	p := pending{item: i, done: func(r result, issuers []netip.AddrPort, isAnswered bool) {
		answers <- answer{result: r, issuers: issuers, isAnswered: isAnswered}
	}}
	a.client.mu.Lock()
	defer a.client.mu.Unlock()
	q := a.client.queues[address]
	if q == nil {
		q = &queue{}
		a.client.queues[address] = q
	}
	q.waiting = append(q.waiting, p)
	if !q.isCalling {
		q.isCalling = true
		// The call serves requests of several callers and outlives each of them.
		go a.call(context.WithoutCancel(ctx), address, q)
	}
}

// call calls the issuer until no request waits for it.
func (a *Allotter) call(ctx context.Context, address netip.AddrPort, q *queue) {
	for {
		a.client.mu.Lock()
		if len(q.waiting) == 0 {
			q.isCalling = false
			delete(a.client.queues, address)
			a.client.mu.Unlock()
			return
		}
		batch := q.waiting[:min(len(q.waiting), maxItems)]
		q.waiting = q.waiting[len(batch):]
		a.client.mu.Unlock()
		in := issueRequest{}
		for _, p := range batch {
			in.Items = append(in.Items, p.item)
		}
		var out issueResponse
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := a.caller.Call(callCtx, address, methodIssue, in, &out)
		cancel()
		isAnswered := err == nil && len(out.Results) == len(batch)
		a.recordReachable(address, isAnswered, err)
		for k, p := range batch {
			if isAnswered {
				p.done(out.Results[k], out.Issuers, true)
			} else {
				p.done(result{}, nil, false)
			}
		}
	}
}

// recordReachable records whether the issuer answered.
func (a *Allotter) recordReachable(address netip.AddrPort, isAnswered bool, err error) {
	now := time.Now()
	a.client.mu.Lock()
	until, wasUnreachable := a.client.unreachableUntil[address]
	if isAnswered {
		delete(a.client.unreachableUntil, address)
	} else {
		a.client.unreachableUntil[address] = now.Add(unreachableTimeout)
	}
	a.client.mu.Unlock()
	// An issuer that stays unreachable is logged once.
	if !isAnswered && (!wasUnreachable || now.Sub(until) > unreachableTimeout) {
		a.log.Log(eventIssuerUnreachable, "Issuer", address, "Cause", err)
	}
}
