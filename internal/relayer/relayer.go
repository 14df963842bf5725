// Package relayer implements the HTTP handler that relays callers' requests to
// endpoints. For each request it matches a route, reserves tokens of the program's
// budget, applies admission control, chooses an endpoint, retries failed attempts,
// forwards the response and writes an access log line. The decisions are made by
// packages admitter and chooser; Dialect translates headers.
package relayer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstand/wigeonstand/internal/admitter"
	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/bookkeeper"
	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/matcher"
	"github.com/wigeonstand/wigeonstand/internal/quarantiner"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/resumer"
	"github.com/wigeonstand/wigeonstand/internal/sender"
	"github.com/wigeonstand/wigeonstand/internal/stopper"
	"github.com/wigeonstand/wigeonstand/internal/transcriber"
)

// Tables returns the routing table in force; nil before the first is known.
type Tables interface{ Table() *matcher.Table }

// Budgets reserves tokens for turns, and settles and records them.
type Budgets interface {
	Open(ctx context.Context, in bookkeeper.OpenRequest) (bookkeeper.OpenResponse, discoverer.Member, error)
	Close(ctx context.Context, member discoverer.Member, in bookkeeper.CloseRequest) error
	Record(ctx context.Context, in bookkeeper.CloseRequest) (bookkeeper.CloseResponse, error)
}

// Transcripts reads and caches the transcripts of recorded turns.
type Transcripts interface {
	Transcript(ctx context.Context, id string) (*transcriber.Turn, []byte, error)
	Cache(turn *transcriber.Turn)
}

// Sender sends requests to endpoints.
type Sender interface {
	Send(ctx context.Context, r sender.Request) (*sender.Response, error)
}

// Permits gives permits for requests to endpoints that have a limit for all instances.
type Permits interface {
	// Permit reports whether a permit was granted that becomes valid within maxWait, and
	// how long the request must wait, or would have to.
	Permit(ctx context.Context, c registrar.Candidate, maxWait time.Duration) (wait time.Duration, isGranted bool)
}

// Streams keeps which version of which service began a stream.
type Streams interface {
	Record(stream string, origin resumer.Origin)
	Find(ctx context.Context, stream string) (resumer.Origin, bool)
}

// Registrations are those of the endpoints in the store.
type Registrations interface {
	// ConfirmEndpoints makes sure that the registry has the registrations as of a time after the
	// given one, if the store answers and has no changes.
	ConfirmEndpoints(ctx context.Context, since time.Time)
}

// Quarantine finds the requests that crash endpoints.
type Quarantine interface {
	// IsWatching reports whether any request is under suspicion. Otherwise Find need not be
	// called.
	IsWatching() bool
	Find(request quarantiner.Identity) quarantiner.Status
	// RecordServed records that an endpoint responded to the request.
	RecordServed(request quarantiner.Identity)
	// RecordBreak records that a request, sent at the time, broke off at the endpoint.
	RecordBreak(request quarantiner.Identity, endpoint registrar.Endpoint, sentAt time.Time)
}

// Paths knows which endpoints this instance reaches.
type Paths interface {
	// IsDetour reports whether requests to the endpoint would cross the path between two
	// data centres twice.
	IsDetour(endpoint registrar.Endpoint) bool
}

// Soonest says which requests are placed by their expected end.
type Soonest int

const (
	// SoonestNever places none by their expected end.
	SoonestNever Soonest = iota
	// SoonestWhereUneven places those to services whose endpoints state that their pace is
	// not the usual one.
	SoonestWhereUneven
	// SoonestAlways places all.
	SoonestAlways
)

// Policy holds the parameters of admission and placement.
type Policy struct {
	Admission admitter.Policy
	// ByNeed says that programs are admitted by what they need and not by the mean load of
	// the engines.
	ByNeed bool
	// Margin is the number of requests per slot by which the load of a turn's home
	// endpoint may exceed that of the least loaded endpoint.
	Margin float64
	// Soonest says which requests are placed by their expected end instead of by load and
	// margin.
	Soonest Soonest
}

