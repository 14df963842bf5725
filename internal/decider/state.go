package decider

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/recorder"
	"github.com/wigeonstand/wigeonstand/internal/requester"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
)

// state is the durable state of a shard, with the volatile state of its programs
// and calls. The durable part changes only in apply, so that replaying the records
// rebuilds it.
type state struct {
	programs map[string]*program
	calls    map[string]*call
}

func newState() *state {
	return &state{programs: map[string]*program{}, calls: map[string]*call{}}
}

// program is the state of a program. The budget fields are used only in the root
// of a tree.
type program struct {
	id       string
	business string
	agent    string
	parent   string
	root     *program
	turns    []recorder.TurnCompleted
	chain    string
	ended    bool
	reason   string
	// holdings are the endpoints that may hold memory for the program, including
	// those of attempts that have no record.
	holdings map[string]bool
	elapsed  time.Duration

	// The budget and its use, in tokens. allowed is the recorded upper bound of spent
	// plus reserved, and reserved is the worst case of the turns in progress.
	budget   int
	allowed  int
	spent    int
	reserved int
	// failedTokens is the part of the tree's spent that was charged for failed
	// attempts of this program.
	failedTokens int
	// allowedTicket is the ticket of the append of allowed.
	allowedTicket int64

	live liveState
}

// turnByNumber returns the recorded turn with the number, or nil.
func (p *program) turnByNumber(number int) *recorder.TurnCompleted {
	if number < 1 || number > len(p.turns) {
		return nil
	}
	return &p.turns[number-1]
}

// turnByKey returns the recorded turn with the key, or nil.
func (p *program) turnByKey(key string) *recorder.TurnCompleted {
	if key == "" {
		return nil
	}
	for i := range p.turns {
		if p.turns[i].Key == key {
			return &p.turns[i]
		}
	}
	return nil
}

// contextTokens returns the length of the history as counted by the last engine.
func (p *program) contextTokens() int {
	if len(p.turns) == 0 {
		return 0
	}
	usage := p.turns[len(p.turns)-1].Usage
	return usage.Prompt + usage.Generated
}

// remaining returns how many tokens the tree may still reserve.
func (p *program) remaining() int {
	return p.root.budget - p.root.spent - p.root.reserved
}

// call is a keyed call to a service that is not repeatable.
type call struct {
	intent  recorder.CallIntent
	outcome recorder.CallOutcome

	// invocation is nil unless the call is in progress.
	invocation *invocation
}

func (s *state) apply(r recorder.Record) error {
	switch {
	case r.Opened != nil:
		return s.applyOpened(r.Opened)
	case r.Intended != nil:
		s.calls[requester.CallRoutingKey(r.Intended.Business, r.Intended.Key)] = &call{
			intent:  *r.Intended,
			outcome: recorder.CallOutcome{Business: r.Intended.Business, Key: r.Intended.Key, State: recorder.Pending},
		}
		return nil
	case r.Concluded != nil:
		return s.applyConcluded(r.Concluded)
	}
	return s.applyToProgram(r)
}

func (s *state) applyOpened(r *recorder.ProgramOpened) error {
	if s.programs[r.Program] != nil {
		return eris.Errorf("program %s was opened twice", r.Program)
	}
	p := &program{
		id: r.Program, business: r.Business, agent: r.Agent, parent: r.Parent,
		chain: recorder.FirstChain(r.Program), holdings: map[string]bool{}, budget: r.Budget,
	}
	p.root = p
	if r.Parent != "" {
		root := s.programs[requester.Root(r.Program)]
		if root == nil {
			return eris.Errorf("program %s: unknown root program", r.Program)
		}
		p.root = root
	}
	s.programs[r.Program] = p
	return nil
}

func (s *state) applyConcluded(r *recorder.CallOutcome) error {
	id := requester.CallRoutingKey(r.Business, r.Key)
	c := s.calls[id]
	if c == nil {
		return eris.Errorf("call %s was concluded without an intent", id)
	}
	if r.State == recorder.Voided {
		delete(s.calls, id)
		return nil
	}
	c.outcome = *r
	return nil
}

