package bencher

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/chooser"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// The endpoints and the requests of the model of even load.
const (
	evenSlots    = 6
	evenTurnover = 400 * time.Millisecond
	evenTransit  = 2 * time.Millisecond
	// evenDistance is the further time to another data centre.
	evenDistance = 5 * time.Millisecond
	// evenUsed is the part of the endpoints' capacity that the requests need.
	evenUsed = 0.8
	// perBookkeeper is the number of instances for each bookkeeper.
	perBookkeeper = 20
	// A run has evenRequests requests, or as many as arrive in evenLength if these are more.
	evenRequests = 20_000
	evenLength   = 5 * time.Second
	// evenWarmup is the time from the start that is not counted.
	evenWarmup = 3 * time.Second
	// sampleInterval is the time between two samples of all loads.
	sampleInterval = 50 * time.Millisecond
	// evenPause is the mean time between two turns of a program, and evenCached the part of a
	// turn's work that its home saves.
	evenPause  = 300 * time.Millisecond
	evenCached = 0.25
	// invitationMaxAge is how long an endpoint with free places counts as inviting.
	invitationMaxAge = 2 * time.Second
	exploredShare    = 8
	// Neighbours slow a machine down for burstLength, burstShare of the time.
	burstLength = 600 * time.Millisecond
	burstShare  = 0.15
	burstPace   = 2.5
	swingPeriod = 17 * time.Second
)

// EvenConfig describes a run of the model of even load.
type EvenConfig struct {
	Instances, Endpoints int
	// Age is the age of the loads that all instances know of all endpoints.
	Age    time.Duration
	Policy EvenPolicy
	// Speeds are the endpoints' speeds in rotation.
	Speeds []float64
	// Bursts slows machines down for short times.
	Bursts bool
	// Turns is the number of turns of a program; those after the first one have a home.
	Turns int
	// Swing is by how much the arrivals oscillate, over 17 s.
	Swing float64
	// Centres is the number of data centres, in each of which the arrivals oscillate with
	// another phase.
	Centres int
	// Requests is the number of requests, those of the warm-up included; if it is 0, it
	// follows from the endpoints' capacity.
	Requests int
	Seed     uint64
}

// Knowledge is what an instance knows beside the reported loads.
type Knowledge int

// The kinds of knowledge, each of which contains the one before.
const (
	// Reports are the reported loads alone.
	Reports Knowledge = iota
	// OwnSends are the instance's own requests that began or ended after the reports.
	OwnSends
	// ToldSends are those that all instances told the bookkeeper of the request.
	ToldSends
)

// EvenPolicy is a policy of the comparison.
type EvenPolicy struct {
	Name      string
	Knowledge Knowledge
	// choose selects among all endpoints. If it is nil, the product's chooser selects among Sampled ones.
	choose  func(m *evenModel, w chooser.Work, candidates []registrar.Candidate) int
	Sampled int
	// ownHome is set if choose decides whether a turn stays at its home; otherwise the
	// product's chooser does.
	ownHome bool
	// Invited is set if endpoints that respond with free places are taken first, but for one
	// in exploredShare requests.
	Invited bool
}

// evenEndpoint is the truth of one endpoint.
type evenEndpoint struct {
	running int
	waiting []*evenRequest
	speed   float64
	slowed  bool
	draws   *rand.Rand
}

type evenRequest struct {
	instance int
	work     time.Duration
	sentAt   time.Time
	// left is the number of turns to come, and home the endpoint of the last one; -1 for none.
	left, home int
	hasPlaces  bool
	transit    time.Duration
	// draws are the program's own, so that they are the same under each policy.
	draws *rand.Rand
}

func (r *evenRequest) isCounted() bool { return r.sentAt.Sub(epoch) >= evenWarmup }

// change is a request that began or ended at an endpoint.
type change struct {
	endpoint, by int
	expires      time.Time
	told         uint64
}

type invitation struct {
	endpoint int
	at       time.Time
}

// evenModel is a run of the model. All instances know each load as it was Age ago, and the
// same requests arrive under each policy.
type evenModel struct {
	EvenConfig
	*clock
	arrivals, choices *rand.Rand
	endpoints         []evenEndpoint
	// view holds the reported loads.
	view    []registrar.Candidate
	sample  []registrar.Candidate
	indexes []int
	// recent holds each instance's changes that are younger than the reports, and boards
	// those that the bookkeepers were told, by endpoint.
	recent  [][]change
	boards  [][]int
	invites [][]invitation
	rate    float64
	sent    int
	ended   int
	figures EvenFigures
	waits   []time.Duration
	samples int
}