// Config holds the dependencies and parameters of a Relayer.
type Config struct {
	Tables    Tables
	Endpoints *registrar.Registry
	// Registrations are those that Endpoints reflects.
	Registrations Registrations
	Budgets       Budgets
	Transcripts   Transcripts
	Sender        Sender
	Permits       Permits
	// Quotas is nil if the deployment has no quotas.
	Quotas     Quotas
	Streams    Streams
	Quarantine Quarantine
	Paths      Paths
	Needs      Needs
	Shares     Shares
	Dialect    Dialect
	Policy     Policy
	Instance   string
	DataCentre string
	// CountInstances returns the number of live instances.
	CountInstances func() int
	Log            *logger.Logger
	// IsStoreUnreachable reports whether the store can be reached neither directly
	// nor through another instance.
	IsStoreUnreachable func() bool
	// IsConfigurationDoubtful reports whether the configuration has not been confirmed for so
	// long that requests with keys are refused; nil if they never are.
	IsConfigurationDoubtful func() bool
	// ConfirmConfiguration reports whether the table in force is recent enough to refuse what it
	// does not allow. It may read the store, after which the table may be another one. It is nil if
	// the table always is.
	ConfirmConfiguration func(ctx context.Context) bool
	// ServedShare is the share of programs whose served requests are logged.
	ServedShare float64
	// MaxBufferedBytes limits the memory for large bodies of plain responses, all together.
	MaxBufferedBytes int64
	// MaxSmallBodyBytes and MaxLargeBodyBytes limit the memory for small and large bodies of
	// requests, all together; zero is the default limit of one body.
	MaxSmallBodyBytes, MaxLargeBodyBytes int64
	Metrics                              Metrics
	// Stop tells when the instance stops; nil if it never does.
	Stop *stopper.Stopper
}

// Metrics records the metrics of requests.
type Metrics interface {
	ObserveRequest(route *matcher.Route, outcome string, total time.Duration)
	ObserveFirstEvent(d time.Duration)
	CountRefusal(kind answerer.Kind, reason string)
	CountRetry(reason string)
	CountPlacement(way string)
	CountLoadFault(fault string)
	ObserveExpectedWait(d time.Duration)
	// CountProgram counts a new program of the account: Admitted, Refused, or AdmittedAsLate if it
	// was too late to refuse it. ObserveContention records the contention that it met.
	CountProgram(account string, binding admitter.Resource, result string)
	ObserveContention(c admitter.Contention)
}

// Relayer is the HTTP handler of callers' requests. It is safe for concurrent use.
type Relayer struct {
	Config
	responses  *memoryBudget
	bodies     *bodyMemory
	numberings *numberings
	processes  *processes
	// durations are those of the requests at endpoints.
	durations *stopper.Durations
}

// New returns a Relayer.
func New(config Config) *Relayer {
	if config.Stop == nil {
		config.Stop = stopper.New()
	}
	return &Relayer{
		Config: config, responses: newMemoryBudget(config.MaxBufferedBytes),
		bodies:     &bodyMemory{small: newReserver(config.MaxSmallBodyBytes), large: newReserver(config.MaxLargeBodyBytes)},
		numberings: newNumberings(), processes: newProcesses(), durations: stopper.NewDurations(),
	}
}

const (
	// defaultMaxBodyBytes limits a request body if the configuration has no limit.
	defaultMaxBodyBytes = 4 << 20
	// minTimeout is the shortest deadline of an endpoint: none would be that of the caller.
	minTimeout = time.Millisecond
	// writeGrace is how long after its deadline a response may take to be written.
	writeGrace = 10 * time.Second
	// defaultTimeout is the timeout of a request whose header has none.
	defaultTimeout = 30 * time.Second
)

// exchange is the state of one request.
type exchange struct {
	*Relayer
	ctx    context.Context
	writer http.ResponseWriter
	call   Call
	table  *matcher.Table
	route  *matcher.Route
	// account is the one that sent the request; nil if the configuration has no accounts, or
	// on a public route if the caller has no known key.
	account *matcher.Account
	service string
	body    []byte
	// memory is reserved for body until the exchange ends.
	memory  bodyReservation
	arrival time.Time
	// deadline is when the response must be complete.
	deadline time.Time
	access   accessRecord
	// hasNoChunks is true if the caller's version of HTTP has none, and completeResponse is
	// called at the end of a complete stream then.
	hasNoChunks      bool
	completeResponse func()
	// identity is that of what the caller sent; nil until it is needed.
	identity *quarantiner.Identity
	// breakCount is the number of attempts that broke off at an endpoint.
	breakCount int
}

