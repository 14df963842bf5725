package allotter

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
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
	// maxRankings limits the rankings, and maxAdmitted the programs, that are kept.
	maxRankings = 2000
	maxAdmitted = 4096
	// maxIssuersAsked limits the instances that are asked for one request: those in this
	// instance's table and those to which they refer.
	maxIssuersAsked = 6
	// waitSpread is the interval over which waiting requests ask again.
	waitSpread = 50 * time.Millisecond
	// unreachableWait is the time to come back if no issuer answers.
	unreachableWait = 500 * time.Millisecond
)

// client asks issuers for permits.
type client struct {
	mu               sync.Mutex
	queues           map[netip.AddrPort]*queue
	unreachableUntil map[netip.AddrPort]time.Time
	rankings         map[string]ranking
	// admitted holds the issuers that last permitted requests of programs. Their further
	// requests go there, so that no other issuer takes them for new programs.
	admitted *simplelru.LRU[programKey, netip.AddrPort]
	// failures are the issuers whose last calls failed.
	failures map[netip.AddrPort]failure
}

// failure is the interval in which all calls to an issuer failed.
type failure struct{ since, last time.Time }

// programKey identifies a program of an account.
type programKey struct {
	account string
	program uint32
}

func newClient() client {
	// NewLRU fails only for a size of zero.
	admitted, _ := simplelru.NewLRU[programKey, netip.AddrPort](maxAdmitted, nil)
	return client{
		queues: map[netip.AddrPort]*queue{}, unreachableUntil: map[netip.AddrPort]time.Time{}, rankings: map[string]ranking{}, admitted: admitted,
		failures: map[netip.AddrPort]failure{},
	}
}

// ranking is the candidates of an account in this instance's table at a time.
type ranking struct {
	candidates
	at time.Time
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
	from       netip.AddrPort
	issuers    []netip.AddrPort
	isAnswered bool
}

// Permit gets a permit for a request. An account without a quota needs none. A new program is
// refused at once; a request of a program under way waits for up to MaxWait. The error is that
// of ctx.
func (a *Allotter) Permit(ctx context.Context, in Request) (Decision, error) {
	if in.Rate <= 0 {
		return Decision{Result: Granted}, nil
	}
	start := time.Now()
	for {
		d, err := a.ask(ctx, in)
		if err != nil {
			return d, err
		}
		// The requests that wait for one account ask again at different times.
		pause := d.Wait + time.Duration(randomFraction()*float64(waitSpread))
		if d.Result != WindowFull || time.Since(start)+pause > in.MaxWait {
			a.count(d.Result)
			return d, nil
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return d, ctx.Err()
		case <-timer.C:
		}
	}
}

func (a *Allotter) ask(ctx context.Context, in Request) (Decision, error) {
	i := item{
		Account: in.Account, Version: in.Version, Quota: int64((in.Rate*a.limits.Window.Seconds() + in.Burst) * quotaScale),
		Route: max(uint16(xxhash.Sum64String(in.Route)), 1),
	}
	key := in.ID
	if in.Program != "" {
		// Zero stands for no program.
		key, i.Program = in.Program, max(uint32(xxhash.Sum64String(in.Program)), 1)
	}
	program := programKey{account: in.Account, program: i.Program}
	targets, spares, isAdmitted := a.issuersOf(program, xxhash.Sum64String(key)>>32)
	if in.Program != "" && (in.IsUnderWay || isAdmitted) {
		i.Route = 0
	}
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
			switch {
			case !got.isAnswered:
			case got.code() == granted:
				if i.Program != 0 {
					a.client.mu.Lock()
					a.client.admitted.Add(program, got.from)
					a.client.mu.Unlock()
				}
				return Decision{Result: Granted}, nil
			case got.code() == notIssuer:
				for _, address := range got.issuers {
					if !slices.Contains(targets, address) {
						targets = append(targets, address)
					}
				}
			default:
				result := ProgramRefused
				if got.code() == windowFull {
					result = WindowFull
				}
				if out.Result == Unreachable || got.wait() < out.Wait {
					out = Decision{Result: result, Wait: got.wait()}
				}
			}
			next()
			// The others are asked so that it is known which of them answer, before they stand in.
			if running == 0 && out.Result == Unreachable {
				targets, spares = append(targets, spares...), nil
				next()
			}
		}
	}
	return out, nil
}

// issuersOf returns the issuers of the account in the order in which to ask them: first the one
// that admitted the program, if it was asked at this instance. Otherwise the hash of the program
// spreads programs over the issuers. Those that did not answer come last.
func (a *Allotter) issuersOf(program programKey, hash uint64) (ordered, spares []netip.AddrPort, isAdmitted bool) {
	now := time.Now()
	a.client.mu.Lock()
	r, ok := a.client.rankings[program.account]
	a.client.mu.Unlock()
	if !ok || now.Sub(r.at) > rankingMaxAge {
		r = ranking{at: now}
		r.candidates = a.candidates(program.account)
	}
	a.client.mu.Lock()
	defer a.client.mu.Unlock()
	if !ok && len(a.client.rankings) >= maxRankings {
		clear(a.client.rankings)
	}
	a.client.rankings[program.account] = r
	first, isAdmitted := a.client.admitted.Get(program)
	rank := func(k int) int {
		switch address := r.issuers[k]; {
		case now.Before(a.client.unreachableUntil[address]):
			return len(r.issuers)
		case isAdmitted && address == first:
			return -1
		case k < r.uncontested:
			return (k + int(hash%uint64(r.uncontested))) % r.uncontested
		default:
			return k
		}
	}
	order := make([]int, len(r.issuers), maxIssuersAsked)
	for k := range order {
		order[k] = k
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(rank(a), rank(b)) })
	for _, k := range order {
		ordered = append(ordered, r.issuers[k])
	}
	return ordered, r.spares, isAdmitted
}

// send asks one issuer. The result arrives on answers.
func (a *Allotter) send(ctx context.Context, address netip.AddrPort, i item, answers chan<- answer) {
	if address == a.members.Self().Address {
		out := a.issue(issueRequest{i})
		answers <- answer{result: out.Results[0], from: address, issuers: out.Issuers, isAnswered: true}
		return
	}
	p := pending{item: i, done: func(r result, issuers []netip.AddrPort, isAnswered bool) {
		answers <- answer{result: r, from: address, issuers: issuers, isAnswered: isAnswered}
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
		in := make(issueRequest, 0, len(batch))
		for _, p := range batch {
			in = append(in, p.item)
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
				p.done(0, nil, false)
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
		delete(a.client.failures, address)
	} else {
		a.client.unreachableUntil[address] = now.Add(unreachableTimeout)
		f := a.client.failures[address]
		if f.last = now; f.since.IsZero() {
			f.since = now
		}
		a.client.failures[address] = f
	}
	a.client.mu.Unlock()
	// An issuer that stays unreachable is logged once.
	if !isAnswered && (!wasUnreachable || now.Sub(until) > unreachableTimeout) {
		a.log.Log(eventIssuerUnreachable, "Issuer", address, "Cause", err)
	}
}