func (s *state) applyToProgram(r recorder.Record) error {
	switch {
	case r.Allowed != nil:
		p, err := s.lookup(r.Allowed.Program)
		if err != nil {
			return err
		}
		p.allowed = r.Allowed.Limit
	case r.Settled != nil:
		p, err := s.lookup(r.Settled.Program)
		if err != nil {
			return err
		}
		p.failedTokens += r.Settled.Tokens
		p.root.spent += r.Settled.Tokens
	case r.Turned != nil:
		return s.applyTurned(r.Turned)
	case r.Ended != nil:
		p, err := s.lookup(r.Ended.Program)
		if err != nil {
			return err
		}
		p.ended = true
		p.reason = r.Ended.Reason
	case r.Released != nil:
		p, err := s.lookup(r.Released.Program)
		if err != nil {
			return err
		}
		delete(p.holdings, r.Released.Endpoint)
	default:
		return eris.New("record is empty")
	}
	return nil
}

// applyTurned returns an error if the turn does not continue the program's
// history, which detects lost and mixed-up records.
func (s *state) applyTurned(r *recorder.TurnCompleted) error {
	p, err := s.lookup(r.Program)
	if err != nil {
		return err
	}
	if r.Number != len(p.turns)+1 {
		return eris.Errorf("program %s: turn %d follows turn %d", r.Program, r.Number, len(p.turns))
	}
	if r.Chain != recorder.Chain(p.chain, r.Number, r.Input, r.Text) {
		return eris.Errorf("program %s: turn %d does not continue the history", r.Program, r.Number)
	}
	p.turns = append(p.turns, *r)
	p.chain = r.Chain
	p.elapsed = r.Elapsed
	p.root.spent += r.Usage.Total()
	p.holdings[r.Endpoint] = true
	return nil
}

func (s *state) lookup(id string) (*program, error) {
	p := s.programs[id]
	if p == nil {
		return nil, eris.Errorf("program %s was never opened", id)
	}
	return p, nil
}

// records returns a minimal list of records that rebuilds the state.
func (s *state) records() []recorder.Record {
	var all []recorder.Record
	for _, p := range sortedPrograms(s.programs) {
		all = append(all, p.records()...)
	}
	for _, c := range sortedCalls(s.calls) {
		intent, outcome := c.intent, c.outcome
		all = append(all, recorder.Record{Intended: &intent})
		if outcome.State != recorder.Pending {
			all = append(all, recorder.Record{Concluded: &outcome})
		}
	}
	return all
}

func (p *program) records() []recorder.Record {
	all := []recorder.Record{{Opened: &recorder.ProgramOpened{
		Program: p.id, Business: p.business, Agent: p.agent, Parent: p.parent, Budget: p.budget,
	}}}
	for i := range p.turns {
		all = append(all, recorder.Record{Turned: &p.turns[i]})
	}
	if p.root == p {
		all = append(all, recorder.Record{Allowed: &recorder.AllowanceSet{Program: p.id, Limit: p.allowed}})
	}
	return append(all, p.trailingRecords()...)
}

// trailingRecords returns the records that go after those of the turns.
func (p *program) trailingRecords() []recorder.Record {
	var all []recorder.Record
	if p.failedTokens > 0 {
		all = append(all, recorder.Record{Settled: &recorder.TokensCharged{Program: p.id, Attempt: "Snapshot", Tokens: p.failedTokens}})
	}
	if p.ended {
		all = append(all, recorder.Record{Ended: &recorder.ProgramEnded{Program: p.id, Reason: p.reason}})
	}
	for _, endpoint := range p.releasedEndpoints() {
		all = append(all, recorder.Record{Released: &recorder.CacheReleased{Program: p.id, Endpoint: endpoint}})
	}
	return all
}

// encodeSnapshot returns the encoded records, one per line.
func encodeSnapshot(records []recorder.Record) []byte {
	var body []byte
	for _, r := range records {
		body = append(body, recorder.Encode(r)...)
		body = append(body, '\n')
	}
	return body
}

func newEntry(shard int, r recorder.Record) sharder.Entry {
	return sharder.Entry{Shard: shard, Body: recorder.Encode(r)}
}