// EvenFigures are the results of a run.
type EvenFigures struct {
	// Highest is the mean over time of the highest load in relation to the mean load.
	Highest float64
	// Above is the mean part of the endpoints with more requests than slots while another
	// has a free slot, in percent.
	Above float64
	// P50 and P99 are of the waits for a slot.
	P50, P99 time.Duration
	// Mean is of the times from sending to the end.
	Mean time.Duration
	// Remote is the part of the requests that went to another data centre, in percent.
	Remote float64
}

// RunEven runs the model.
func RunEven(c EvenConfig) EvenFigures {
	m := &evenModel{
		EvenConfig: c, clock: newClock(), arrivals: rand.New(rand.NewPCG(c.Seed, 1)), choices: rand.New(rand.NewPCG(c.Seed, 2)),
		endpoints: make([]evenEndpoint, c.Endpoints), recent: make([][]change, c.Instances),
		boards: make([][]int, (c.Instances+perBookkeeper-1)/perBookkeeper), invites: make([][]invitation, c.Instances),
	}
	for i := range m.boards {
		m.boards[i] = make([]int, c.Endpoints)
	}
	capacity := 0.0
	for i := range m.endpoints {
		speed := 1.0
		if len(c.Speeds) > 0 {
			speed = c.Speeds[i%len(c.Speeds)]
		}
		m.endpoints[i].speed, m.endpoints[i].draws = speed, rand.New(rand.NewPCG(c.Seed, uint64(i)))
		capacity += speed * evenSlots / evenTurnover.Seconds()
		excess := 1/speed - 1
		m.view = append(m.view, registrar.Candidate{
			Endpoint: registrar.Endpoint{ID: strconv.Itoa(i), Slots: evenSlots, DataCentre: m.centreOf(i)}, Age: c.Age,
			Speed: registrar.Speed{PrefillExcess: excess, GenerationExcess: excess},
		})
		if c.Bursts {
			m.scheduleBurst(i)
		}
	}
	if c.Bursts {
		capacity /= 1 + burstShare*(burstPace-1)
	}
	m.rate = capacity * evenUsed / float64(max(c.Turns, 1))
	if c.Requests == 0 {
		m.Requests = max(evenRequests, int(capacity*evenUsed*evenLength.Seconds()))
	}
	m.scheduleArrival()
	m.after(sampleInterval, m.sampleLoads)
	for m.ended < m.Requests {
		m.step()
	}
	f := m.figures
	slices.Sort(m.waits)
	f.P50, f.P99 = m.waits[len(m.waits)/2], m.waits[len(m.waits)*99/100]
	f.Highest, f.Above, f.Mean = f.Highest/float64(m.samples), 100*f.Above/float64(m.samples), f.Mean/time.Duration(len(m.waits))
	f.Remote *= 100 / float64(m.Requests)
	return f
}

func (m *evenModel) scheduleArrival() {
	if m.sent == m.Requests {
		return
	}
	// The oscillation is that of the arrival rate at the time of the previous arrival.
	rate := 0.0
	for i := range max(m.Centres, 1) {
		rate += m.centreRate(i)
	}
	m.after(time.Duration(m.arrivals.ExpFloat64()/rate*float64(time.Second)), m.arrive)
}

// centreRate returns the rate of arrivals in a data centre.
func (m *evenModel) centreRate(i int) float64 {
	n := max(m.Centres, 1)
	return m.rate / float64(n) * (1 + m.Swing*triangle(m.elapsed()+time.Duration(i)*swingPeriod/time.Duration(n), swingPeriod))
}

// centreOf returns the data centre of an endpoint or an instance.
func (m *evenModel) centreOf(i int) string { return strconv.Itoa(i % max(m.Centres, 1)) }

