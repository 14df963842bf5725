package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

var listenConfig net.ListenConfig

const (
	callerBudget = 900
	callerMost   = 100
	turnTries    = 3
	maxTurns     = 8
	callDeadline = 3 * time.Second
	// One in oldCallers speaks HTTP/1.0, and one in slowCallers sends slow unsafe calls alone.
	oldCallers  = 4
	slowCallers = 4
	// One in zeroCalls states zeros, and one stream in leftStreams is left early.
	zeroCalls   = 24
	leftStreams = 16
	// One in returningPrograms is one that was stopped before.
	returningPrograms = 3
	// streamGap is the time without data after which callers leave a stream: two seconds, four
	// times the objective or eight times the allowed pause, whichever is longest.
	streamGap = 2 * time.Second
	// lastTries is how often a kept turn is asked for after the faults.
	lastTries = 4
)

// caller plays programs, one after the other, and keeps its own books.
type caller struct {
	*soak
	index    int
	random   *rand.Rand
	client   *http.Client
	requests int
	sent     []sentCall
	kept     []keptTurn
	// stopped are programs that were stopped by refusals, with the tokens that they got.
	stopped []stoppedProgram
}

// stoppedProgram is a program that may return.
type stoppedProgram struct {
	id     string
	tokens int
}

// sentCall is a call with the answer that it got.
type sentCall struct {
	call         standin.Call
	reply        standin.Reply
	instance     *instance
	began, ended time.Time
	// isOld is true if it was sent by HTTP/1.0.
	isOld bool
}

// keptTurn is a turn whose answer came whole, with its transcript.
type keptTurn struct{ id, program, transcript string }

