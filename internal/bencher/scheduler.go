package bencher

import (
	"time"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/evictor"
	"github.com/wigeonstand/wigeonstand/internal/limiter"
	"github.com/wigeonstand/wigeonstand/internal/queuer"
	"github.com/wigeonstand/wigeonstand/internal/router"
)

// Features selects the parts of a scheduler besides its queue and its router.
type Features struct {
	Queue   string
	Routing string
	// StarvedEvery is passed to the queue if it is set.
	StarvedEvery int
	// Release frees the caches of ended programs.
	Release bool
	// Admission refuses turns that would not be served in time.
	Admission bool
	// Window bounds the generations on an engine by their latency.
	Window bool
	// Gaps lets the router see the engines' times between tokens.
	Gaps bool
	// Evict drops the caches of programs with long pauses under pressure.
	Evict bool
}

// scheduler is a Policy made of the queue, the router and the limiters.
type scheduler struct {
	features Features
	queue    queuer.Queue
	router   router.Router
	retries  *limiter.RetryBudget
	feasible *limiter.AdmissionController
	evictor  *evictor.Evictor
	view     *view
	waiting  map[string]*Arrival
	sent     map[string]*Arrival
	outputs  map[string]float64
	actions  []Action
	// urgent counts the waiting turns of precedence 0.
	urgent int
}

// newScheduler returns the Policy of one instance.
func newScheduler(features Features, engines int, seed uint64, now time.Time) *scheduler {
	policy := compiler.Policy{Queue: features.Queue, Routing: features.Routing}
	var options []queuer.Option
	if features.StarvedEvery > 0 {
		options = append(options, queuer.WithStarvedInterval(features.StarvedEvery))
	}
	return &scheduler{
		features: features,
		queue:    queuer.New(policy, options...),
		router:   router.New(policy, seed),
		retries:  limiter.NewRetryBudget(seed),
		feasible: limiter.NewAdmissionController(),
		evictor:  evictor.New(),
		view:     newView(engines, features, now),
		waiting:  make(map[string]*Arrival),
		sent:     make(map[string]*Arrival),
		outputs:  make(map[string]float64),
	}
}

// Waiting implements Policy.
func (s *scheduler) Waiting() int { return s.queue.Len() }

// Handle implements Policy.
func (s *scheduler) Handle(now time.Time, event Event) []Action {
	s.actions = nil
	switch {
	case event.Arrival != nil:
		s.arrive(now, event.Arrival)
	case event.Hangup != nil:
		s.hangup(event.Hangup.Turn)
	case event.Started != nil:
		s.view.started(now, event.Started)
	case event.Finished != nil:
		s.finish(now, event.Finished)
	case event.Failed != nil:
		s.fail(now, event.Failed)
	case event.Ended != nil:
		s.end(event.Ended.Program)
	case event.Load != nil:
		s.view.report(now, event.Load)
	case event.Cache != nil:
		s.view.cached(now, event.Cache)
	}
	if event.Cache == nil && event.Started == nil {
		s.serve(now)
	}
	return s.actions
}

func (s *scheduler) arrive(now time.Time, a *Arrival) {
	s.retries.Earn(now, a.Business, 0)
	s.evictor.TurnArrived(now, a.Program, a.Agent)
	s.push(now, a)
	if s.features.Admission {
		s.admit(now, a)
	}
}

// admit takes a turn out again that would not be served in time.
func (s *scheduler) admit(now time.Time, a *Arrival) {
	position := s.queue.Position(now, a.Turn)
	comeBack, ok := s.feasible.Admit(now, position, a.Left)
	if ok {
		return
	}
	s.hangup(a.Turn)
	s.actions = append(s.actions, Action{Refuse: &Refuse{Turn: a.Turn, ComeBack: comeBack}})
}

func (s *scheduler) hangup(turn string) {
	a, ok := s.waiting[turn]
	if !ok {
		return
	}
	s.queue.Remove(turn)
	delete(s.waiting, turn)
	s.view.waits(a, -1)
	s.countUrgent(a, -1)
}

func (s *scheduler) countUrgent(a *Arrival, by int) {
	if a.Precedence <= 0 {
		s.urgent += by
	}
}

