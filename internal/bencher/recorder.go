package bencher

import (
	"math"
	"slices"
	"time"
)

// recorder collects the raw observations of a run.
type recorder struct {
	config Config
	// programs holds one sample per finished root program that counts.
	programs     []sample
	firstByAgent map[string][]time.Duration
	gaps         []time.Duration
	// waitingHosts and waitingTrims count waiting turns per instance.
	waitingHosts map[int]int
	waitingTrims map[int]int

	prefill, wasted, reusable int
	held, heldEnded           int
	refusals, hangups         int
	failures, gaveUp, cut     int
	tallies                   int
	hostInversions            int
	trimInversions            int
	moves, turns              int
	lastEngine                map[string]int
	leavingSince              time.Duration
	late                      int
}

// sample is the outcome of one program.
type sample struct {
	agent    string
	business string
	latency  time.Duration
	elapsed  time.Duration
	ideal    time.Duration
}

func newRecorder(c Config) *recorder {
	return &recorder{
		config: c, firstByAgent: make(map[string][]time.Duration),
		waitingHosts: make(map[int]int), waitingTrims: make(map[int]int),
		lastEngine: make(map[string]int),
	}
}

// counts says whether the program arrived after the warm-up.
func (r *recorder) counts(p *program) bool {
	return p.arrived.Sub(epoch) >= r.config.Warmup
}

func (r *recorder) ready(*turn) { r.turns++ }

// waits notes that a turn waits at its owner.
func (r *recorder) waits(t *turn) { r.change(t, 1) }

// leaves notes that a turn waits no longer.
func (r *recorder) leaves(t *turn) { r.change(t, -1) }

func (r *recorder) change(t *turn, by int) {
	switch t.program.agent.Name {
	case agentHost:
		r.waitingHosts[t.program.owner] += by
	case agentTrim:
		r.waitingTrims[t.program.owner] += by
	}
}

func (r *recorder) dispatched(now time.Duration, instance int, t *turn, e *engine) {
	if t.program.agent.Name == agentTally {
		r.tallies++
		if r.waitingHosts[instance] > 0 {
			r.hostInversions++
		}
		if r.waitingTrims[instance] > 0 {
			r.trimInversions++
		}
	}
	if last, ok := r.lastEngine[t.program.id]; ok && last != e.index {
		r.moves++
	}
	r.lastEngine[t.program.id] = e.index
	if e.leaving && now > r.leavingSince+leavingGrace {
		r.late++
	}
}

func (r *recorder) prefilled(g *generation, p *program) {
	r.prefill += g.prefill
	reusable := min(p.computed, g.turn.prompt-1)
	r.reusable += reusable
	r.wasted += max(reusable-g.cached, 0)
}

func (r *recorder) firstToken(t *turn, now time.Time) {
	if r.counts(t.program) {
		name := t.program.agent.Name
		r.firstByAgent[name] = append(r.firstByAgent[name], now.Sub(t.ready))
	}
}

func (r *recorder) gap(t *turn, gap time.Duration) {
	if r.counts(t.program) {
		r.gaps = append(r.gaps, gap)
	}
}

func (r *recorder) completed(p *program, now time.Time) {
	if p.parent != nil || !r.counts(p) {
		return
	}
	elapsed := now.Sub(p.arrived)
	r.programs = append(r.programs, sample{
		agent: p.agent.Name, business: p.agent.Business,
		latency: elapsed - p.paused, elapsed: elapsed, ideal: p.ideal,
	})
}

func (r *recorder) abandoned(p *program) {
	if p.parent == nil && r.counts(p) {
		r.gaveUp++
	}
}

// Latency sums up a set of durations, in seconds.
type Latency struct {
	Count               int
	Mean, P50, P95, P99 float64
}

