package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
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
	// One in oldCallers speaks HTTP/1.0.
	oldCallers = 4
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
	call  standin.Call
	reply standin.Reply
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
		input := fmt.Sprintf("input %d of %s\n", c.requests, program)
		call := standin.Call{Path: path + "x", Body: input, Program: program, Budget: callerBudget, MaxTokens: callerMost}
		if retained {
			call.Previous = previous.id
		}
		var id string
		reply, id = c.do(ctx, call)
		*tokens += len(reply.Events()) * standin.EventTokens
		if !retained {
			reply = c.takeUp(ctx, call, id, reply, tokens)
		}
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

// takeUp takes up a stream that broke off, at other instances.
func (c *caller) takeUp(ctx context.Context, call standin.Call, id string, reply standin.Reply, tokens *int) standin.Reply {
	if !reply.IsComplete {
		reply.Body = wholeEvents(reply.Body)
	}
	for try := 0; try < turnTries && reply.Status == http.StatusOK && !reply.IsComplete && len(reply.Events()) > 0 && ctx.Err() == nil; try++ {
		call.Resumes, call.LastEventID = id, len(reply.Events())
		more, _ := c.do(ctx, call)
		*tokens += len(more.Events()) * standin.EventTokens
		if more.Status == http.StatusOK {
			if !more.IsComplete {
				more.Body = wholeEvents(more.Body)
			}
			reply.Body, reply.IsComplete = reply.Body+more.Body, more.IsComplete
		}
		c.count(c.report.Checks, "stream taken up")
		for i, number := range reply.Events() {
			if number != i+1 {
				c.violate("ORDER: the stream that began as %s has the events %v", id, reply.Events())
				break
			}
		}
		if versions := reply.Versions(); len(versions) > 1 {
			c.violate("ORDER: the stream that began as %s has events of versions %v", id, versions)
		}
	}
	return reply
}

// wholeEvents returns the text up to the end of its last whole event.
func wholeEvents(text string) string {
	end := strings.LastIndex(text, "\n\n")
	if end < 0 {
		return ""
	}
	return text[:end+2]
}

func (c *caller) checkBody(id, want string) {
	c.count(c.report.Checks, "transcript")
	if runs, body := c.runsOf(id); runs > 0 && body != want {
		c.violate("UNASKED: turn %s ran with %q, not %q", id, body, want)
	}
}

// do sends a call to an instance of chance and checks the answer by itself.
func (c *caller) do(ctx context.Context, call standin.Call) (standin.Reply, string) {
	in := c.instances[c.random.IntN(len(c.instances))]
	c.requests++
	call.ID = fmt.Sprintf("r-%d-%d", c.index, c.requests)
	if call.Key == "" {
		call.Key, call.ForgedAccount = c.accounts.newestKey(c.index%accountCount), "forged"
	}
	call.Method, call.Host, call.Deadline = http.MethodPost, standin.Host, callDeadline
	// The end of the run does not cut a request short.
	ctx = context.WithoutCancel(ctx)
	var reply standin.Reply
	if c.index%oldCallers == 0 {
		reply = standin.DoHTTP10(ctx, in.callers(), call)
	} else {
		reply = standin.Do(ctx, c.client, in.callers(), call)
	}
	c.sent = append(c.sent, sentCall{call, reply})
	name := fmt.Sprint(reply.Status)
	if reply.Status == http.StatusOK && !reply.IsComplete {
		name = "200 broken off"
	}
	c.count(c.report.Answers, name)
	c.checkAnswer(call, reply)
	return reply, call.ID
}

// checkEvents checks that what came of a stream, whether it is whole or broke off, is the
// request's own and without a gap.
func (c *caller) checkEvents(call standin.Call, reply standin.Reply) {
	c.count(c.report.Checks, "events")
	want := ""
	for number := range len(reply.Events()) {
		want += fmt.Sprintf("%s.%d\n", call.ID, call.LastEventID+number+1)
	}
	if got := (standin.Reply{Body: wholeEvents(reply.Body)}).EventData(); !strings.HasPrefix(want, got) {
		c.violate("ORDER: %s, resumed after %d, got the data %q", call.ID, call.LastEventID, got)
	}
}

func (c *caller) checkAnswer(call standin.Call, reply standin.Reply) {
	if reply.Status == http.StatusOK && call.MaxTokens > 0 {
		c.checkEvents(call, reply)
	}
	if reply.Status != http.StatusOK || !reply.IsComplete {
		return
	}
	c.count(c.report.Checks, "answer")
	if reply.Signature() != standin.SignatureOf(call.ID) {
		c.violate("MIXED: %s was answered with the signature %q", call.ID, reply.Signature())
	}
	if call.MaxTokens > 0 {
		if versions := reply.Versions(); len(versions) > 1 {
			c.violate("ORDER: %s got events of versions %v", call.ID, versions)
		}
		if !slices.Equal([]int{1, 2, 3, 4, 5}[call.LastEventID:], reply.Events()) {
			c.violate("ORDER: %s got the events %v", call.ID, reply.Events())
		}
		return
	}
	if want := "answer to " + call.ID + "\n"; reply.Body != want {
		c.violate("MIXED: %s was answered %q", call.ID, reply.Body)
	}
}

// check checks what can be said only when everything has ended: how often each
// request ran, and that each kept turn is found again.
func (c *caller) check(ctx context.Context) {
	for _, s := range c.sent {
		runs, _ := c.runsOf(s.call.ID)
		c.checkAccount(s.call)
		idempotent := s.call.Path == standin.PathLookup+"x" || s.call.Path == standin.PathSession+"x"
		c.count(c.report.Checks, "at most once")
		if runs > 1 && !idempotent {
			c.violate("TWICE: %s ran %d times", s.call.ID, runs)
		}
		if s.reply.IsNotRun() && runs > 0 && !idempotent {
			c.violate("REFUSED: %s was answered %d, but ran", s.call.ID, s.reply.Status)
		}
	}
	for _, kept := range c.kept[max(0, len(c.kept)-lastTries):] {
		c.count(c.report.Checks, "kept turn")
		if !c.isFound(ctx, kept) {
			c.violate("LOST: turn %s is not found after the faults", kept.id)
		}
	}
}

func (c *caller) isFound(ctx context.Context, kept keptTurn) bool {
	for try := range lastTries {
		reply, id := c.do(ctx, standin.Call{
			Path: standin.PathRetained + "x", Body: "again\n", Program: fmt.Sprintf("new-%d-%d", c.index, c.requests),
			Budget: callerBudget, MaxTokens: callerMost, Previous: kept.id,
		})
		if reply.Status == http.StatusOK && reply.IsComplete {
			c.checkBody(id, kept.transcript+"again\n")
			return true
		}
		sleep(ctx, time.Duration(try+1)*300*time.Millisecond)
	}
	return false
}
