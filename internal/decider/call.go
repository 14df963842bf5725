package decider

import (
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/recorder"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// invocation is a call to a service that has no answer yet.
type invocation struct {
	business string
	command  requester.Call
	service  *compiler.Service
	// atMostOnce is true if the service is not repeatable; the call then has a
	// durable record.
	atMostOnce bool
	shard      int
	waiters    []*request
	// inFlight is true while an attempt is in flight.
	inFlight      bool
	endpoint      string
	avoidEndpoint string
	attempts      int
	// mayHaveRun is true once an attempt may have reached an endpoint.
	mayHaveRun bool
}

func (i *invocation) removeWaiter(r *request) {
	for n := range i.waiters {
		if i.waiters[n] == r {
			i.waiters = append(i.waiters[:n:n], i.waiters[n+1:]...)
			return
		}
	}
}

// latestDeadline returns the latest deadline of the call's waiters.
func (i *invocation) latestDeadline() time.Time {
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
		c.refuse(r, answerer.New(answerer.NotFound, "unknown service %q", command.Service))
		return
	}
	c.retryBudget.Earn(time.Now(), r.business, c.retryShare(r.business))
	i := &invocation{business: r.business, command: *command, service: service, atMostOnce: !service.Repeatable}
	if !i.atMostOnce {
		i.addWaiter(r)
		c.dispatchCall(i)
		return
	}
	if command.Key == "" {
		c.refuse(r, answerer.New(answerer.BadRequest, "service %q is not repeatable, so the call needs a key", service.Name))
		return
	}
	i.shard = requester.ShardOf(requester.CallRoutingKey(r.business, command.Key))
	if known := c.lookupCall(r.business, command.Key); known != nil {
		c.answerKnownCall(r, i, known)
		return
	}
	c.recordIntent(r, i)
}

func (i *invocation) addWaiter(r *request) {
	i.waiters = append(i.waiters, r)
	r.call = i
}