// ServeHTTP implements http.Handler.
func (rl *Relayer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		Relayer: rl, writer: w, arrival: time.Now(), table: rl.Tables.Table(),
		hasNoChunks: !r.ProtoAtLeast(1, 1), completeResponse: func() {}, memory: bodyReservation{memory: rl.bodies},
	}
	defer x.memory.release()
	defer x.logAccess()
	x.limitWrites(x.arrival.Add(defaultTimeout))
	if x.table == nil {
		x.refuse(answerer.New(answerer.StoreUnavailable, "no configuration is known yet").WithRetryAfter(shortRetryAfter), "NoConfiguration")
		return
	}
	var err error
	if x.call, err = rl.Dialect.DecodeCall(r); err != nil {
		x.refuse(answerer.Wrap(answerer.BadRequest, err, "%s", err), "Malformed")
		return
	}
	if !x.match(r) || !x.setDeadline() {
		return
	}
	x.service = x.route.PickService(xxhash.Sum64String(x.placementKey()))
	if !x.mayPassOn(false) {
		x.refuseStopping()
		return
	}
	if !x.readBody(r) {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	if left := x.suspicion().Left; left > 0 {
		x.refuseQuarantined(left)
		return
	}
	if x.route.Kind == matcher.Stream {
		x.serveTurn()
		return
	}
	if x.allows(x.askPermit(x.isUnderWay())) {
		x.servePlain()
	}
}

// setDeadline sets the deadline from what the caller and the route state. It reports whether there is
// time until then; if not, the request has been refused.
func (x *exchange) setDeadline() bool {
	timeout := defaultTimeout
	if x.call.HasTimeout {
		timeout = x.call.Timeout
	}
	if timeout == 0 {
		x.refuse(answerer.New(answerer.Infeasible, "the caller does not wait for a response").WithRetryAfter(shortRetryAfter), "NoTime")
		return false
	}
	if x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	x.deadline = x.arrival.Add(timeout)
	x.limitWrites(x.deadline)
	return true
}

// limitWrites ends the writing of the response writeGrace after the deadline: a caller that does not read
// must not keep the memory of the response.
func (x *exchange) limitWrites(deadline time.Time) {
	// Writers without a deadline are those of tests.
	_ = http.NewResponseController(x.writer).SetWriteDeadline(deadline.Add(writeGrace))
}

// placementKey returns the key by which a service and an endpoint are chosen: the
// program's ID, or the request's outside a program.
func (x *exchange) placementKey() string {
	if x.call.Program != "" {
		return x.call.Program
	}
	return x.call.ID
}

// request returns the identity of what the caller sent.
func (x *exchange) request() quarantiner.Identity {
	if x.identity == nil {
		identity := quarantiner.IdentityOf(x.call.Host, x.call.Method, x.call.Target, x.body)
		x.identity = &identity
	}
	return *x.identity
}

// suspicion returns what is known of crashes of endpoints under the request.
func (x *exchange) suspicion() quarantiner.Status {
	if !x.Quarantine.IsWatching() {
		return quarantiner.Status{}
	}
	return x.Quarantine.Find(x.request())
}

// recordServed records that an endpoint responded to the request.
func (x *exchange) recordServed() { x.Quarantine.RecordServed(x.request()) }

// mayBeCause reports whether the request is not to be sent again in this attempt, as endpoints
// broke off under it that may have crashed.
func (x *exchange) mayBeCause() bool {
	return x.breakCount >= maxBreaks || (x.breakCount > 0 && x.suspicion().Crashes >= maxBreaks)
}

// recordBreak records a failed attempt if its connection failed while the endpoint had the
// request.
func (x *exchange) recordBreak(c registrar.Candidate, sentAt time.Time, err error) {
	if x.ctx.Err() != nil || !isBrokenOff(err) {
		return
	}
	x.breakCount++
	x.access.key = x.request().Key.String()
	x.Quarantine.RecordBreak(x.request(), c.Endpoint, sentAt)
}

// timeLeft returns the time until the deadline.
func (x *exchange) timeLeft() time.Duration { return time.Until(x.deadline) }