// arrivalInstance returns the instance of the next arrival. Callers' connections are spread
// unevenly: the square favours the first instances.
func (m *evenModel) arrivalInstance() int {
	u, n := m.arrivals.Float64(), max(m.Centres, 1)
	instance := int(u * u * float64(m.Instances))
	total := 0.0
	for i := range n {
		total += m.centreRate(i)
	}
	centre, left := 0, m.arrivals.Float64()*total
	for left -= m.centreRate(0); left > 0 && centre < n-1; left -= m.centreRate(centre) {
		centre++
	}
	return min(instance/n*n+centre, m.Instances-1)
}

// triangle returns the value in [-1, 1] of a triangular oscillation.
func triangle(at, period time.Duration) float64 {
	x := float64(at%period) / float64(period)
	return 1 - 4*max(x-0.5, 0.5-x)
}

func (m *evenModel) scheduleBurst(i int) {
	draws := m.endpoints[i].draws
	pause := time.Duration(draws.ExpFloat64() * float64(burstLength) * (1 - burstShare) / burstShare)
	m.after(pause, func() {
		m.endpoints[i].slowed = true
		m.after(m.Age, func() { m.view[i].Pace = burstPace })
		m.after(burstLength, func() {
			m.endpoints[i].slowed = false
			m.after(m.Age, func() { m.view[i].Pace = 1 })
			m.scheduleBurst(i)
		})
	})
}

func (m *evenModel) arrive() {
	r := &evenRequest{
		instance: m.arrivalInstance(), left: max(m.Turns, 1) - 1, home: -1,
		draws: rand.New(rand.NewPCG(m.Seed, m.arrivals.Uint64())),
	}
	m.scheduleArrival()
	m.send(r)
}

func (m *evenModel) send(r *evenRequest) {
	if m.sent == m.Requests {
		return
	}
	m.sent++
	r.sentAt, r.work = m.now, time.Duration(r.draws.ExpFloat64()*float64(evenTurnover))
	e := m.place(r, r.draws.IntN(len(m.boards)))
	if e == r.home {
		r.work -= time.Duration(evenCached * float64(r.work))
	}
	r.home = e
	r.transit = evenTransit
	if m.centreOf(e) != m.centreOf(r.instance) {
		r.transit += evenDistance
		m.figures.Remote++
	}
	m.record(r.instance, e, 1, r.transit)
	m.after(r.transit, func() { m.begin(e, r) })
}

// place returns the endpoint that the policy selects.
func (m *evenModel) place(r *evenRequest, bookkeeper int) int {
	adjust := m.changes(r.instance, bookkeeper)
	m.sample, m.indexes = m.sample[:0], m.indexes[:0]
	add := func(i int, isInviting bool) {
		c := m.view[i]
		c.Load, c.IsInviting = max(c.Load+float64(adjust(i)), 0), isInviting
		m.sample, m.indexes = append(m.sample, c), append(m.indexes, i)
	}
	w := chooser.Work{DataCentre: m.centreOf(r.instance), Prefill: evenTurnover / 2, Generation: evenTurnover / 2, Turnover: evenTurnover}
	isSampled := m.Policy.choose == nil
	if r.home >= 0 {
		w.Home, w.Cached = m.view[r.home].ID, time.Duration(evenCached*float64(evenTurnover))
		if isSampled {
			add(r.home, false)
		}
	}
	invited := m.invitation(r.instance)
	if invited >= 0 {
		add(invited, true)
	}
	switch {
	case invited >= 0 && m.centreOf(invited) == w.DataCentre:
	case isSampled:
		add(m.choices.IntN(m.Endpoints), false)
		// The others are of the own data centre.
		n := max(m.Centres, 1)
		for range m.Policy.Sampled - 1 {
			add(m.choices.IntN(m.Endpoints/n)*n+r.instance%n, false)
		}
	default:
		for i := range m.Endpoints {
			add(i, false)
		}
	}
	if isSampled {
		return m.indexes[chooser.ForWork(w, m.sample)]
	}
	other := m.Policy.choose(m, w, m.sample)
	if r.home >= 0 && !m.Policy.ownHome && chooser.ForWork(w, []registrar.Candidate{m.sample[r.home], m.sample[other]}) == 0 {
		return r.home
	}
	return other
}

