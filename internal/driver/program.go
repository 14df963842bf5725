package driver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// program is one program that the driver runs.
type program struct {
	driver *Driver
	target Target
	mix    Mix
	// title is the program's name in every run of the seed. With the run before
	// it, it is the name, which begins every key of the program.
	title   string
	name    string
	arrived time.Time
	random  *rand.Rand
	paused  time.Duration
	parent  string
	id      string
	chain   string
	// budget is that of the program's tree, spent what the tree's answers cost,
	// both in tokens.
	budget   int
	spent    int
	received []requester.TurnView
	// pending is the input of a turn that was not answered and may have run.
	pending string
	broken  bool
}

// newProgram returns the n-th program of the mix, due at the time.
func (d *Driver) newProgram(m Mix, n int, arrived time.Time) *program {
	title := fmt.Sprintf("%s-%d", m.Name, n)
	return &program{
		driver:  d,
		target:  d.targets[m.Business],
		mix:     m,
		title:   title,
		name:    d.run + "-" + title,
		arrived: arrived,
		random:  d.random(m.Name, n),
	}
}

// newChild returns a sub-agent.
func (p *program) newChild(n int) *program {
	child := &program{
		driver:  p.driver,
		target:  p.target,
		mix:     p.mix,
		title:   fmt.Sprintf("%s.%d", p.title, n),
		name:    fmt.Sprintf("%s.%d", p.name, n),
		arrived: time.Now(),
		random:  rand.New(rand.NewPCG(p.random.Uint64(), uint64(n))),
		parent:  p.id,
	}
	child.mix.Turns = p.mix.ChildTurns
	child.mix.Children, child.mix.Calls = Range{}, Range{}
	return child
}

// run runs the program to its end and records it.
func (p *program) run(ctx context.Context) {
	if p.mix.Agent == "" {
		p.callAll(ctx)
	} else {
		p.talk(ctx)
	}
	p.driver.recorder.program(p.mix.Name, !p.broken, time.Since(p.arrived)-p.paused)
}

// callAll makes the service calls of the program.
func (p *program) callAll(ctx context.Context) {
	calls := p.mix.Calls.draw(p.random)
	for n := 1; n <= calls && !p.broken; n++ {
		p.call(ctx, n)
	}
}

// talk opens the program, takes its turns, makes its calls, checks its history
// and ends it.
func (p *program) talk(ctx context.Context) {
	if !p.open(ctx) {
		return
	}
	turns := p.mix.Turns.draw(p.random)
	tools := ""
	for n := 1; n <= turns && !p.broken; n++ {
		due := p.pauseBefore(ctx, n)
		p.turn(ctx, n, due, tools)
		tools = ""
		if n == (turns+1)/2 && !p.broken {
			tools = p.delegate(ctx)
		}
	}
	p.callAll(ctx)
	p.checkBudget()
	p.checkHistory(ctx)
	p.end(ctx)
}

// pauseBefore waits before a turn and returns when the turn was due.
func (p *program) pauseBefore(ctx context.Context, n int) time.Time {
	if n == 1 {
		return time.Now()
	}
	d := p.mix.pauseTime(p.random, p.driver.pauses)
	due := time.Now().Add(d)
	_ = pause(ctx, d)
	p.paused += d
	return due
}

// operate sends one request, records what became of it and says whether it was
// answered whole. Its latency counts from when it was due.
func (p *program) operate(ctx context.Context, operation string, due time.Time, send func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, p.driver.timeout)
	defer cancel()
	err := send(ctx)
	p.driver.recorder.operation(p.mix.Name, operation, outcomeOf(err), kindOf(err), time.Since(due))
	if outcomeOf(err) == Cut {
		p.driver.log.Log(AnswerCut, "Operation", operation, "Program", p.id, "Name", p.name, "Cause", err)
	}
	if err != nil {
		p.broken = true
	}
	return err
}

func (p *program) open(ctx context.Context) bool {
	request := OpenRequest{Agent: p.mix.Agent, Parent: p.parent, Key: p.name}
	err := p.operate(ctx, "Open", p.arrived, func(ctx context.Context) error {
		opened, err := p.target.Open(ctx, request)
		p.id, p.chain, p.budget = opened.Program, opened.Chain, opened.Budget
		return err
	})
	if err == nil && p.id == "" {
		p.violate("the program opened has no id")
		p.broken = true
	}
	return err == nil && !p.broken
}