// isCallerDisconnected reports whether the caller disconnected before its deadline.
func (x *exchange) isCallerDisconnected() bool {
	return errors.Is(context.Cause(x.ctx), context.Canceled)
}

// abort closes the connection, so that the caller does not take a partial or
// missing response for a complete one.
func (x *exchange) abort(outcome string, cause error) {
	x.access.outcome, x.access.cause = outcome, cause
	panic(http.ErrAbortHandler)
}

// send sends the request to the candidate and returns its response once the head
// has been read.
func (x *exchange) send(ctx context.Context, c registrar.Candidate, d Dispatch, body []byte) (*sender.Response, error) {
	d.Endpoint, d.Account, d.Timeout = c.ID, x.accountName(), max(d.Timeout, minTimeout)
	x.access.endpoint, x.access.version = c.ID, c.Version
	x.access.load, x.access.loadAge, x.access.limit = c.Load, c.Age, c.Limit
	x.access.sendCount++
	return x.Sender.Send(ctx, sender.Request{
		Address: c.Address, Method: x.call.Method, Target: x.call.Target, Host: x.call.Host,
		Header: x.Dialect.EncodeDispatch(&x.call, d), Body: body, IsRepeatable: x.route.Idempotent(),
		ID: x.call.ID, ResponseID: func(h http.Header) string { return x.Dialect.DecodeResponseHead(http.StatusOK, h).ID },
		MaxIdle: maxIdleConnections(x.table.Services[x.service].MaxConnections, x.CountInstances()),
	})
}

// idleConnectionsDivisor gives the part of the connections that an endpoint accepts which
// all instances together may keep idle.
const idleConnectionsDivisor = 2

// maxIdleConnections returns how many idle connections this instance may keep to an
// endpoint that accepts maxConnections of all instances together; zero if that is not
// known. With a limit for each instance alone, the idle connections of a large fleet could
// keep the endpoint from accepting another one.
func maxIdleConnections(maxConnections, instances int) int {
	if maxConnections <= 0 {
		return 0
	}
	return max(maxConnections/idleConnectionsDivisor/max(instances, 1), 1)
}

// decodeHead decodes the head of the candidate's response to a request sent at sentAt
// and records what the endpoint says of itself: its load, its limit, and that it is
// leaving.
func (x *exchange) decodeHead(c registrar.Candidate, sentAt time.Time, response *sender.Response) ResponseHead {
	head := x.Dialect.DecodeResponseHead(response.Status, response.Header)
	if head.LoadFault != "" {
		x.Metrics.CountLoadFault(head.LoadFault)
	}
	// A 421 is another endpoint's, which now has the address.
	if head.Load != nil && response.Status != http.StatusMisdirectedRequest {
		x.Endpoints.Report(c.ID, *head.Load)
		if head.IsNotRun {
			x.Endpoints.ReportShed(c.Endpoint, *head.Load)
		}
	}
	if head.IsEndpointLeaving && x.Endpoints.ReportLeave(c.Endpoint) {
		x.Log.Log(eventEndpointLeaving, "Endpoint", c.ID, "Service", c.Service, "Started", c.Started, "Request", x.call.ID)
	}
	// A response that may not be the endpoint's own says nothing about its limit.
	if head.IsSigned || head.IsNotRun && response.Status != http.StatusMisdirectedRequest {
		if before, isNew := x.Endpoints.ReportLimit(c.Endpoint, head.Limit, sentAt); isNew {
			x.Log.Log(eventEndpointLimit, "Endpoint", c.ID, "Service", c.Service, "From", before, "To", head.Limit, "Request", x.call.ID)
		}
	}
	return head
}

func (x *exchange) candidates(excluded map[string]bool) []registrar.Candidate {
	all := x.Endpoints.Candidates(x.service)
	remaining := all[:0]
	for _, c := range all {
		if !excluded[c.ID] {
			remaining = append(remaining, c)
		}
	}
	if near := slices.DeleteFunc(slices.Clone(remaining), func(c registrar.Candidate) bool { return x.Paths.IsDetour(c.Endpoint) }); len(near) > 0 {
		return near
	}
	return remaining
}

func randomFraction() float64 { return rand.Float64() }
