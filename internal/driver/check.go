package driver

import (
	"context"
	"strings"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/fakeengine"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// check checks that the answer is whole and belongs to the request.
func (p *program) check(request TurnRequest, answer TurnAnswer) {
	if answer.Program != p.id || answer.Number != request.Number {
		p.violate("turn %d was answered as turn %d of %s", request.Number, answer.Number, answer.Program)
	}
	if answer.Text == "" {
		p.violate("turn %d has an empty answer", request.Number)
	}
	if answer.Chain != "" && answer.Chain == request.Chain {
		p.violate("turn %d did not change the chain", request.Number)
	}
	if answer.Remaining < 0 {
		p.violate("turn %d left %d tokens of the budget", request.Number, answer.Remaining)
	}
	p.checkStream(request, answer)
	if p.driver.echo {
		p.checkEcho(request, answer)
	}
}

// checkStream checks that the chunks add up to the answer. A recorded answer
// may come without chunks.
func (p *program) checkStream(request TurnRequest, answer TurnAnswer) {
	if answer.Replayed && answer.Stream.Chunks == 0 {
		return
	}
	if answer.Stream.Broken {
		p.violate("turn %d has a gap or an overlap between chunks", request.Number)
	}
	if answer.Stream.Text != answer.Text {
		p.violate("turn %d: chunks differ from the answer: %s", request.Number, cmp.Diff(answer.Text, answer.Stream.Text))
	}
	if got := fakeengine.CountTokens(answer.Text); p.driver.echo && got != answer.Stream.Tokens {
		p.violate("turn %d: chunks tell %d tokens, the answer has %d", request.Number, answer.Stream.Tokens, got)
	}
}

// checkEcho checks that the output names the turn's input and the answer
// before it, as the stand-in engine's does.
func (p *program) checkEcho(request TurnRequest, answer TurnAnswer) {
	words := strings.Fields(answer.Text)
	if len(words) > 0 && words[0] != fakeengine.Digest(request.Input) {
		p.violate("turn %d answers another input", request.Number)
	}
	if len(words) > 1 && len(p.received) > 0 && words[1] != fakeengine.Digest(p.received[len(p.received)-1].Text) {
		p.violate("turn %d was generated from another history", request.Number)
	}
}

// checkBudget checks that the tree's answers cost no more than its budget.
func (p *program) checkBudget() {
	if p.parent == "" && p.budget > 0 && p.spent > p.budget {
		p.violate("%d tokens were spent of a budget of %d", p.spent, p.budget)
	}
}

// checkHistory compares the program's history with what was received. A turn
// that was not answered and may have run may be at its end.
func (p *program) checkHistory(ctx context.Context) {
	var page requester.HistoryPage
	err := p.operate(ctx, "History", time.Now(), func(ctx context.Context) (err error) {
		page, err = p.target.History(ctx, p.id)
		return err
	})
	if err != nil {
		return
	}
	turns := page.Turns
	if p.pending != "" && len(turns) == len(p.received)+1 && turns[len(turns)-1].Input == p.pending {
		turns = turns[:len(turns)-1]
	}
	if page.Program != p.id {
		p.violate("the history is that of %s", page.Program)
	}
	if diff := cmp.Diff(withoutUsage(p.received), withoutUsage(turns)); diff != "" {
		p.violate("the history differs from what was received: %s", diff)
	}
	if p.pending == "" && len(p.received) > 0 && page.Chain != p.chain {
		p.violate("the history's chain is %s, the last answer's %s", page.Chain, p.chain)
	}
}

// withoutUsage returns the turns without their accounts; those of a repeated
// attempt may differ from the answer's.
func withoutUsage(turns []requester.TurnView) []requester.TurnView {
	plain := make([]requester.TurnView, len(turns))
	for i, turn := range turns {
		turn.Usage = generator.Usage{}
		plain[i] = turn
	}
	return plain
}