// Figures are the results of one run.
type Figures struct {
	// Programs covers all root programs but loops without end; latency is the time
	// from arrival to the last answer less the pauses of tools and people.
	Programs Latency
	Agents   map[string]Latency
	Business map[string]Latency
	// FirstToken is the time to first token of the turns, Hosts that of hosts.
	FirstToken Latency
	HostFirst  Latency
	// Gap is the mean time between tokens of the turns.
	Gap Latency
	// WastedShare is the part of the prefill that some engine had done before for
	// the same program; AgainShare is the part of the reusable prefix prefilled again.
	WastedShare float64
	AgainShare  float64
	// HeldEndedShare is the part of the held token-seconds that belonged to
	// ended programs, HeldEnded those token-seconds a program.
	HeldEndedShare float64
	HeldEnded      float64
	// Fairness is Jain's index over the speeds of programs, BusinessFairness over
	// the mean speeds of the businesses; speed is the ideal latency over the real one.
	Fairness         float64
	BusinessFairness float64
	// HostBehindTally and TrimBehindTally are the shares of tally dispatches made while
	// a host's or a trim chat's turn waited on the same instance.
	HostBehindTally float64
	TrimBehindTally float64
	// MoveShare is the part of the dispatches that went to another engine than
	// the program's dispatch before.
	MoveShare float64
	Refused   int
	Hangups   int
	Failures  int
	// Abandoned counts programs that did not finish, Unfinished those cut by the
	// end of the run.
	Abandoned  int
	Unfinished int
	// LateDispatches counts work sent to a leaving engine after its grace, Cut the
	// generations that it took with it.
	LateDispatches int
	Cut            int
}

func (r *recorder) figures(d *driver) Figures {
	f := Figures{Agents: make(map[string]Latency), Business: make(map[string]Latency)}
	f.Unfinished = d.active
	byAgent, byBusiness := map[string][]time.Duration{}, map[string][]time.Duration{}
	speeds := map[string][]float64{}
	var all []time.Duration
	var allSpeeds []float64
	for _, s := range r.programs {
		byAgent[s.agent] = append(byAgent[s.agent], s.latency)
		if s.agent == agentLoop {
			continue
		}
		all = append(all, s.latency)
		byBusiness[s.business] = append(byBusiness[s.business], s.latency)
		speed := s.ideal.Seconds() / max(s.latency.Seconds(), 1e-9)
		allSpeeds = append(allSpeeds, speed)
		speeds[s.business] = append(speeds[s.business], speed)
	}
	f.Programs = summarize(all)
	for name, latencies := range byAgent {
		f.Agents[name] = summarize(latencies)
	}
	for name, latencies := range byBusiness {
		f.Business[name] = summarize(latencies)
	}
	f.Fairness = jain(allSpeeds)
	f.BusinessFairness = jain([]float64{mean(speeds[businessCatalogue]), mean(speeds[businessBuffet])})
	r.addTurns(&f)
	r.addCounts(&f)
	return f
}

func (r *recorder) addTurns(f *Figures) {
	var first []time.Duration
	for _, a := range append(agents(), &helper) {
		first = append(first, r.firstByAgent[a.Name]...)
	}
	f.FirstToken = summarize(first)
	f.HostFirst = summarize(r.firstByAgent[agentHost])
	f.Gap = summarize(r.gaps)
}

func (r *recorder) addCounts(f *Figures) {
	f.WastedShare = ratio(r.wasted, r.prefill)
	f.AgainShare = ratio(r.wasted, r.reusable)
	f.HeldEndedShare = ratio(r.heldEnded, r.held)
	f.HeldEnded = ratio(r.heldEnded, len(r.programs))
	f.HostBehindTally = ratio(r.hostInversions, r.tallies)
	f.TrimBehindTally = ratio(r.trimInversions, r.tallies)
	f.MoveShare = ratio(r.moves, r.turns)
	f.Refused, f.Hangups, f.Failures, f.Abandoned = r.refusals, r.hangups, r.failures, r.gaveUp
	f.LateDispatches, f.Cut = r.late, r.cut
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// jain returns Jain's fairness index, 1 when all values are equal.
func jain(values []float64) float64 {
	var sum, squares float64
	for _, v := range values {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(values)) * squares)
}

// summarize sorts the durations and sums them up.
func summarize(durations []time.Duration) Latency {
	l := Latency{Count: len(durations)}
	if len(durations) == 0 {
		return l
	}
	slices.Sort(durations)
	total := 0.0
	for _, d := range durations {
		total += d.Seconds()
	}
	l.Mean = total / float64(len(durations))
	l.P50 = quantile(durations, 0.50)
	l.P95 = quantile(durations, 0.95)
	l.P99 = quantile(durations, 0.99)
	return l
}

// quantile returns the nearest-rank quantile of sorted durations, in seconds.
func quantile(sorted []time.Duration, q float64) float64 {
	rank := int(math.Ceil(q * float64(len(sorted))))
	return sorted[max(rank, 1)-1].Seconds()
}
