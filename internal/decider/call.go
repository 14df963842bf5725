package decider

import (
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/recorder"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// invocation is one call in flight to a plain service.
type invocation struct {
	business string
	command  requester.Call
	service  *compiler.Service
	// once is true for a call that may not be repeated; it has a durable record.
	once    bool
	shard   int
	waiters []*request
	// sent is true while an attempt is in flight.
	sent     bool
	endpoint string
	avoid    string
	tries    int
	// reached is true once an attempt may have reached an endpoint.
	reached bool
}

func (i *invocation) leave(r *request) {
	for n := range i.waiters {
		if i.waiters[n] == r {
			i.waiters = append(i.waiters[:n:n], i.waiters[n+1:]...)
			return
		}
	}
}

// latest returns when the last of the waiters gives up.
func (i *invocation) latest() time.Time {
	var latest time.Time
	for _, r := range i.waiters {
		if r.deadline.After(latest) {
			latest = r.deadline
		}
	}
	return latest
}

func (c *Core) invoke(r *request, command *requester.Call) {
	service := c.version.Services[command.Service]
	if service == nil || (service.Business != "" && service.Business != r.business) {
		c.refuse(r, answerer.New(answerer.NotFound, "service %q is not known", command.Service))
		return
	}
	c.retrier.Earn(time.Now(), r.business, c.retryShare(r.business))
	i := &invocation{business: r.business, command: *command, service: service, once: !service.Repeatable}
	if !i.once {
		i.wait(r)
		c.dispatchCall(i)
		return
	}
	if command.Key == "" {
		c.refuse(r, answerer.New(answerer.BadRequest, "service %q may not be called twice, so the call needs a key", service.Name))
		return
	}
	i.shard = requester.ShardOf(requester.CallRoutingKey(r.business, command.Key))
	if known := c.callOf(r.business, command.Key); known != nil {
		c.invokeAgain(r, i, known)
		return
	}
	c.intend(r, i)
}

func (i *invocation) wait(r *request) {
	i.waiters = append(i.waiters, r)
	r.call = i
}

func (c *Core) callOf(business, key string) *call {
	id := requester.CallRoutingKey(business, key)
	s := c.shards[requester.ShardOf(id)]
	if s == nil {
		return nil
	}
	return s.state.calls[id]
}

func (i *invocation) digest() string {
	return recorder.Digest(i.command.Method, i.service.Name+" "+i.command.Path, i.command.Body)
}

// intend records that the call may be dispatched from now on, then dispatches it.
func (c *Core) intend(r *request, i *invocation) {
	if c.storeDown {
		c.refuse(r, answerer.New(answerer.StoreUnavailable, "a call that may not be repeated cannot be recorded"))
		return
	}
	if c.pickReplica(i) == nil {
		c.refuse(r, answerer.New(answerer.NoEndpoint, "no replica of service %q can take the call", i.service.Name))
		return
	}
	i.wait(r)
	c.append(i.shard, func() { c.intended(i) }, recorder.Record{Intended: &recorder.Intended{
		Business: i.business, Key: i.command.Key, Service: i.service.Name, Digest: i.digest(),
	}})
	c.callOf(i.business, i.command.Key).live = i
}

// intended goes on once the intent is durable; nobody's call is not dispatched.
func (c *Core) intended(i *invocation) {
	if len(i.waiters) == 0 {
		c.conclude(i, recorder.Concluded{State: recorder.Voided})
		return
	}
	c.dispatchCall(i)
}

// invokeAgain answers a call whose key was seen before.
func (c *Core) invokeAgain(r *request, i *invocation, known *call) {
	if known.intent.Digest != i.digest() {
		c.refuse(r, answerer.New(answerer.KeyReused, "the key was used for another call"))
		return
	}
	if known.live != nil {
		known.live.wait(r)
		return
	}
	if known.outcome.State == recorder.Unknown {
		c.invokeUnknown(r, i, known)
		return
	}
	c.whenDurable(i.shard, func() { c.replyCalled(r, known, true) })
}

// invokeUnknown goes on only where the service runs a key once.
func (c *Core) invokeUnknown(r *request, i *invocation, known *call) {
	if i.service.HonoursKey && !c.storeDown {
		known.live = i
		i.reached = true
		i.wait(r)
		c.dispatchCall(i)
		return
	}
	c.askStatus(known)
	c.refuse(r, answerer.New(answerer.OutcomeUnknown, "it is not known whether the call with this key took effect"))
}

func (c *Core) replyCalled(r *request, known *call, replayed bool) {
	o := known.outcome
	c.reply(r, requester.Reply{Called: &requester.Called{
		Key: o.Key, Status: o.Status, ContentType: o.ContentType, Body: o.Body, Replayed: replayed,
	}})
}

// pickReplica returns the usable replica with the fewest calls in flight.
func (c *Core) pickReplica(i *invocation) *endpoint {
	var best *endpoint
	for _, name := range sortedKeys(c.version.Endpoints) {
		described := c.version.Endpoints[name]
		if described.Service != i.service.Name || described.Leaving {
			continue
		}
		candidate := c.endpoint(name)
		if !candidate.view.Usable || (described.Slots > 0 && len(candidate.flights) >= described.Slots) {
			continue
		}
		if best == nil || candidate.load(i.avoid) < best.load(i.avoid) {
			best = candidate
		}
	}
	return best
}

func (c *Core) dispatchCall(i *invocation) {
	replica := c.pickReplica(i)
	if replica == nil {
		c.giveUpCall(i)
		return
	}
	i.sent = true
	i.endpoint = replica.name
	i.tries++
	attempt := c.next()
	c.calls[attempt] = i
	replica.flights[attempt] = time.Now()
	c.do(Invoke{
		Attempt: attempt, Endpoint: replica.name, Service: i.service.Name, Call: i.command,
		AtMostOnce: i.once, Deadline: i.latest(),
	})
}

func (c *Core) callLanded(attempt string) *invocation {
	i := c.calls[attempt]
	if i == nil {
		return nil
	}
	delete(c.calls, attempt)
	i.sent = false
	delete(c.endpoint(i.endpoint).flights, attempt)
	return i
}

func (c *Core) invoked(e InvokeCompleted) {
	i := c.callLanded(e.Attempt)
	if i == nil {
		return
	}
	i.reached = true
	if i.once {
		c.conclude(i, recorder.Concluded{State: recorder.Done, Status: e.Status, ContentType: e.ContentType, Body: e.Body})
		return
	}
	for _, r := range i.waiters {
		c.reply(r, requester.Reply{Called: &requester.Called{
			Key: i.command.Key, Status: e.Status, ContentType: e.ContentType, Body: e.Body,
		}})
	}
}

func (c *Core) invokeFailed(e InvokeFailed) {
	i := c.callLanded(e.Attempt)
	if i == nil {
		return
	}
	if !e.NotSent {
		i.reached = true
	}
	repeatable := !i.once || i.service.HonoursKey || e.NotSent
	if repeatable && len(i.waiters) > 0 && c.mayRetryCall(i) {
		c.do(CountRetry{Reason: retryReason(e.NotSent), Target: "Service"})
		i.avoid = i.endpoint
		c.dispatchCall(i)
		return
	}
	c.giveUpCall(i)
}

func retryReason(notSent bool) string {
	if notSent {
		return string(CauseNotSent)
	}
	return string(CauseFailed)
}

func (c *Core) mayRetryCall(i *invocation) bool {
	return i.tries < c.settings.maxAttempts && c.retrier.Spend(time.Now(), i.business)
}

// giveUpCall ends a call without an answer from the service.
func (c *Core) giveUpCall(i *invocation) {
	switch {
	case !i.once && i.reached:
		c.refuseCall(i, answerer.New(answerer.EndpointFailed, "%d attempts failed", i.tries))
	case !i.once:
		c.refuseCall(i, answerer.New(answerer.NoEndpoint, "no replica of service %q can take the call", i.service.Name))
	case i.reached:
		c.conclude(i, recorder.Concluded{State: recorder.Unknown})
	default:
		c.conclude(i, recorder.Concluded{State: recorder.Voided})
	}
}

func (c *Core) refuseCall(i *invocation, err *answerer.Error) {
	waiters := i.waiters
	i.waiters = nil
	for _, r := range waiters {
		c.refuse(r, err)
	}
}

// conclude records what became of the call and then tells the waiters.
func (c *Core) conclude(i *invocation, outcome recorder.Concluded) {
	outcome.Business = i.business
	outcome.Key = i.command.Key
	known := c.callOf(i.business, i.command.Key)
	if known == nil {
		return
	}
	known.live = nil
	c.append(i.shard, func() { c.concluded(i, known, outcome.State) }, recorder.Record{Concluded: &outcome})
}

func (c *Core) concluded(i *invocation, known *call, state recorder.State) {
	switch state {
	case recorder.Voided:
		c.refuseCall(i, answerer.New(answerer.NoEndpoint, "no replica of service %q could be reached", i.service.Name))
	case recorder.Unknown:
		c.refuseCall(i, answerer.New(answerer.OutcomeUnknown, "the service did not answer; the call may have taken effect"))
		c.askStatus(known)
	default:
		waiters := i.waiters
		i.waiters = nil
		for _, r := range waiters {
			c.replyCalled(r, known, false)
		}
	}
}

// askStatus asks the service what became of a call, where it offers that.
func (c *Core) askStatus(known *call) {
	service := c.version.Services[known.intent.Service]
	if service == nil || service.StatusPath == "" {
		return
	}
	replica := c.pickReplica(&invocation{service: service})
	if replica == nil {
		return
	}
	c.do(QueryStatus{
		Business: known.intent.Business, Key: known.intent.Key, Service: service.Name, Endpoint: replica.name,
	})
}

func (c *Core) statusKnown(e StatusReceived) {
	known := c.callOf(e.Business, e.Key)
	if known == nil || known.live != nil || known.outcome.State != recorder.Unknown || !e.Done {
		return
	}
	shardNumber := requester.ShardOf(requester.CallRoutingKey(e.Business, e.Key))
	c.append(shardNumber, nil, recorder.Record{Concluded: &recorder.Concluded{
		Business: e.Business, Key: e.Key, State: recorder.Done, Status: e.Status, Body: e.Body,
		Note: "Learned from the service's status",
	}})
}

func (c *Core) outcome(r *request, ask *requester.Outcome) {
	known := c.callOf(r.business, ask.Key)
	if known == nil {
		c.reply(r, requester.Reply{Outcome: &requester.OutcomeView{Key: ask.Key, State: "Absent"}})
		return
	}
	shardNumber := requester.ShardOf(requester.CallRoutingKey(r.business, ask.Key))
	c.whenDurable(shardNumber, func() {
		c.reply(r, requester.Reply{Outcome: known.view()})
	})
}

func (k *call) view() *requester.OutcomeView {
	return &requester.OutcomeView{
		Key: k.intent.Key, Service: k.intent.Service, State: string(k.outcome.State),
		Status: k.outcome.Status, Body: k.outcome.Body, Note: k.outcome.Note,
	}
}

// resolve settles an unknown outcome; a call that did not land frees its key.
func (c *Core) resolve(r *request, word *requester.Resolve) {
	known := c.callOf(r.business, word.Key)
	if known == nil || known.outcome.State != recorder.Unknown || known.live != nil {
		c.refuse(r, answerer.New(answerer.NotFound, "no call with key %q has an unknown outcome", word.Key))
		return
	}
	outcome := recorder.Concluded{Business: r.business, Key: word.Key, State: recorder.Voided, Note: word.Note}
	if word.Landed {
		outcome.State = recorder.Resolved
		outcome.Status = resolvedStatus
	}
	shardNumber := requester.ShardOf(requester.CallRoutingKey(r.business, word.Key))
	c.append(shardNumber, func() {
		view := known.view()
		view.State = string(outcome.State)
		c.reply(r, requester.Reply{Outcome: view})
	}, recorder.Record{Concluded: &outcome})
}
