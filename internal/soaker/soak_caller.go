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
}

// sentCall is a call with the answer that it got.
type sentCall struct {
	call         standin.Call
	reply        standin.Reply
	instance     *instance
	began, ended time.Time
}

// keptTurn is a turn whose answer came whole, with its transcript.
type keptTurn struct{ id, program, transcript string }

func newCaller(s *soak, index int) *caller {
	return &caller{
		soak: s, index: index, random: rand.New(rand.NewPCG(s.Seed, uint64(1000+index))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

func (c *caller) run(ctx context.Context) {
	if c.index%slowCallers == 1 {
		c.runSlow(ctx)
		return
	}
	for program := 0; ctx.Err() == nil; program++ {
		c.play(ctx, fmt.Sprintf("p-%d-%d", c.index, program))
	}
}

// play plays one program: a chain of turns with calls of services between them.
func (c *caller) play(ctx context.Context, program string) {
	retained := c.random.IntN(2) == 0
	previous := keptTurn{}
	tokens := 0
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
		reply, id := s.first().reply, s.first().call.ID
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
		if reply.Status == http.StatusNotFound && call.Previous != "" {
			c.violate("LOST: turn %s was answered 404, but %s was answered whole", id, call.Previous)
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
	sent := c.send(ctx, c.instances[c.random.IntN(len(c.instances))], call)
	return sent.reply, sent.call.ID
}

// send sends a call to the instance and checks the answer by itself.
func (c *caller) send(ctx context.Context, in *instance, call standin.Call) sentCall {
	send := func(ctx context.Context, call standin.Call) standin.Reply {
		return standin.Do(ctx, c.client, in.callers(), call)
	}
	if c.isOld() {
		send = func(ctx context.Context, call standin.Call) standin.Reply {
			return standin.DoHTTP10(ctx, in.callers(), call)
		}
	}
	if call.Deadline == 0 {
		call.Deadline = callDeadline
	}
	return c.sendBy(ctx, in, call, send)
}

func (c *caller) isOld() bool { return c.index%oldCallers == 0 && !c.NoHTTP10 }

// sendBy sends a call with the function, keeps it and checks the answer by itself.
func (c *caller) sendBy(ctx context.Context, in *instance, call standin.Call, send func(context.Context, standin.Call) standin.Reply) sentCall {
	c.requests++
	call.ID = fmt.Sprintf("r-%d-%d", c.index, c.requests)
	if call.Key == "" {
		call.Key, call.ForgedAccount = c.accounts.newestKey(c.index%accountCount), "forged"
	}
	call.Method, call.Host = http.MethodPost, standin.Host
	sent := sentCall{instance: in, began: time.Now()}
	// The end of the run does not cut a request short.
	sent.reply = send(context.WithoutCancel(ctx), call)
	sent.call, sent.ended = call, time.Now()
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

func (c *caller) isFound(ctx context.Context, kept keptTurn) bool {
	for try := range lastTries {
		const events = 2
		input := "again " + standin.StateEvents(events) + "\n"
		s := c.begin(ctx, standin.Call{
			Path: standin.PathRetained + "x", Body: input, Program: fmt.Sprintf("new-%d-%d", c.index, c.requests),
			Budget: callerBudget, MaxTokens: callerMost, Previous: kept.id, Gap: streamGap,
		}, events)
		if reply := s.first().reply; reply.Status == http.StatusOK && reply.IsComplete {
			c.checkBody(s.first().call.ID, kept.transcript+input)
			return true
		}
		sleep(ctx, time.Duration(try+1)*300*time.Millisecond)
	}
	return false
}