// turn takes the n-th turn. Tools is what sub-agents have answered.
func (p *program) turn(ctx context.Context, n int, due time.Time, tools string) {
	request := TurnRequest{
		Program:   p.id,
		Number:    n,
		Key:       fmt.Sprintf("%s/%d", p.name, n),
		Input:     p.input(n, tools),
		MaxTokens: p.mix.Output.draw(p.random),
		Chain:     p.chain,
	}
	if n == 1 && p.parent == "" {
		due = p.arrived
	}
	var answer TurnAnswer
	err := p.operate(ctx, "Turn", due, func(ctx context.Context) (err error) {
		answer, err = p.target.Turn(ctx, request)
		return err
	})
	if err != nil {
		if outcomeOf(err) != NotRun {
			p.pending = request.Input
		}
		return
	}
	p.record(n, due, answer)
	p.check(request, answer)
	p.chain = answer.Chain
	p.received = append(p.received, requester.TurnView{
		Number: n,
		Input:  request.Input,
		Text:   answer.Text,
		Usage:  answer.Usage,
		Chain:  answer.Chain,
	})
}

// record records an answer that arrived just now.
func (p *program) record(n int, due time.Time, answer TurnAnswer) {
	held := 0
	if len(p.received) > 0 {
		held = p.received[len(p.received)-1].Usage.Total()
	}
	p.spent += answer.Usage.Total()
	p.driver.recorder.stream(p.mix.Name, due, held, answer)
	p.driver.recorder.sample(Sample{
		Mix:        p.mix.Name,
		Name:       fmt.Sprintf("%s/%d", p.title, n),
		Turn:       time.Since(due),
		FirstToken: answer.Stream.First.Sub(due),
		LastToken:  answer.Stream.last.Sub(due),
	})
}

// input returns the words of the n-th turn; no other turn has the same.
func (p *program) input(n int, tools string) string {
	words := []string{fmt.Sprintf("%s/%d", p.name, n)}
	for range p.mix.Input.draw(p.random) - 1 {
		words = append(words, fmt.Sprintf("w%d", p.random.IntN(1000)))
	}
	if tools != "" {
		words = append(words, tools)
	}
	return strings.Join(words, " ")
}

// delegate runs sub-agents side by side and returns what they have answered.
func (p *program) delegate(ctx context.Context) string {
	children := make([]*program, p.mix.Children.draw(p.random))
	var running sync.WaitGroup
	for i := range children {
		children[i] = p.newChild(i + 1)
	}
	for _, child := range children {
		running.Go(func() { child.talk(ctx) })
	}
	running.Wait()
	var answers []string
	var paused time.Duration
	for _, child := range children {
		paused = max(paused, child.paused)
		p.spent += child.spent
		p.broken = p.broken || child.broken
		if len(child.received) > 0 {
			answers = append(answers, child.received[len(child.received)-1].Text)
		}
	}
	p.paused += paused
	return strings.Join(answers, " ")
}

// end ends the program; it is tried also after a turn has failed.
func (p *program) end(ctx context.Context) {
	err := p.operate(ctx, "End", time.Now(), func(ctx context.Context) error {
		return p.target.End(ctx, p.id)
	})
	if err == nil {
		p.driver.recorder.end(p.id)
	}
}

// callBody is the body of a service call.
type callBody struct {
	Key   string
	Cents int
}

// call posts to the mix's service with a key that is used once.
func (p *program) call(ctx context.Context, n int) {
	key := fmt.Sprintf("%s-c%d", p.name, n)
	request := CallRequest{
		Service: p.mix.Service,
		Path:    "postings/" + key,
		Key:     key,
		Program: p.id,
		Body:    encode(callBody{Key: key, Cents: p.random.IntN(10000)}),
	}
	due := time.Now()
	if p.mix.Agent == "" {
		due = p.arrived
	}
	var answer CallAnswer
	err := p.operate(ctx, "Call", due, func(ctx context.Context) (err error) {
		answer, err = p.target.Call(ctx, request)
		return err
	})
	p.driver.recorder.call(Call{
		Service: request.Service,
		Path:    "/" + request.Path,
		Key:     key,
		Outcome: outcomeOf(err),
		Status:  answer.Status,
	})
	if err == nil && answer.Status < http.StatusMultipleChoices && !strings.Contains(string(answer.Body), key) {
		p.violate("the answer to call %s does not name it: %.200s", key, answer.Body)
	}
}

// violate records that something that must always hold did not.
func (p *program) violate(format string, args ...any) {
	p.driver.recorder.violate(Violation{
		Mix:     p.mix.Name,
		Program: p.id,
		Name:    p.name,
		Text:    fmt.Sprintf(format, args...),
	})
}