func newCaller(s *soak, index int) *caller {
	return &caller{
		soak: s, index: index, random: rand.New(rand.NewPCG(s.Seed, uint64(1000+index))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// account returns the account of the caller.
func (c *caller) account() int { return c.index % c.accounts.count() }

func (c *caller) drawInstance() *instance {
	present := c.present()
	return present[c.random.IntN(len(present))]
}

func (c *caller) run(ctx context.Context) {
	if c.Losses {
		c.runThroughLosses(ctx)
		return
	}
	if c.index%slowCallers == 1 {
		c.runSlow(ctx)
		return
	}
	for program := 0; ctx.Err() == nil; program++ {
		next := stoppedProgram{id: fmt.Sprintf("p-%d-%d", c.index, program)}
		if len(c.stopped) > 0 && c.random.IntN(returningPrograms) == 0 {
			next, c.stopped = c.stopped[0], c.stopped[1:]
			c.count(c.report.Checks, "program returned")
		}
		c.play(ctx, next.id, next.tokens)
	}
}

// play plays one program, which has had the tokens: a chain of turns with calls of services between them.
func (c *caller) play(ctx context.Context, program string, tokens int) {
	retained := c.random.IntN(2) == 0
	previous := keptTurn{}
	turns := 1 + c.random.IntN(maxTurns)
	if c.random.IntN(8) == 0 {
		turns = 1000 // Ends by its budget.
	}
	for range turns {
		if ctx.Err() != nil {
			break
		}
		reply, kept := c.turn(ctx, program, retained, previous, &tokens)
		if reply.Status != http.StatusOK || !reply.IsComplete {
			c.stopped = append(c.stopped, stoppedProgram{program, tokens})
			break
		}
		previous = kept
		if c.random.IntN(zeroCalls) == 0 {
			c.sendZeros(ctx)
		}
		for range c.random.IntN(3) {
			path := []string{standin.PathLookup, standin.PathPost}[c.random.IntN(2)]
			c.do(ctx, standin.Call{Path: path + "x", Body: program, Program: program})
		}
	}
	c.checkBudget(program, tokens)
}

func (c *caller) checkBudget(program string, tokens int) {
	c.count(c.report.Checks, "budget")
	if tokens > callerBudget+callerMost {
		c.violate("BUDGET: program %s got %d tokens of a budget of %d", program, tokens, callerBudget)
	}
}

// turn plays one turn, up to three times.
func (c *caller) turn(ctx context.Context, program string, retained bool, previous keptTurn, tokens *int) (standin.Reply, keptTurn) {
	path := standin.PathSession
	if retained {
		path = standin.PathRetained
	}
	var reply standin.Reply
	for try := range turnTries {
		events := 1 + c.random.IntN(mostEvents)
		input := fmt.Sprintf("input %d of %s, %s\n", c.requests, program, standin.StateEvents(events))
		call := standin.Call{
			Path: path + "x", Body: input, Program: program, Budget: callerBudget, MaxTokens: callerMost, Gap: streamGap,
		}
		if retained {
			call.Previous = previous.id
		}
		if c.random.IntN(leftStreams) == 0 {
			call.StopAfter = 1 + c.random.IntN(events)
		}
		s := c.begin(ctx, call, events)
		id := s.first().call.ID
		reply = s.first().reply
		if !retained {
			reply = c.takeUp(ctx, s)
		}
		*tokens += standin.Tokens(s.events)
		if reply.Status == http.StatusOK && reply.IsComplete {
			kept := keptTurn{id: id, program: program, transcript: previous.transcript + input + reply.EventData()}
			if retained {
				c.kept = append(c.kept, kept)
				c.checkBody(id, previous.transcript+input)
			}
			return reply, kept
		}
		if (reply.Status == http.StatusNotFound || reply.Status == http.StatusGone) && call.Previous != "" {
			c.violate("LOST: %s was answered whole, but not found: %s", call.Previous, c.describe(s.first()))
		}
		if reply.Status == http.StatusPaymentRequired || ctx.Err() != nil {
			break
		}
		sleep(ctx, time.Duration(try+1)*100*time.Millisecond)
	}
	return reply, keptTurn{}
}

func (c *caller) checkBody(id, want string) {
	c.count(c.report.Checks, "transcript")
	if runs, body := c.runsOf(id); runs > 0 && body != want {
		c.violate("UNASKED: turn %s ran with %q, not %q", id, body, want)
	}
}

// do sends a call to an instance of chance and checks the answer by itself.
func (c *caller) do(ctx context.Context, call standin.Call) (standin.Reply, string) {
	sent := c.send(ctx, c.drawInstance(), call)
	return sent.reply, sent.call.ID
}

// send sends a call to the instance and checks the answer by itself.
func (c *caller) send(ctx context.Context, in *instance, call standin.Call) sentCall {
	if call.Deadline == 0 {
		call.Deadline = callDeadline
	}
	return c.sendBy(ctx, sentCall{call: call, instance: in, isOld: c.index%oldCallers == 0 && !c.NoHTTP10}, c.exchange)
}

// exchange sends a call over the connections of the caller's client or, by HTTP/1.0, a new one.
func (c *caller) exchange(ctx context.Context, s sentCall) standin.Reply {
	if s.isOld {
		return standin.DoHTTP10(ctx, s.instance.callers(), s.call)
	}
	return standin.Do(ctx, c.client, s.instance.callers(), s.call)
}

// sendBy sends a call with the function, keeps it and checks the answer by itself.
func (c *caller) sendBy(ctx context.Context, sent sentCall, exchange func(context.Context, sentCall) standin.Reply) sentCall {
	c.requests++
	call := &sent.call
	call.ID = fmt.Sprintf("r-%d-%d", c.index, c.requests)
	if call.Key == "" {
		call.Key, call.ForgedAccount = c.accounts.newestKey(c.account()), "forged"
	}
	call.Method, call.Host = http.MethodPost, standin.Host
	sent.began = time.Now()
	// The end of the run does not cut a request short.
	sent.reply = exchange(context.WithoutCancel(ctx), sent)
	sent.ended = time.Now()
	sent.reply.IsComplete = sent.reply.IsComplete && !sent.reply.HasLeft
	c.sent = append(c.sent, sent)
	name := fmt.Sprint(sent.reply.Status)
	switch {
	case sent.reply.HasLeft:
		name += " left"
	case sent.reply.Status == http.StatusOK && !sent.reply.IsComplete:
		name += " broken off"
	}
	c.count(c.report.Answers, name)
	c.checkAnswer(sent)
	return sent
}

// find goes on from the kept turn, several times. It returns the attempts.
func (c *caller) find(ctx context.Context, kept keptTurn) (attempts []sentCall, found bool) {
	for try := range lastTries {
		const events = 2
		input := "again " + standin.StateEvents(events) + "\n"
		s := c.begin(ctx, standin.Call{
			Path: standin.PathRetained + "x", Body: input, Program: fmt.Sprintf("new-%d-%d", c.index, c.requests),
			Budget: callerBudget, MaxTokens: callerMost, Previous: kept.id, Gap: streamGap,
		}, events)
		attempts = append(attempts, s.first())
		if reply := s.first().reply; reply.Status == http.StatusOK && reply.IsComplete {
			c.checkBody(s.first().call.ID, kept.transcript+input)
			return attempts, true
		}
		sleep(ctx, time.Duration(try+1)*300*time.Millisecond)
	}
	return attempts, false
}