// invitation returns the endpoint that invited the instance last, one of its data centre if
// any; -1 if there is none.
func (m *evenModel) invitation(instance int) int {
	list := m.invites[instance]
	if len(list) == 0 || m.choices.IntN(exploredShare) == 0 {
		return -1
	}
	list = slices.DeleteFunc(list, func(i invitation) bool { return m.now.Sub(i.at) > invitationMaxAge })
	found := len(list) - 1
	for i := found; i >= 0; i-- {
		if m.centreOf(list[i].endpoint) == m.centreOf(instance) {
			found = i
			break
		}
	}
	if m.invites[instance] = list; found < 0 {
		return -1
	}
	endpoint := list[found].endpoint
	m.invites[instance] = slices.Delete(list, found, found+1)
	return endpoint
}

// changes returns the function that gives the known changes of an endpoint's load since the
// report. It tells the bookkeeper the instance's own ones.
func (m *evenModel) changes(instance, bookkeeper int) func(endpoint int) int {
	m.recent[instance] = slices.DeleteFunc(m.recent[instance], func(c change) bool { return !c.expires.After(m.now) })
	own := m.recent[instance]
	switch m.Policy.Knowledge {
	case OwnSends:
		return func(endpoint int) int {
			sum := 0
			for _, c := range own {
				if c.endpoint == endpoint {
					sum += c.by
				}
			}
			return sum
		}
	case ToldSends:
		board := m.boards[bookkeeper]
		for i, c := range own {
			if c.told&(1<<bookkeeper) != 0 {
				continue
			}
			own[i].told |= 1 << bookkeeper
			board[c.endpoint] += c.by
			m.after(c.expires.Sub(m.now), func() { board[c.endpoint] -= c.by })
		}
		return func(endpoint int) int { return board[endpoint] }
	}
	return func(int) int { return 0 }
}

// record keeps a change until the reports contain it.
func (m *evenModel) record(instance, endpoint, by int, lag time.Duration) {
	if m.Policy.Knowledge != Reports {
		m.recent[instance] = append(m.recent[instance], change{endpoint: endpoint, by: by, expires: m.now.Add(m.Age + lag)})
	}
}

func (m *evenModel) begin(i int, r *evenRequest) {
	m.report(i, 1)
	e := &m.endpoints[i]
	if e.running == evenSlots {
		e.waiting = append(e.waiting, r)
		return
	}
	m.run(i, r)
}

func (m *evenModel) run(i int, r *evenRequest) {
	e := &m.endpoints[i]
	e.running++
	if r.isCounted() {
		m.waits = append(m.waits, m.now.Sub(r.sentAt)-r.transit)
	}
	// The head of the response states the load when the request begins to run.
	r.hasPlaces = len(e.waiting) == 0
	work := float64(r.work) / e.speed
	if e.slowed {
		work *= burstPace
	}
	m.after(time.Duration(work), func() { m.end(i, r) })
}

func (m *evenModel) end(i int, r *evenRequest) {
	e := &m.endpoints[i]
	e.running--
	m.report(i, -1)
	if m.ended++; r.isCounted() {
		m.figures.Mean += m.now.Sub(r.sentAt) + r.transit
	}
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		m.run(i, next)
	}
	m.after(r.transit, func() {
		m.record(r.instance, i, -1, -r.transit)
		if r.hasPlaces && m.Policy.Invited {
			m.invites[r.instance] = append(m.invites[r.instance], invitation{i, m.now})
		}
		if r.left > 0 {
			r.left--
			m.after(time.Duration(r.draws.ExpFloat64()*float64(evenPause)), func() { m.send(r) })
		}
	})
}

// report lets the instances know of a change of a load when it is of the configured age.
func (m *evenModel) report(i, by int) {
	m.after(m.Age, func() { m.view[i].Load += float64(by) })
}

func (m *evenModel) sampleLoads() {
	if m.sent == m.Requests {
		return
	}
	m.after(sampleInterval, m.sampleLoads)
	highest, sum, above, hasFree := 0, 0, 0, false
	for i := range m.endpoints {
		e := &m.endpoints[i]
		load := e.running + len(e.waiting)
		highest, sum = max(highest, load), sum+load
		if load > evenSlots {
			above++
		}
		hasFree = hasFree || load < evenSlots
	}
	if sum == 0 || m.elapsed() < evenWarmup {
		return
	}
	m.samples++
	m.figures.Highest += float64(highest) * float64(m.Endpoints) / float64(sum)
	if hasFree {
		m.figures.Above += float64(above) / float64(m.Endpoints)
	}
}