func (c *Core) lookupCall(business, key string) *call {
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

// recordIntent appends the call's intent; the call is dispatched once that is
// durable, so that a new owner knows that it may have run.
func (c *Core) recordIntent(r *request, i *invocation) {
	if c.storeDown {
		c.refuse(r, answerer.New(answerer.StoreUnavailable, "the store is unavailable, so the call's intent cannot be recorded"))
		return
	}
	if c.pickReplica(i) == nil {
		c.refuse(r, answerer.New(answerer.NoEndpoint, "no replica of service %q is available", i.service.Name))
		return
	}
	i.addWaiter(r)
	c.append(i.shard, func() { c.intentDurable(i) }, recorder.Record{Intended: &recorder.CallIntent{
		Business: i.business, Key: i.command.Key, Service: i.service.Name, Digest: i.digest(),
	}})
	c.lookupCall(i.business, i.command.Key).invocation = i
}

// intentDurable dispatches the call whose intent has become durable, or voids
// it if all its callers have left.
func (c *Core) intentDurable(i *invocation) {
	if len(i.waiters) == 0 {
		c.recordOutcome(i, recorder.CallOutcome{State: recorder.Voided})
		return
	}
	c.dispatchCall(i)
}

// answerKnownCall answers a call whose key is already recorded.
func (c *Core) answerKnownCall(r *request, i *invocation, known *call) {
	if known.intent.Digest != i.digest() {
		c.refuse(r, answerer.New(answerer.KeyReused, "the key was used for a different call"))
		return
	}
	if known.invocation != nil {
		known.invocation.addWaiter(r)
		return
	}
	if known.outcome.State == recorder.Unknown {
		c.retryUnknownCall(r, i, known)
		return
	}
	c.whenDurable(i.shard, func() { c.replyCalled(r, known, true) })
}

// retryUnknownCall dispatches a call with an unknown outcome again if the
// service deduplicates calls by key and the store is up. Otherwise it refuses
// the call and queries its status.
func (c *Core) retryUnknownCall(r *request, i *invocation, known *call) {
	if i.service.HonoursKey && !c.storeDown {
		known.invocation = i
		i.mayHaveRun = true
		i.addWaiter(r)
		c.dispatchCall(i)
		return
	}
	c.queryStatus(known)
	c.refuse(r, answerer.New(answerer.OutcomeUnknown, "the call with this key may have taken effect"))
}

func (c *Core) replyCalled(r *request, known *call, replayed bool) {
	o := known.outcome
	c.reply(r, requester.Reply{Call: &requester.CallReply{
		Key: o.Key, Status: o.Status, ContentType: o.ContentType, Body: o.Body, Replayed: replayed,
	}})
}

// pickReplica returns the usable replica with the fewest calls in flight, or nil.
func (c *Core) pickReplica(i *invocation) *endpoint {
	var best *endpoint
	for _, name := range sortedKeys(c.version.Endpoints) {
		spec := c.version.Endpoints[name]
		if spec.Service != i.service.Name || spec.Leaving {
			continue
		}
		candidate := c.endpoint(name)
		if !candidate.view.Usable || (spec.Slots > 0 && len(candidate.inFlight) >= spec.Slots) {
			continue
		}
		if best == nil || candidate.load(i.avoidEndpoint) < best.load(i.avoidEndpoint) {
			best = candidate
		}
	}
	return best
}

func (c *Core) dispatchCall(i *invocation) {
	replica := c.pickReplica(i)
	if replica == nil {
		c.failCall(i)
		return
	}
	i.inFlight = true
	i.endpoint = replica.name
	i.attempts++
	attempt := c.nextID()
	c.calls[attempt] = i
	replica.inFlight[attempt] = time.Now()
	c.emit(Invoke{
		Attempt: attempt, Endpoint: replica.name, Service: i.service.Name, Call: i.command,
		AtMostOnce: i.atMostOnce, Deadline: i.latestDeadline(),
	})
}

// endCallAttempt removes the attempt from those in flight and returns its call,
// or nil if the attempt is unknown.
func (c *Core) endCallAttempt(attempt string) *invocation {
	i := c.calls[attempt]
	if i == nil {
		return nil
	}
	delete(c.calls, attempt)
	i.inFlight = false
	delete(c.endpoint(i.endpoint).inFlight, attempt)
	return i
}

func (c *Core) invokeCompleted(e InvokeCompleted) {
	i := c.endCallAttempt(e.Attempt)
	if i == nil {
		return
	}
	i.mayHaveRun = true
	if i.atMostOnce {
		c.recordOutcome(i, recorder.CallOutcome{State: recorder.Done, Status: e.Status, ContentType: e.ContentType, Body: e.Body})
		return
	}
	for _, r := range i.waiters {
		c.reply(r, requester.Reply{Call: &requester.CallReply{
			Key: i.command.Key, Status: e.Status, ContentType: e.ContentType, Body: e.Body,
		}})
	}
}

func (c *Core) invokeFailed(e InvokeFailed) {
	i := c.endCallAttempt(e.Attempt)
	if i == nil {
		return
	}
	if !e.NotSent {
		i.mayHaveRun = true
	}
	repeatable := !i.atMostOnce || i.service.HonoursKey || e.NotSent
	if repeatable && len(i.waiters) > 0 && c.mayRetryCall(i) {
		c.emit(CountRetry{Reason: retryReason(e.NotSent), Target: "Service"})
		i.avoidEndpoint = i.endpoint
		c.dispatchCall(i)
		return
	}
	c.failCall(i)
}

func retryReason(notSent bool) string {
	if notSent {
		return string(CauseNotSent)
	}
	return string(CauseFailed)
}

func (c *Core) mayRetryCall(i *invocation) bool {
	return i.attempts < c.settings.maxAttempts && c.retryBudget.Spend(time.Now(), i.business)
}

// failCall ends a call that got no answer from the service.
func (c *Core) failCall(i *invocation) {
	switch {
	case !i.atMostOnce && i.mayHaveRun:
		c.refuseCallWaiters(i, answerer.New(answerer.EndpointFailed, "%d attempts failed", i.attempts))
	case !i.atMostOnce:
		c.refuseCallWaiters(i, answerer.New(answerer.NoEndpoint, "no replica of service %q is available", i.service.Name))
	case i.mayHaveRun:
		c.recordOutcome(i, recorder.CallOutcome{State: recorder.Unknown})
	default:
		c.recordOutcome(i, recorder.CallOutcome{State: recorder.Voided})
	}
}

func (c *Core) refuseCallWaiters(i *invocation, err *answerer.Error) {
	waiters := i.waiters
	i.waiters = nil
	for _, r := range waiters {
		c.refuse(r, err)
	}
}

// recordOutcome appends the call's outcome; the waiters are answered once it is
// durable.
func (c *Core) recordOutcome(i *invocation, outcome recorder.CallOutcome) {
	outcome.Business = i.business
	outcome.Key = i.command.Key
	known := c.lookupCall(i.business, i.command.Key)
	if known == nil {
		return
	}
	known.invocation = nil
	c.append(i.shard, func() { c.outcomeDurable(i, known, outcome.State) }, recorder.Record{Concluded: &outcome})
}

func (c *Core) outcomeDurable(i *invocation, known *call, state recorder.CallState) {
	switch state {
	case recorder.Voided:
		c.refuseCallWaiters(i, answerer.New(answerer.NoEndpoint, "the call did not reach a replica of service %q", i.service.Name))
	case recorder.Unknown:
		c.refuseCallWaiters(i, answerer.New(answerer.OutcomeUnknown, "the service did not answer, so the call may have taken effect"))
		c.queryStatus(known)
	default:
		waiters := i.waiters
		i.waiters = nil
		for _, r := range waiters {
			c.replyCalled(r, known, false)
		}
	}
}

// queryStatus asks the service for the outcome of a call, if the service has a
// status endpoint.
func (c *Core) queryStatus(known *call) {
	service := c.version.Services[known.intent.Service]
	if service == nil || service.StatusPath == "" {
		return
	}
	replica := c.pickReplica(&invocation{service: service})
	if replica == nil {
		return
	}
	c.emit(QueryStatus{
		Business: known.intent.Business, Key: known.intent.Key, Service: service.Name, Endpoint: replica.name,
	})
}

func (c *Core) statusReceived(e StatusReceived) {
	known := c.lookupCall(e.Business, e.Key)
	if known == nil || known.invocation != nil || known.outcome.State != recorder.Unknown || !e.Done {
		return
	}
	shardNumber := requester.ShardOf(requester.CallRoutingKey(e.Business, e.Key))
	c.append(shardNumber, nil, recorder.Record{Concluded: &recorder.CallOutcome{
		Business: e.Business, Key: e.Key, State: recorder.Done, Status: e.Status, Body: e.Body,
		Note: "Learned from the service's status",
	}})
}

func (c *Core) readOutcome(r *request, query *requester.Outcome) {
	known := c.lookupCall(r.business, query.Key)
	if known == nil {
		c.reply(r, requester.Reply{Outcome: &requester.OutcomeView{Key: query.Key, State: "Absent"}})
		return
	}
	shardNumber := requester.ShardOf(requester.CallRoutingKey(r.business, query.Key))
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

// resolve records an operator's verdict on a call with an unknown outcome. The
// key of a call that did not take effect can be used again.
func (c *Core) resolve(r *request, resolution *requester.Resolve) {
	known := c.lookupCall(r.business, resolution.Key)
	if known == nil || known.outcome.State != recorder.Unknown || known.invocation != nil {
		c.refuse(r, answerer.New(answerer.NotFound, "no call with key %q has an unknown outcome", resolution.Key))
		return
	}
	outcome := recorder.CallOutcome{Business: r.business, Key: resolution.Key, State: recorder.Voided, Note: resolution.Note}
	if resolution.Landed {
		outcome.State = recorder.Resolved
		outcome.Status = resolvedStatus
	}
	shardNumber := requester.ShardOf(requester.CallRoutingKey(r.business, resolution.Key))
	c.append(shardNumber, func() {
		view := known.view()
		view.State = string(outcome.State)
		c.reply(r, requester.Reply{Outcome: view})
	}, recorder.Record{Concluded: &outcome})
}
