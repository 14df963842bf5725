package decider

import (
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/recorder"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// phase is the stage of processing of an active turn.
type phase string

const (
	// reserving waits for a durable allowance or for a draw from the business's budget.
	reserving phase = "Reserving"
	// queued waits for an endpoint.
	queued phase = "Queued"
	// running has an attempt in flight.
	running phase = "Running"
	// committing waits until the turn's record is durable.
	committing phase = "Committing"
)

// activeTurn is the turn that a program is taking. A program has at most one.
type activeTurn struct {
	id        string
	program   *program
	agent     *compiler.Agent
	number    int
	key       string
	input     string
	maxTokens int
	// requestedTokens is maxTokens before it was clipped to the budget.
	requestedTokens int
	// worstCase is the reserved upper bound of the turn's cost, in tokens.
	worstCase     int
	waiters       []*request
	phase         phase
	attempt       string
	endpoint      string
	avoidEndpoint string
	attempts      int
	// resumeOffset is the token at which a truncated stream is resumed at the same
	// endpoint.
	resumeOffset int
	// resumeText is the output before resumeOffset.
	resumeText string
	// mayHaveRun is true once an attempt may have reached an endpoint.
	mayHaveRun bool
	// abandoned is true once the running turn is canceled. Its attempt is still
	// charged, and recorded as a turn if it completes and the program has not ended.
	abandoned bool
	created   time.Time
	queuedAt  time.Time
	// notBefore is when the backoff of a retry ends.
	notBefore time.Time
	sentAt    time.Time
}

// matches reports whether the request is for the active turn.
func (t *activeTurn) matches(turn *requester.Turn) bool {
	if turn.Key != "" && turn.Key == t.key {
		return true
	}
	return turn.Number != 0 && turn.Number == t.number
}

func (c *Core) requestTurn(r *request, turn *requester.Turn) {
	p := c.lookup(r, turn.Program)
	if p == nil {
		c.refuseUnknownProgram(r, turn.Program)
		return
	}
	c.admitTurn(r, p, turn)
}

func (c *Core) admitTurn(r *request, p *program, turn *requester.Turn) {
	if c.replayTurn(r, p, turn) {
		return
	}
	if p.ended || p.root.ended {
		c.refuse(r, answerer.New(answerer.ProgramEnded, "the program has ended: %s", p.reason))
		return
	}
	if p.live.active != nil {
		c.joinOrQueue(r, p, turn)
		return
	}
	if turn.Number > len(p.turns)+1 {
		c.refuse(r, answerer.New(answerer.TurnGap, "turn %d was requested after turn %d", turn.Number, len(p.turns)))
		return
	}
	if turn.Chain != "" && turn.Chain != p.chain {
		c.refuse(r, answerer.New(answerer.HistoryDiverged, "the history after turn %d has a different chain hash", len(p.turns)))
		return
	}
	c.startTurn(r, p, turn)
}

// replayTurn answers a request for a recorded turn and reports whether it was one.
func (c *Core) replayTurn(r *request, p *program, turn *requester.Turn) bool {
	recorded := p.turnByKey(turn.Key)
	kind := answerer.KeyReused
	if recorded == nil {
		recorded = p.turnByNumber(turn.Number)
		kind = answerer.TurnConflict
	}
	if recorded == nil {
		return false
	}
	if recorded.Input != turn.Input || (turn.Number != 0 && turn.Number != recorded.Number) {
		c.refuse(r, answerer.New(kind, "turn %d was recorded with a different input or number", recorded.Number))
		return true
	}
	number := recorded.Number
	c.whenDurable(shardOf(p), func() { c.replyTurned(r, p, number, true) })
	return true
}

func (c *Core) replyTurned(r *request, p *program, number int, replayed bool) {
	t := p.turnByNumber(number)
	c.reply(r, requester.Reply{Turn: &requester.TurnReply{
		Program: p.id, Number: number, Text: t.Text, Usage: t.Usage, Chain: t.Chain,
		Remaining: p.remaining(), Replayed: replayed, Endpoint: t.Endpoint,
	}})
}

// joinOrQueue adds the request to the waiters of the active turn if it is for
// that turn, and otherwise queues it until the active turn ends.
func (c *Core) joinOrQueue(r *request, p *program, turn *requester.Turn) {
	t := p.live.active
	if t.matches(turn) && t.input != turn.Input {
		c.refuse(r, answerer.New(answerer.TurnConflict, "turn %d is in progress with a different input", t.number))
		return
	}
	if t.matches(turn) && !t.abandoned {
		t.waiters = append(t.waiters, r)
		r.turn = t
		return
	}
	if turn.Number > t.number+1+len(p.live.pending) {
		c.refuse(r, answerer.New(answerer.TurnGap, "turn %d was requested during turn %d", turn.Number, t.number))
		return
	}
	if len(p.live.pending) >= c.settings.pendingLimit {
		c.refuse(r, answerer.New(answerer.Overloaded, "the program already has %d waiting turns", len(p.live.pending)))
		return
	}
	r.pendingProgram = p
	p.live.pending = append(p.live.pending, pendingTurn{request: r, turn: turn})
}

// admitPending clears the active turn and admits the turns that waited for it.
func (c *Core) admitPending(p *program) {
	p.live.active = nil
	p.live.lastUsed = time.Now()
	pending := p.live.pending
	p.live.pending = nil
	for _, l := range pending {
		l.request.pendingProgram = nil
		c.admitTurn(l.request, p, l.turn)
	}
}

// startTurn makes the turn the program's active one.
func (c *Core) startTurn(r *request, p *program, turn *requester.Turn) {
	agent := c.lookupAgent(p)
	if agent == nil {
		c.refuse(r, answerer.New(answerer.NotFound, "agent program %q is no longer in the document", p.agent))
		return
	}
	if reason := c.exceededLimit(p, agent); reason != "" {
		c.refuse(r, answerer.New(answerer.LimitReached, "%s", reason))
		c.endTree(p, reason)
		return
	}
	if c.queue.Len() >= c.queueLimit() {
		c.refuse(r, answerer.New(answerer.Overloaded, "the instance already has %d queued turns", c.queue.Len()).WithRetryAfter(c.retryAfter()))
		return
	}
	t := &activeTurn{
		id: c.nextID(), program: p, agent: agent, number: len(p.turns) + 1, key: turn.Key, input: turn.Input,
		requestedTokens: clampOutput(turn.MaxTokens, agent.MaxOutput), waiters: []*request{r}, created: time.Now(),
	}
	p.live.active = t
	r.turn = t
	c.turns[t.id] = t
	c.retryBudget.Earn(t.created, p.business, c.retryShare(p.business))
	c.reserve(t)
}

func clampOutput(requested, limit int) int {
	if requested <= 0 || requested > limit {
		return limit
	}
	return requested
}

// exceededLimit returns the limit of the agent program that rules out a further
// turn, or "".
func (c *Core) exceededLimit(p *program, agent *compiler.Agent) string {
	switch {
	case agent.MaxTurns > 0 && len(p.turns) >= agent.MaxTurns:
		return "Turn limit reached"
	case agent.MaxHistory > 0 && p.contextTokens() >= agent.MaxHistory:
		return "History limit reached"
	case agent.WallLimit > 0 && time.Since(p.live.openedAt) > agent.WallLimit:
		return "Wall limit reached"
	}
	return ""
}

func (c *Core) queueLimit() int {
	if c.version.Policy.QueueLimit > 0 {
		return c.version.Policy.QueueLimit
	}
	return c.settings.queueLimit
}

func (c *Core) dispatchTurn(t *activeTurn, target *endpoint) {
	now := time.Now()
	t.phase = running
	t.sentAt = now
	t.attempt = c.nextID()
	t.endpoint = target.name
	t.attempts++
	c.attempts[t.attempt] = t
	target.inFlight[t.attempt] = now
	p := t.program
	p.live.queuedTime += now.Sub(t.queuedAt)
	p.live.lastEndpoint = target.name
	p.holdings[target.name] = true
	c.emit(Generate{Attempt: t.attempt, Endpoint: target.name, Sink: t.sink(), Request: c.generateRequest(t)})
}

// sink returns the ID of the request that the output is streamed to.
func (t *activeTurn) sink() string {
	if len(t.waiters) == 0 {
		return ""
	}
	return t.waiters[0].id
}

func (c *Core) generateRequest(t *activeTurn) generator.GenerateRequest {
	p := t.program
	messages := make([]generator.Message, 0, 2*len(p.turns)+2)
	if t.agent.Instructions != "" {
		messages = append(messages, generator.Message{Role: "System", Text: t.agent.Instructions})
	}
	for i := range p.turns {
		messages = append(messages,
			generator.Message{Role: "User", Text: p.turns[i].Input},
			generator.Message{Role: "Assistant", Text: p.turns[i].Text})
	}
	messages = append(messages, generator.Message{Role: "User", Text: t.input})
	return generator.GenerateRequest{
		Request: t.attempt, Program: p.id, Business: p.business, Model: t.agent.Model, Adapter: t.agent.Adapter,
		Priority: t.agent.Precedence, Messages: messages, MaxTokens: t.maxTokens, Offset: t.resumeOffset,
		Seed: generationSeed(p.chain, t.number),
	}
}

func (c *Core) generateCompleted(e GenerateCompleted) {
	t := c.endTurnAttempt(e.Attempt)
	if t == nil {
		return
	}
	p := t.program
	e.Usage.Generated += t.resumeOffset
	e.Text = t.resumeText + e.Text
	c.unreserve(t, e.Usage.Total())
	if t.abandoned && p.ended {
		c.recordCharge(t, e.Usage.Total())
		c.removeTurn(t)
		return
	}
	t.phase = committing
	t.abandoned = false
	p.live.cachedTokens[t.endpoint] = e.Usage.Prompt + e.Usage.Generated
	turned := &recorder.TurnCompleted{
		Program: p.id, Number: t.number, Key: t.key, Input: t.input, Text: e.Text, Usage: e.Usage,
		Endpoint: t.endpoint, Attempt: t.attempt, Chain: recorder.Chain(p.chain, t.number, t.input, e.Text),
		Elapsed: time.Since(p.live.openedAt),
	}
	c.append(shardOf(p), func() { c.answerTurn(t) }, recorder.Record{Turned: turned})
}

// endTurnAttempt removes the attempt from those in flight and returns its turn,
// or nil if the attempt is unknown.
func (c *Core) endTurnAttempt(attempt string) *activeTurn {
	t := c.attempts[attempt]
	if t == nil {
		return nil
	}
	delete(c.attempts, attempt)
	t.program.live.runningTime += time.Since(t.sentAt)
	delete(c.endpoint(t.endpoint).inFlight, attempt)
	return t
}

// answerTurn answers the waiters of a turn whose record is durable.
func (c *Core) answerTurn(t *activeTurn) {
	delete(c.turns, t.id)
	for _, r := range t.waiters {
		c.replyTurned(r, t.program, t.number, false)
	}
	t.waiters = nil
	if t.program.live.active == t {
		c.admitPending(t.program)
	}
}

func (c *Core) generateFailed(e GenerateFailed) {
	t := c.endTurnAttempt(e.Attempt)
	if t == nil {
		return
	}
	charge := t.charge(e)
	c.unreserve(t, charge)
	c.recordCharge(t, charge)
	if e.Cause != CauseNotSent {
		t.mayHaveRun = true
	}
	if t.abandoned {
		c.removeTurn(t)
		return
	}
	c.retryTurn(t, e)
}

// charge returns the tokens to charge for a failed attempt: none if it was not
// sent, the worst case if its usage is unknown.
func (t *activeTurn) charge(e GenerateFailed) int {
	switch {
	case e.Cause == CauseNotSent:
		return 0
	case e.Usage != nil:
		return e.Usage.Total()
	}
	return t.worstCase
}

// recordCharge charges the tree for an attempt that produced no turn.
func (c *Core) recordCharge(t *activeTurn, tokens int) {
	if tokens == 0 || c.shards[shardOf(t.program)] == nil {
		return
	}
	c.append(shardOf(t.program), nil, recorder.Record{Settled: &recorder.TokensCharged{
		Program: t.program.id, Attempt: t.attempt, Tokens: tokens,
	}})
}

// retryTurn reserves the turn again for another attempt, or fails it if the
// attempts or the retry budget are used up.
func (c *Core) retryTurn(t *activeTurn, e GenerateFailed) {
	if t.attempts >= c.settings.maxAttempts || !c.retryBudget.Spend(time.Now(), t.program.business) {
		c.failTurn(t, e.Cause)
		return
	}
	c.emit(CountRetry{Reason: string(e.Cause), Target: "Engine"})
	t.avoidEndpoint = t.endpoint
	t.clearResume()
	if e.Cause == CauseTruncated && e.Offset > 0 {
		t.avoidEndpoint = ""
		t.resumeOffset = e.Offset
		t.resumeText = e.Text
	} else {
		t.notBefore = time.Now().Add(c.retryBudget.Backoff(t.attempts))
	}
	c.reserve(t)
}

// clearResume discards the output of a truncated stream.
func (t *activeTurn) clearResume() {
	t.resumeOffset = 0
	t.resumeText = ""
}

func (c *Core) retryShare(business string) float64 {
	if b := c.version.Businesses[business]; b != nil {
		return b.RetryShare
	}
	return 0
}

// failTurn refuses a turn that is not retried.
func (c *Core) failTurn(t *activeTurn, cause Cause) {
	kind := answerer.EndpointFailed
	switch {
	case !t.mayHaveRun:
		kind = answerer.NoEndpoint
	case cause == CauseTruncated:
		kind = answerer.AnswerTruncated
	}
	c.refuseTurn(t, answerer.New(kind, "%d attempts failed, the last one with cause %s", t.attempts, cause))
}

// refuseTurn refuses the waiters of a turn that is not in flight and removes it.
func (c *Core) refuseTurn(t *activeTurn, err *answerer.Error) {
	waiters := t.waiters
	t.waiters = nil
	for _, r := range waiters {
		c.refuse(r, err)
	}
	c.removeTurn(t)
}

// removeTurn removes a turn that is not in flight and admits the turns that
// waited for it.
func (c *Core) removeTurn(t *activeTurn) {
	c.queue.Remove(t.id)
	delete(c.turns, t.id)
	p := t.program
	if p.ended {
		c.releaseMemory(p)
	}
	if p.live.active == t {
		c.admitPending(p)
	}
}

// removeTurnWaiter removes a waiter. Without waiters, the turn is canceled unless
// it is committing.
func (c *Core) removeTurnWaiter(t *activeTurn, r *request, kind answerer.Kind) {
	for i := range t.waiters {
		if t.waiters[i] == r {
			t.waiters = append(t.waiters[:i:i], t.waiters[i+1:]...)
			break
		}
	}
	if len(t.waiters) > 0 || t.phase == committing {
		return
	}
	c.cancelTurn(t, answerer.New(kind, "all callers of the turn have left"))
}

// cancelTurn cancels a turn that is not committing. A running turn is abandoned
// until its attempt ends; any other is removed at once.
func (c *Core) cancelTurn(t *activeTurn, err *answerer.Error) {
	switch t.phase {
	case running:
		t.abandoned = true
		waiters := t.waiters
		t.waiters = nil
		for _, r := range waiters {
			c.refuse(r, err)
		}
		c.emit(CancelGenerate{Attempt: t.attempt, Endpoint: t.endpoint})
	case committing:
	default:
		c.unreserve(t, 0)
		c.refuseTurn(t, err)
	}
}

// cancelActiveTurn cancels the program's active turn because the program ends.
func (c *Core) cancelActiveTurn(p *program, reason string) {
	t := p.live.active
	if t == nil || t.phase == committing {
		return
	}
	kind := answerer.ProgramEnded
	if t.mayHaveRun || t.phase == running {
		kind = answerer.Interrupted
	}
	c.cancelTurn(t, answerer.New(kind, "the program has ended: %s", reason))
}
