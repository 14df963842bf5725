package relayer

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/admitter"
	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

var (
	eventServed = logger.Define(5001, "RequestServed", log.InfoLevel,
		"request served by an endpoint", "None.")
	eventFailed = logger.Define(5002, "RequestFailed", log.WarnLevel,
		"request refused or interrupted", "See docs/OPERATIONS.md for the causes of each Reason.")
	eventRetried = logger.Define(5003, "RequestRetried", log.InfoLevel,
		"request retried after a failed attempt", "None; check the endpoint if it is always the same.")
	eventEndpointLeaving = logger.Define(5005, "EndpointAnnouncedLeave", log.InfoLevel,
		"an endpoint announced in a response that it is leaving and gets no more requests", "None, if this was planned.")
	eventEndpointLimit = logger.Define(5006, "EndpointLimitChanged", log.InfoLevel,
		"an endpoint stated another limit of requests a second, for all instances together",
		"None, if it is brief; otherwise find out why the endpoint can't take more.")
	eventEndpointRestarted = logger.Define(5008, "EndpointRestarted", log.InfoLevel,
		"a stream does not go on at an endpoint whose process is not the registered one, as its version is not known",
		"None; the endpoint will register.")
	eventTurnUnsettled = logger.Define(5004, "TurnUnsettled", log.WarnLevel,
		"unused tokens of a turn could not be released", "None; the bookkeeper charges the turn its full reservation.")
)

// minLoggedReadTime is the time from which the reading of a body is logged. Most bodies arrive with
// their heads.
const minLoggedReadTime = 100 * time.Millisecond

// accessRecord holds the values of a request's access log line.
type accessRecord struct {
	outcome string
	status  int
	kind    answerer.Kind
	reason  string
	// detail is what a refused caller was told, and cause what it was not told.
	detail   string
	cause    error
	endpoint string
	// version is that of the endpoint's software.
	version   string
	load      float64
	loadAge   time.Duration
	limit     registrar.Limit
	placement placement
	// permitWait is how long the request had to wait for a permit of an endpoint with a
	// limit, or would have had to.
	permitWait time.Duration
	meanLoad   float64
	// binding is the scarcest resource of a new program, pressure how scarce it is, and
	// refusedShare the share of such programs of the account that is refused.
	binding      admitter.Resource
	pressure     float64
	refusedShare float64
	sendCount    int
	firstEvent   time.Duration
	// readTime is the time from the request's arrival to the end of its body.
	readTime   time.Duration
	recordTime time.Duration
	// key identifies what the caller sent, in a request that broke off at an endpoint.
	key string
	// retryAfter is the time to come back that a refused caller was given.
	retryAfter time.Duration
}

// refuse responds with the error.
func (x *exchange) refuse(e *answerer.Error, reason string) {
	response := e.Response()
	x.access.retryAfter = response.RetryAfter
	x.access.outcome, x.access.kind, x.access.reason = "Refused", e.Kind, reason
	x.access.status, x.access.detail, x.access.cause = response.Status, e.Detail, e.Cause
	x.Metrics.CountRefusal(e.Kind, reason)
	header := x.writer.Header()
	text := string(e.Kind) + ": " + e.Detail + "\n"
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	x.Dialect.EncodeRefusal(header, x.call.StatedID, response.RetryAfter)
	x.writer.WriteHeader(response.Status)
	if _, err := io.WriteString(x.writer, text); err != nil {
		x.access.cause = err
	}
}

// logAccess writes the access log line.
func (x *exchange) logAccess() {
	a, total := &x.access, time.Since(x.arrival)
	x.Metrics.ObserveRequest(x.route, a.outcome, total)
	pairs := make([]any, 0, 60)
	pairs = append(pairs, "Request", x.call.ID, "Outcome", a.outcome, "Total", total)
	add := func(isSet bool, name string, value any) {
		if isSet {
			pairs = append(pairs, name, value)
		}
	}
	add(x.call.Program != "", "Program", x.call.Program)
	add(x.call.PreviousTurn != "", "Previous", x.call.PreviousTurn)
	add(x.account != nil, "Account", x.accountName())
	if x.route != nil {
		pairs = append(pairs, "Route", x.route.Name, "Version", x.table.Version)
	}
	if x.call.LastEvent.IsSet {
		pairs = append(pairs, "Resumes", x.call.Resumes, "ResumesAfter", x.call.LastEvent)
	}
	add(a.status != 0, "Status", a.status)
	add(x.call.HasTimeout, "Timeout", x.call.Timeout)
	add(x.call.HasProgramDeadline, "ProgramTimeLeft", x.call.ProgramTimeLeft)
	add(a.kind != "", "Kind", a.kind)
	add(a.reason != "", "Reason", a.reason)
	if a.endpoint != "" {
		pairs = append(pairs, "Endpoint", a.endpoint, "EndpointVersion", a.version, "Load", a.load, "LoadAge", a.loadAge, "Sends", a.sendCount)
	}
	pairs = a.placement.appendTo(pairs)
	add(a.key != "", "Key", a.key)
	add(a.limit.IsSet, "Limit", a.limit)
	add(a.permitWait > 0, "PermitWait", a.permitWait)
	add(a.meanLoad > 0, "MeanLoad", a.meanLoad)
	add(a.binding != "", "Binding", a.binding)
	if a.binding != "" && a.binding != admitter.NoResource {
		pairs = append(pairs, "Pressure", a.pressure, "RefusedShare", a.refusedShare)
	}
	add(a.readTime >= minLoggedReadTime, "Read", a.readTime)
	if left, isStopping := x.Stop.Left(); isStopping {
		pairs = append(pairs, "GraceLeft", left)
	}
	add(a.firstEvent > 0, "First", a.firstEvent)
	add(a.recordTime > 0, "Held", a.recordTime)
	add(a.retryAfter > 0, "RetryAfter", a.retryAfter)
	add(a.cause != nil, "Cause", a.cause)
	add(a.cause == nil && a.detail != "", "Detail", a.detail)
	event := eventFailed
	if a.outcome == "Served" && a.status < http.StatusBadRequest {
		if event = eventServed; !x.isLogged() {
			return
		}
	}
	x.Log.Log(event, pairs...)
}

// isLogged reports whether the served request is logged. All instances select the
// same programs, so that the logs of a selected program are complete. A request
// that was sent more than once is always logged.
func (x *exchange) isLogged() bool {
	const scale = 1 << 32
	return x.access.sendCount > 1 || float64(xxhash.Sum64String(x.placementKey())%scale) < x.ServedShare*scale
}