func (s *scheduler) push(now time.Time, a *Arrival) {
	s.waiting[a.Turn] = a
	s.view.waits(a, 1)
	s.countUrgent(a, 1)
	s.queue.Push(queuer.Item{
		ID: a.Turn, Program: a.Program, Business: a.Business, Weight: a.Weight,
		Precedence: a.Precedence, Attained: a.Attained, Estimate: s.estimate(a), Arrived: now,
	})
}

// estimate returns the expected service of the turn, in tokens.
func (s *scheduler) estimate(a *Arrival) int {
	output, ok := s.outputs[a.Agent]
	if !ok {
		output = float64(a.MaxOutput) / 2
	}
	missing := a.Prompt - s.view.bestPrefix(a)
	return max(missing, 0) + int(output)
}

// serve dispatches while a waiting turn can be placed.
func (s *scheduler) serve(now time.Time) {
	s.view.refreshGap()
	for s.queue.Len() > 0 {
		room := s.view.hasRoom(now)
		if !room && s.urgent == 0 && !s.view.anyAtLast(now) {
			break
		}
		chosen := -1
		item, ok := s.queue.Next(now, func(item queuer.Item) bool {
			chosen = s.place(now, item, room)
			return chosen >= 0
		})
		if !ok {
			break
		}
		s.dispatch(now, s.waiting[item.ID], chosen)
	}
	s.feasible.SetBacklog(now, s.queue.Len())
}

// place returns the engine for the item, or -1. Without room anywhere only the
// engine that served the program's last turn is tried.
func (s *scheduler) place(now time.Time, item queuer.Item, room bool) int {
	a := s.waiting[item.ID]
	candidates, engines := s.view.candidates(now, a, !room && !item.Urgent)
	if len(candidates) == 0 {
		return -1
	}
	i, picked := s.router.Pick(s.view.request(a, item.Urgent), candidates)
	if !picked {
		return -1
	}
	return engines[i]
}

func (s *scheduler) dispatch(now time.Time, a *Arrival, engine int) {
	delete(s.waiting, a.Turn)
	s.view.waits(a, -1)
	s.countUrgent(a, -1)
	s.sent[a.Turn] = a
	s.feasible.RecordDispatch(now)
	s.view.dispatched(now, a, engine)
	s.actions = append(s.actions, Action{Dispatch: &Dispatch{
		Turn: a.Turn, Engine: engine, Priority: a.Precedence,
	}})
}

func (s *scheduler) finish(now time.Time, f *Finished) {
	a := s.sent[f.Turn]
	delete(s.sent, f.Turn)
	s.learnOutput(a.Agent, f.Usage.Generated)
	s.view.finished(now, a, f)
	s.evictor.TurnEnded(now, a.Program)
	if !s.features.Evict {
		return
	}
	pressure, residence := s.view.pressure(f.Engine)
	if s.evictor.Decide(a.Agent, pressure, residence) == evictor.Drop {
		s.release(a.Program, f.Engine)
	}
}

// learnOutput follows the agent's mean output.
func (s *scheduler) learnOutput(agent string, generated int) {
	const gain = 0.1
	mean, ok := s.outputs[agent]
	if !ok {
		mean = float64(generated)
	}
	s.outputs[agent] = mean + gain*(float64(generated)-mean)
}

func (s *scheduler) fail(now time.Time, f *Failed) {
	a := s.sent[f.Turn]
	delete(s.sent, f.Turn)
	s.view.failed(now, a, f.Engine)
	if !s.retries.Spend(now, a.Business) {
		s.actions = append(s.actions, Action{Fail: &Fail{Turn: a.Turn}})
		return
	}
	s.push(now, a)
}

func (s *scheduler) end(program string) {
	s.evictor.ProgramEnded(program)
	engines := s.view.end(program)
	if !s.features.Release {
		return
	}
	for _, engine := range engines {
		s.release(program, engine)
	}
}

func (s *scheduler) release(program string, engine int) {
	s.view.released(program, engine)
	s.actions = append(s.actions, Action{Release: &Release{Program: program, Engine: engine}})
}
